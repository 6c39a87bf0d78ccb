#include "placement/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace auburndoor {

namespace {

constexpr double bucketGrowth = 1.25;
/** Runs that the declared value counts for. */
constexpr double priorWeight = 3;
/** Above this weight all runs of a sketch lose half of theirs, so that old ones fade. */
constexpr double fadingWeight = 512;
/** Kinds are named by callers; more of them than this share the estimate of their service. */
constexpr std::size_t sketchLimit = 1000;

double toMs(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Milliseconds fromMs(double milliseconds)
{
    return Milliseconds(std::llround(milliseconds));
}

} // namespace

std::size_t RunTimeEstimator::bucketOf(double durationMs)
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

void RunTimeEstimator::add(Sketch &sketch, double durationMs, double weight)
{
    constexpr double half = 0.5;
    sketch.buckets.at(bucketOf(durationMs)) += static_cast<float>(weight);
    sketch.weight += weight;
    sketch.weightedSumMs += weight * durationMs;
    if (sketch.weight > fadingWeight) {
        for (auto &bucket : sketch.buckets) {
            bucket *= static_cast<float>(half);
        }
        sketch.weight *= half;
        sketch.weightedSumMs *= half;
    }
}

Milliseconds RunTimeEstimator::quantile(const Sketch &sketch, double quantile)
{
    double cumulative = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulative += sketch.buckets.at(bucket);
        if (cumulative >= quantile * sketch.weight) {
            return fromMs(bucketMiddleMs(bucket));
        }
    }
    return fromMs(bucketMiddleMs(bucketCount - 1));
}

void RunTimeEstimator::observe(const ServiceId &service, const std::string &kind, std::chrono::nanoseconds duration)
{
    const std::lock_guard lock(mutex_);
    add(sketches_[Key(service, {})], toMs(duration), 1);
    if (!kind.empty() && (sketches_.size() < sketchLimit || sketches_.contains(Key(service, kind)))) {
        add(sketches_[Key(service, kind)], toMs(duration), 1);
    }
}

const RunTimeEstimator::Sketch *RunTimeEstimator::find(const ServiceId &service, const std::string &kind, bool isDeclared) const
{
    if (const auto found = sketches_.find(Key(service, kind)); found != sketches_.end()) {
        return &found->second;
    }
    // A declared value says more of an unseen kind than the other kinds of the service do.
    if (isDeclared && !kind.empty()) {
        return nullptr;
    }
    const auto found = sketches_.find(Key(service, {}));
    return found == sketches_.end() ? nullptr : &found->second;
}

RunTimeEstimate RunTimeEstimator::estimate(const ServiceId &service, const std::string &kind, Milliseconds declared) const
{
    constexpr double median = 0.5;
    constexpr double p95 = 0.95;
    const std::lock_guard lock(mutex_);
    const auto *known = find(service, kind, declared > Milliseconds(0));
    Sketch sketch = known == nullptr ? Sketch {} : *known;
    const auto sampleWeight = sketch.weight;
    if (declared > Milliseconds(0)) {
        add(sketch, static_cast<double>(declared.count()), priorWeight);
    }
    if (sketch.weight == 0) {
        return {};
    }
    return { fromMs(sketch.weightedSumMs / sketch.weight), quantile(sketch, median), quantile(sketch, p95), sampleWeight };
}

bool RunTimeEstimator::isLong(const ServiceId &service,
                              const std::string &kind,
                              Milliseconds declared,
                              Milliseconds threshold) const
{
    return estimate(service, kind, declared).median > threshold;
}

} // namespace auburndoor
