#include "observability/Metrics.h"

#include "core/Failure.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace auburndoor {

namespace {

constexpr int bucketCount = 35;
constexpr double lowestBoundMs = 0.1;
constexpr double highestBoundMs = 1'000'000;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Histogram = decltype(boost::histogram::make_histogram(Axis()));

struct DurationHistogram
{
    Histogram buckets = boost::histogram::make_histogram(Axis(bucketCount, lowestBoundMs, highestBoundMs));
    double sumSeconds = 0;
    long long count = 0;
};

/** The name and label of a metric. */
using MetricKey = std::pair<std::string, std::string>;
using MetricKeyView = std::pair<std::string_view, std::string_view>;

/** The order of metrics. A metric is found by views, without a key being made for each use. */
struct MetricKeyLess
{
    using is_transparent = void;

    bool operator()(const MetricKeyView &left, const MetricKeyView &right) const
    {
        return left < right;
    }
};

template<typename Value>
using MetricMap = std::map<MetricKey, Value, MetricKeyLess>;

/** Finds a metric, or creates it. */
template<typename Value>
Value &findOrCreate(MetricMap<Value> &metrics, std::string_view name, std::string_view label)
{
    const auto found = metrics.lower_bound(MetricKeyView(name, label));
    if (found != metrics.end() && MetricKeyView(found->first) == MetricKeyView(name, label)) {
        return found->second;
    }
    return metrics.try_emplace(found, MetricKey(name, label))->second;
}

/**
    Renders the label of a metric in the Prometheus text format.

    The label "value" becomes {reason="value"}, and "key=value,key=value" becomes {key="value",key="value"}.

    @param extraLabel another label, rendered already; may be empty
*/
std::string renderLabels(const MetricKey &key, const std::string &extraLabel = {})
{
    std::string text;
    std::istringstream parts(key.second);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto equals = part.find('=');
        const auto name = equals == std::string::npos ? std::string("reason") : part.substr(0, equals);
        text.append(text.empty() ? "" : ",").append(name).append("=\"").append(part.substr(equals + 1)).append("\"");
    }
    if (!extraLabel.empty()) {
        text.append(text.empty() ? "" : ",").append(extraLabel);
    }
    return text.empty() ? text : "{" + text + "}";
}

/** The step and reason of a failure as labels for Metrics::count(). */
std::string makeFailureLabels(const Failure &failure)
{
    return "step=" + std::string(name(failure.step)) + ",reason=" + std::string(name(failure.reason));
}

void writeHistogram(std::ostream &stream, const MetricKey &key, const DurationHistogram &histogram)
{
    constexpr double millisecondsPerSecond = 1000;
    const auto metric = "auburndoor_" + key.first + "_seconds";
    const auto &axis = histogram.buckets.axis();
    double cumulative = histogram.buckets.at(-1);
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += histogram.buckets.at(index);
        std::ostringstream bound;
        bound << "le=\"" << axis.bin(index).upper() / millisecondsPerSecond << "\"";
        stream << metric << "_bucket" << renderLabels(key, bound.str()) << ' ' << cumulative << '\n';
    }
    stream << metric << "_bucket" << renderLabels(key, "le=\"+Inf\"") << ' ' << histogram.count << '\n';
    stream << metric << "_sum" << renderLabels(key) << ' ' << histogram.sumSeconds << '\n';
    stream << metric << "_count" << renderLabels(key) << ' ' << histogram.count << '\n';
}

} // namespace

struct Metrics::Shard
{
    std::mutex mutex;
    MetricMap<long long> counters;
    MetricMap<double> gauges;
    MetricMap<DurationHistogram> histograms;
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
    findOrCreate(shard.counters, name, label) += amount;
}

void Metrics::countRefusal(const Failure &failure)
{
    count("refusals_total", makeFailureLabels(failure));
}

void Metrics::countRetry(const Failure &failure)
{
    count("retries_total", makeFailureLabels(failure));
}

void Metrics::setGauge(std::string_view name, double value, std::string_view label)
{
    auto &shard = shardOf(name, label);
    const std::lock_guard lock(shard.mutex);
    findOrCreate(shard.gauges, name, label) = value;
}

void Metrics::observe(std::string_view name, std::chrono::nanoseconds duration, std::string_view label)
{
    auto &shard = shardOf(name, label);
    const std::lock_guard lock(shard.mutex);
    auto &histogram = findOrCreate(shard.histograms, name, label);
    histogram.buckets(std::chrono::duration<double, std::milli>(duration).count());
    histogram.sumSeconds += std::chrono::duration<double>(duration).count();
    ++histogram.count;
}

long long Metrics::counter(std::string_view name, std::string_view label) const
{
    auto &shard = shardOf(name, label);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.counters.find(MetricKeyView(name, label));
    return found == shard.counters.end() ? 0 : found->second;
}

std::chrono::nanoseconds Metrics::quantile(std::string_view name, double quantile, std::string_view label) const
{
    auto &shard = shardOf(name, label);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.histograms.find(MetricKeyView(name, label));
    if (found == shard.histograms.end()) {
        return {};
    }
    const auto &histogram = found->second;
    const auto &axis = histogram.buckets.axis();
    double cumulative = histogram.buckets.at(-1);
    double boundMs = lowestBoundMs;
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
            stream << "auburndoor_" << key.first << renderLabels(key) << ' ' << value << '\n';
        }
        for (const auto &[key, value] : shard.gauges) {
            stream << "auburndoor_" << key.first << renderLabels(key) << ' ' << value << '\n';
        }
        for (const auto &[key, histogram] : shard.histograms) {
            writeHistogram(stream, key, histogram);
        }
    }
    return stream.str();
}

} // namespace auburndoor
