#include "placement/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace auburndoor {

namespace {

constexpr double bucketGrowth = 1.25;
/** The declared run time counts as much as this number of observed runs. */
constexpr double declaredWeight = 3;
/** Above this total weight all weights of a histogram are halved, so that old runs count less than new ones. */
constexpr double halvingWeight = 512;
/** Bounds the memory, since callers choose the names of kinds. Further kinds get no histogram of their own. */
constexpr std::size_t histogramLimit = 1000;

double toMs(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Milliseconds fromMs(double milliseconds)
{
    return Milliseconds(std::llround(milliseconds));
}

} // namespace

std::size_t RunTimeEstimator::bucketIndex(double durationMs)
{
    if (durationMs <= 1) {
        return 0;
    }
    const auto bucket = static_cast<std::size_t>(std::log(durationMs) / std::log(bucketGrowth));
    return std::min(bucket, bucketCount - 1);
}

double RunTimeEstimator::bucketMiddleMs(std::size_t bucket)
{
    constexpr double half = 0.5;
    return std::pow(bucketGrowth, static_cast<double>(bucket) + half);
}

void RunTimeEstimator::add(Histogram &histogram, double durationMs, double weight)
{
    constexpr double half = 0.5;
    histogram.buckets.at(bucketIndex(durationMs)) += static_cast<float>(weight);
    histogram.weight += weight;
    histogram.weightedSumMs += weight * durationMs;
    if (histogram.weight > halvingWeight) {
        for (auto &bucket : histogram.buckets) {
            bucket *= static_cast<float>(half);
        }
        histogram.weight *= half;
        histogram.weightedSumMs *= half;
    }
}

Milliseconds RunTimeEstimator::quantile(const Histogram &histogram, double quantile)
{
    double cumulative = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulative += histogram.buckets.at(bucket);
        if (cumulative >= quantile * histogram.weight) {
            return fromMs(bucketMiddleMs(bucket));
        }
    }
    return fromMs(bucketMiddleMs(bucketCount - 1));
}

void RunTimeEstimator::observe(const ServiceId &service, const std::string &kind, std::chrono::nanoseconds duration)
{
    const std::lock_guard lock(mutex_);
    add(histograms_[Key(service, {})], toMs(duration), 1);
    if (!kind.empty() && (histograms_.size() < histogramLimit || histograms_.contains(Key(service, kind)))) {
        add(histograms_[Key(service, kind)], toMs(duration), 1);
    }
}

const RunTimeEstimator::Histogram *RunTimeEstimator::findHistogram(const ServiceId &service,
                                                                   const std::string &kind,
                                                                   bool hasDeclaredRunTime) const
{
    if (const auto found = histograms_.find(Key(service, kind)); found != histograms_.end()) {
        return &found->second;
    }
    // For a kind without observed runs its declared run time is a better estimate than the other kinds of the service.
    if (hasDeclaredRunTime && !kind.empty()) {
        return nullptr;
    }
    const auto found = histograms_.find(Key(service, {}));
    return found == histograms_.end() ? nullptr : &found->second;
}

RunTimeEstimate RunTimeEstimator::estimate(const ServiceId &service, const std::string &kind, Milliseconds declaredRunTime) const
{
    constexpr double median = 0.5;
    constexpr double p95 = 0.95;
    const std::lock_guard lock(mutex_);
    const auto *observed = findHistogram(service, kind, declaredRunTime > Milliseconds(0));
    Histogram histogram = observed == nullptr ? Histogram {} : *observed;
    const auto sampleWeight = histogram.weight;
    if (declaredRunTime > Milliseconds(0)) {
        add(histogram, static_cast<double>(declaredRunTime.count()), declaredWeight);
    }
    if (histogram.weight == 0) {
        return {};
    }
    return {
        fromMs(histogram.weightedSumMs / histogram.weight), quantile(histogram, median), quantile(histogram, p95), sampleWeight
    };
}

bool RunTimeEstimator::isLong(const ServiceId &service,
                              const std::string &kind,
                              Milliseconds declaredRunTime,
                              Milliseconds longThreshold) const
{
    return estimate(service, kind, declaredRunTime).median > longThreshold;
}

} // namespace auburndoor
