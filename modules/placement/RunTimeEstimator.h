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

/** What is expected of the run time of one kind of work. */
struct RunTimeEstimate
{
    Milliseconds mean { 0 };
    Milliseconds median { 0 };
    Milliseconds p95 { 0 };
    /** Observed runs, with less weight on old ones; zero if the estimate is only the declared value. */
    double sampleWeight = 0;
};

/**
    Learns run times for each service and kind of work from finished tasks.

    A declared run time may be off by a factor of ten or more, so it is only a prior with the weight of a few runs. Old runs fade,
   so that a change of behaviour shows after a few hundred runs. All members may be called from any thread.
*/
class RunTimeEstimator
{
public:
    /** Adds a finished run. */
    void observe(const ServiceId &service, const std::string &kind, std::chrono::nanoseconds duration);

    /**
        The expectation for a kind of work. A kind that has not been seen has its declared run time.

        @param declared zero if there is none; then the service as a whole stands in for an unseen kind
    */
    RunTimeEstimate estimate(const ServiceId &service, const std::string &kind, Milliseconds declared) const;

    /** True if at least half of the runs of this kind are expected to take longer than the threshold. */
    bool isLong(const ServiceId &service, const std::string &kind, Milliseconds declared, Milliseconds threshold) const;

private:
    /** Buckets grow by a quarter, from 1 ms to about 3 hours. */
    static constexpr std::size_t bucketCount = 74;

    struct Sketch
    {
        std::array<float, bucketCount> buckets {};
        double weight = 0;
        double weightedSumMs = 0;
    };

    using Key = std::pair<ServiceId, std::string>;

    static std::size_t bucketOf(double durationMs);
    static double bucketMiddleMs(std::size_t bucket);
    static void add(Sketch &sketch, double durationMs, double weight);
    static Milliseconds quantile(const Sketch &sketch, double quantile);
    const Sketch *find(const ServiceId &service, const std::string &kind, bool isDeclared) const;

    mutable std::mutex mutex_;
    std::map<Key, Sketch> sketches_;
};

} // namespace auburndoor
