#include "observability/Metrics.h"

#include "core/Failure.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace auburndoor {

namespace {

constexpr int bucketCount = 35;
constexpr double smallestBucketMs = 0.1;
constexpr double largestBucketMs = 1'000'000;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Histogram = decltype(boost::histogram::make_histogram(Axis()));

struct DurationHistogram
{
    Histogram buckets = boost::histogram::make_histogram(Axis(bucketCount, smallestBucketMs, largestBucketMs));
    double sumSeconds = 0;
    long long count = 0;
};

using Key = std::pair<std::string, std::string>;

/** Renders "value" as reason="value", and "key=value,key=value" as key="value",key="value". */
std::string labelText(const Key &key, const std::string &more = {})
{
    std::string text;
    std::istringstream parts(key.second);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto equals = part.find('=');
        const auto name = equals == std::string::npos ? std::string("reason") : part.substr(0, equals);
        text.append(text.empty() ? "" : ",").append(name).append("=\"").append(part.substr(equals + 1)).append("\"");
    }
    if (!more.empty()) {
        text.append(text.empty() ? "" : ",").append(more);
    }
    return text.empty() ? text : "{" + text + "}";
}

/** The labels of the step and reason of a failure. */
std::string labelOf(const Failure &failure)
{
    return "step=" + std::string(name(failure.step)) + ",reason=" + std::string(name(failure.reason));
}

void printHistogram(std::ostream &stream, const Key &key, const DurationHistogram &histogram)
{
    constexpr double millisecondsPerSecond = 1000;
    const auto metric = "auburndoor_" + key.first + "_seconds";
    const auto &axis = histogram.buckets.axis();
    double cumulative = histogram.buckets.at(-1);
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += histogram.buckets.at(index);
        std::ostringstream bound;
        bound << "le=\"" << axis.bin(index).upper() / millisecondsPerSecond << "\"";
        stream << metric << "_bucket" << labelText(key, bound.str()) << ' ' << cumulative << '\n';
    }
    stream << metric << "_bucket" << labelText(key, "le=\"+Inf\"") << ' ' << histogram.count << '\n';
    stream << metric << "_sum" << labelText(key) << ' ' << histogram.sumSeconds << '\n';
    stream << metric << "_count" << labelText(key) << ' ' << histogram.count << '\n';
}

} // namespace

struct Metrics::Shard
{
    std::mutex mutex;
    std::map<Key, long long> counters;
    std::map<Key, double> gauges;
    std::map<Key, DurationHistogram> histograms;
};

Metrics::Metrics() : shards_(std::make_unique<Shard[]>(shardCount))
{
}

Metrics::~Metrics() = default;

Metrics::Shard &Metrics::shardOf(std::string_view name, std::string_view label) const
{
    const std::hash<std::string_view> hash;
    return shards_[(hash(name) * 31 + hash(label)) % shardCount];
}

void Metrics::count(std::string_view name, std::string_view label, long long amount)
{
    auto &shard = shardOf(name, label);
    const std::lock_guard lock(shard.mutex);
    shard.counters[Key(name, label)] += amount;
}

void Metrics::countRefusal(const Failure &failure)
{
    count("refusals_total", labelOf(failure));
}

void Metrics::countRetry(const Failure &failure)
{
    count("retries_total", labelOf(failure));
}

void Metrics::setGauge(std::string_view name, double value, std::string_view label)
{
    auto &shard = shardOf(name, label);
    const std::lock_guard lock(shard.mutex);
    shard.gauges[Key(name, label)] = value;
}

void Metrics::observe(std::string_view name, std::chrono::nanoseconds duration, std::string_view label)
{
    auto &shard = shardOf(name, label);
    const std::lock_guard lock(shard.mutex);
    auto &histogram = shard.histograms[Key(name, label)];
    histogram.buckets(std::chrono::duration<double, std::milli>(duration).count());
    histogram.sumSeconds += std::chrono::duration<double>(duration).count();
    ++histogram.count;
}

long long Metrics::counter(std::string_view name, std::string_view label) const
{
    auto &shard = shardOf(name, label);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.counters.find(Key(name, label));
    return found == shard.counters.end() ? 0 : found->second;
}

std::chrono::nanoseconds Metrics::quantile(std::string_view name, double quantile, std::string_view label) const
{
    auto &shard = shardOf(name, label);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.histograms.find(Key(name, label));
    if (found == shard.histograms.end()) {
        return {};
    }
    const auto &histogram = found->second;
    const auto &axis = histogram.buckets.axis();
    double cumulative = histogram.buckets.at(-1);
    double boundMs = smallestBucketMs;
    for (int index = 0; index < axis.size() && cumulative < quantile * static_cast<double>(histogram.count); ++index) {
        cumulative += histogram.buckets.at(index);
        boundMs = axis.bin(index).upper();
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double, std::milli>(boundMs));
}

std::string Metrics::text() const
{
    std::ostringstream stream;
    for (std::size_t index = 0; index < shardCount; ++index) {
        auto &shard = shards_[index];
        const std::lock_guard lock(shard.mutex);
        for (const auto &[key, value] : shard.counters) {
            stream << "auburndoor_" << key.first << labelText(key) << ' ' << value << '\n';
        }
        for (const auto &[key, value] : shard.gauges) {
            stream << "auburndoor_" << key.first << labelText(key) << ' ' << value << '\n';
        }
        for (const auto &[key, histogram] : shard.histograms) {
            printHistogram(stream, key, histogram);
        }
    }
    return stream.str();
}

} // namespace auburndoor
