#pragma once

#include "core/Clock.h"

#include <memory>
#include <string>
#include <string_view>

namespace auburndoor {

struct Failure;

/**
    Counters, gauges and duration histograms of one process.

    A metric is created by its first use. Names are lower case with underscores and without the prefix "auburndoor_", which text()
    adds. All members may be called from any thread.
*/
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Adds to a counter. @param label the value of the label "reason", or labels as "key=value,key=value"; may be empty */
    void count(std::string_view name, std::string_view label = {}, long long amount = 1);

    /** Adds 1 to the counter "refusals_total", labelled with the step and reason of the failure. */
    void countRefusal(const Failure &failure);

    /** Adds 1 to the counter "retries_total", labelled with the step and reason of the failure that caused the retry. */
    void countRetry(const Failure &failure);

    /** Sets a gauge. */
    void setGauge(std::string_view name, double value, std::string_view label = {});

    /** Adds a duration to a histogram with logarithmic buckets from 0.1 ms to 1,000 s. */
    void observe(std::string_view name, std::chrono::nanoseconds duration, std::string_view label = {});

    /** The value of a counter; 0 if it was never used. */
    long long counter(std::string_view name, std::string_view label = {}) const;

    /** An upper bound of the quantile of a histogram, from its buckets; zero if it is empty. @param quantile from 0 to 1 */
    std::chrono::nanoseconds quantile(std::string_view name, double quantile, std::string_view label = {}) const;

    /** All metrics in the Prometheus text exposition format, version 0.0.4. */
    std::string text() const;

private:
    /** A part of the metrics with a mutex of its own; a metric belongs to one shard by the hash of its name and label. */
    struct Shard;

    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(std::string_view name, std::string_view label) const;

    std::unique_ptr<Shard[]> shards_;
};

} // namespace auburndoor
