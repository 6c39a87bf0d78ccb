#include "dispatch/SampleWindow.h"

#include <algorithm>
#include <vector>

namespace auburndoor {

void SampleWindow::add(double sample)
{
    samples_[next_] = static_cast<float>(sample);
    next_ = (next_ + 1) % maxSamples;
    size_ = std::min(size_ + 1, maxSamples);
}

void SampleWindow::keepLatest(std::size_t count)
{
    size_ = std::min(size_, count);
}

double SampleWindow::latest(std::size_t age) const
{
    return samples_[(next_ + maxSamples - 1 - age) % maxSamples];
}

double SampleWindow::median(double prior, std::size_t priorCount) const
{
    std::vector<double> values(priorCount, prior);
    values.reserve(priorCount + size_);
    for (std::size_t age = 0; age < size_; ++age) {
        values.push_back(latest(age));
    }
    if (values.empty()) {
        return prior;
    }
    std::sort(values.begin(), values.end());
    const auto upper = values.size() / 2;
    return values.size() % 2 == 1 ? values[upper] : (values[upper - 1] + values[upper]) / 2;
}

} // namespace auburndoor
