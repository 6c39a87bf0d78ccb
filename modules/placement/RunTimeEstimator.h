#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace auburndoor {

/** Expected run time of one kind of work. */
struct RunTimeEstimate
{
    Milliseconds mean { 0 };
    Milliseconds median { 0 };
    Milliseconds p95 { 0 };
    /** Weighted number of observed runs, in which old runs count less; zero if only the declared run time was used. */
    double sampleWeight = 0;
};

/**
    Estimates run times for each service and kind of work from finished tasks.

    A declared run time may be wrong by a factor of ten or more, so it counts only as much as a few observed runs. The weight of old
    runs decays, so that the estimate follows a change of the run times within a few hundred runs. All members may be called from
    any thread.
*/
class RunTimeEstimator
{
public:
    /** Records the run time of a finished task, for its kind and for its service as a whole. */
    void observe(const ServiceId &service, const std::string &kind, std::chrono::nanoseconds duration);

    /**
        Estimates the run time of a kind of work.

        A kind without observed runs has its declared run time, or without one the estimate of the whole service. All fields are
        zero if there is neither.

        @param declaredRunTime zero if there is none
    */
    RunTimeEstimate estimate(const ServiceId &service, const std::string &kind, Milliseconds declaredRunTime) const;

    /** True if the estimated median run time is longer than longThreshold. */
    bool isLong(const ServiceId &service, const std::string &kind, Milliseconds declaredRunTime, Milliseconds longThreshold) const;

private:
    /** Bucket bounds grow by a factor of 1.25 from 1 ms. The last bucket begins at about 3 hours and holds all longer runs. */
    static constexpr std::size_t bucketCount = 74;

    /** Run times as weights of runs in exponential buckets. */
    struct Histogram
    {
        std::array<float, bucketCount> buckets {};
        double weight = 0;
        double weightedSumMs = 0;
    };

    /** Service and kind of work; an empty kind stands for the whole service. */
    using Key = std::pair<ServiceId, std::string>;

    static std::size_t bucketIndex(double durationMs);
    static double bucketMiddleMs(std::size_t bucket);
    static void add(Histogram &histogram, double durationMs, double weight);
    static Milliseconds quantile(const Histogram &histogram, double quantile);
    const Histogram *findHistogram(const ServiceId &service, const std::string &kind, bool hasDeclaredRunTime) const;

    mutable std::mutex mutex_;
    std::map<Key, Histogram> histograms_;
};

} // namespace auburndoor
