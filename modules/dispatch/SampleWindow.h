#pragma once

#include <array>
#include <cstddef>

namespace auburndoor {

/** The last samples of a value with outliers, of which the median counts. */
class SampleWindow
{
public:
    /** Samples beyond this number replace the oldest ones. */
    static constexpr std::size_t maxSamples = 15;

    /** Adds a sample. */
    void add(double sample);
    /** Drops all but the latest samples. @param count how many to keep */
    void keepLatest(std::size_t count);
    /** The number of samples in the window. */
    std::size_t size() const
    {
        return size_;
    }
    /** A sample of the window. @param age 0 for the latest one; less than size() */
    double latest(std::size_t age) const;
    /** The median of the samples and of further ones that all have the prior's value. Without any, the prior. */
    double median(double prior, std::size_t priorCount) const;

private:
    std::array<float, maxSamples> samples_ {};
    std::size_t size_ = 0;
    /** Where the next sample goes. */
    std::size_t next_ = 0;
};

} // namespace auburndoor
