#include "Scenarios.h"

#include "PoolSimulator.h"
#include "Report.h"
#include "Statistics.h"

#include "placement/BestFitPlacer.h"
#include "placement/FirstFitPlacer.h"
#include "placement/RandomPlacer.h"

#include <algorithm>
#include <cmath>

using namespace auburndoor;

namespace {

const BestFitPlacer bestFitPlacer;
const FirstFitPlacer firstFitPlacer;

constexpr int declaredReservePercent = 25;

PolicyOptions fifoPolicy()
{
    return { "fifo first-fit", &firstFitPlacer, false, 0, false };
}

PolicyOptions productPolicy()
{
    return { "product", &bestFitPlacer, true, declaredReservePercent, true };
}

struct WorkloadMetrics
{
    std::vector<double> shortWaits;
    std::vector<double> mediumWaits;
    std::vector<double> stragglerWaits;
    std::vector<double> shortSlowdowns;
    double lateShare = 0;
    double refusedShare = 0;
    double goodput = 0;
    int unservedWhileBelowLoadLimit = 0;
};

/** Computes the metrics of the items that arrive in the interval [from, to) since the start of the run. */
WorkloadMetrics computeMetrics(const std::vector<WorkItem> &items,
                               const std::vector<WorkItemResult> &results,
                               std::chrono::seconds from,
                               std::chrono::seconds to)
{
    WorkloadMetrics metrics;
    double onTime = 0;
    double refused = 0;
    double count = 0;
    for (std::size_t index = 0; index < items.size(); ++index) {
        const auto &item = items[index];
        const auto &result = results[index];
        if (item.arrival < from || item.arrival >= to) {
            continue;
        }
        ++count;
        onTime += result.outcome == WorkItemResult::Outcome::OnTime ? 1 : 0;
        refused += result.outcome == WorkItemResult::Outcome::Refused ? 1 : 0;
        if (!result.isStarted) {
            continue;
        }
        auto &waits = item.kind == "short" ? metrics.shortWaits
                                           : (item.kind == "medium" ? metrics.mediumWaits : metrics.stragglerWaits);
        waits.push_back(result.waitMs);
        if (item.kind == "short") {
            const auto runMs = std::chrono::duration<double, std::milli>(item.runTime).count();
            metrics.shortSlowdowns.push_back((result.waitMs + runMs) / runMs);
        }
    }
    metrics.lateShare = 1 - onTime / count;
    metrics.refusedShare = refused / count;
    metrics.goodput = onTime / std::chrono::duration<double>(to - from).count();
    return metrics;
}

WorkloadMetrics runPolicy(const PolicyOptions &policy,
                          const std::vector<WorkItem> &items,
                          std::chrono::seconds from,
                          std::chrono::seconds to)
{
    PoolSimulator simulator(policy, {});
    const auto results = simulator.run(items);
    auto metrics = computeMetrics(items, results, from, to);
    metrics.unservedWhileBelowLoadLimit = simulator.countUnservedBelowLoadLimit();
    return metrics;
}

void addMetrics(Report &report, const std::string &name, const WorkloadMetrics &metrics)
{
    const auto addKind = [&](const std::string &kind, const std::vector<double> &waits) {
        report.add(name + kind + " wait p50", quantile(waits, 0.5), "ms");
        report.add(name + kind + " wait p99", quantile(waits, 0.99), "ms");
        report.add(name + kind + " wait max", quantile(waits, 1), "ms");
    };
    addKind("short", metrics.shortWaits);
    addKind("medium", metrics.mediumWaits);
    addKind("straggler", metrics.stragglerWaits);
    report.add(name + "short slowdown p99", quantile(metrics.shortSlowdowns, 0.99), "x");
    report.add(name + "late share", metrics.lateShare, "");
    report.add(name + "refused share", metrics.refusedShare, "");
    report.add(name + "goodput", metrics.goodput, "1/s");
}

struct PolicyComparison
{
    WorkloadMetrics fifo;
    WorkloadMetrics product;
};

PolicyComparison comparePolicies(Report &report,
                                 const std::string &name,
                                 const WorkloadOptions &options,
                                 std::chrono::seconds from,
                                 std::chrono::seconds to)
{
    const auto items = makeWorkload(options);
    const RandomPlacer randomPlacer(options.seed);
    auto fixedReserve = productPolicy();
    fixedReserve.name = "product, fixed reserve";
    fixedReserve.isReserveAdaptive = false;
    PolicyComparison comparison;
    for (const auto &policy :
         { fifoPolicy(), PolicyOptions { "fifo random", &randomPlacer, false, 0, false }, fixedReserve, productPolicy() }) {
        const auto metrics = runPolicy(policy, items, from, to);
        addMetrics(report, name + ", " + policy.name + ": ", metrics);
        if (policy.name == "fifo first-fit") {
            comparison.fifo = metrics;
        }
        comparison.product = metrics;
    }
    return comparison;
}

void addShortWaitBound(Report &report, const std::string &name, const PolicyComparison &comparison)
{
    // Target: "p99 wait of short work on accelerators at most a tenth of FIFO's under stragglers".
    constexpr double maximumWaitRatio = 0.1;
    report.addAtMost(name + ": short wait p99 of the product",
                     quantile(comparison.product.shortWaits, 0.99),
                     "ms",
                     maximumWaitRatio * quantile(comparison.fifo.shortWaits, 0.99));
}

std::string formatLoadPercent(double load)
{
    constexpr double wholePercent = 100;
    return std::to_string(std::lround(load * wholePercent)) + "% load";
}

} // namespace

void measureAcceleratorPool(Report &report, std::uint64_t seed, bool isQuick)
{
    using std::chrono::seconds;
    WorkloadOptions options;
    options.seed = seed;
    options.duration = seconds(isQuick ? 30 : 60);
    constexpr seconds warmUp { 5 };
    for (const double load : { 0.7, 0.85 }) {
        options.load = load;
        options.bursts.clear();
        options.peakFactor = 1;
        const auto steady = "steady, " + formatLoadPercent(load);
        const auto steadyResult = comparePolicies(report, steady, options, warmUp, options.duration);
        addShortWaitBound(report, steady, steadyResult);
        if (load < 0.8) {
            // Target: "No on-time request refused below 80% load". A request that expires in the queue counts as refused.
            report.addAtMost(steady + ": lost by the product", steadyResult.product.lateShare, "", 0);
        }
        options.bursts = { seconds(10), seconds(25), seconds(40) };
        const auto burst = "bursts of stragglers, " + formatLoadPercent(load);
        addShortWaitBound(report, burst, comparePolicies(report, burst, options, warmUp, options.duration));
        options.bursts.clear();
        options.peakFactor = 3;
        options.peakStart = seconds(10);
        const auto peak = "threefold crest, " + formatLoadPercent(load);
        const auto peakResult = comparePolicies(report, peak, options, options.peakStart, options.peakStart + options.peakDuration);
        // Target: "Late share at a threefold crest at most half of FIFO's". Refused and expired requests count as late.
        report.addAtMost(peak + ": late share of the product", peakResult.product.lateShare, "", 0.5 * peakResult.fifo.lateShare);
        report.addAtMost(peak + ": lost while load was below 80%", peakResult.product.unservedWhileBelowLoadLimit, "", 0);
    }
}

namespace {

/** The largest relative shortfall of a team from its entitled work: what it requests, at most an equal share of the capacity. */
double computeLargestShareGap(const PolicyOptions &policy, const WorkloadOptions &options)
{
    constexpr std::chrono::seconds from { 10 };
    const auto items = makeWorkload(options);
    PoolSimulator simulator(policy, {});
    const auto results = simulator.run(items);
    const auto receivedWork = simulator.computeWorkByTeam(items, results, from, options.duration);
    std::vector<double> requestedWork(receivedWork.size());
    for (const auto &item : items) {
        if (item.arrival >= from) {
            requestedWork[static_cast<std::size_t>(item.team)] += std::chrono::duration<double>(item.runTime).count();
        }
    }
    const auto capacity = options.slots * std::chrono::duration<double>(options.duration - from).count();
    double largestGap = 0;
    for (std::size_t team = 0; team < receivedWork.size(); ++team) {
        const auto entitledWork = std::min(requestedWork[team], capacity / static_cast<double>(receivedWork.size()));
        largestGap = std::max(largestGap, (entitledWork - receivedWork[team]) / entitledWork);
    }
    return largestGap;
}

} // namespace

void measureFairness(Report &report, std::uint64_t seed, bool isQuick)
{
    WorkloadOptions options;
    options.seed = seed;
    options.load = 1.5;
    options.floodShare = 0.5;
    options.duration = std::chrono::seconds(isQuick ? 30 : 60);
    for (const bool hasStragglers : { false, true }) {
        options.hasStragglers = hasStragglers;
        for (const auto &policy : { fifoPolicy(), productPolicy() }) {
            const std::string kinds = hasStragglers ? "all kinds" : "no stragglers";
            report.add("one of 25 teams floods, 150% load, " + kinds + ", " + policy.name + ": largest gap to the entitled share",
                       computeLargestShareGap(policy, options),
                       "");
        }
    }
}

void measureUrgentStarts(Report &report, std::uint64_t seed, bool isQuick)
{
    using std::chrono::seconds;
    // 600 starts per second of 8 s each keep 4,800 tasks running, 6,000 with the 1,200 long-running ones. The pool has 7,000 places
    // for this need.
    const Resources need { 6400, 12'800, 0, 1, 1 };
    const PoolOptions pool { 1400, 40, { 32'000, 65'536, 0, 8, 64 } };
    for (const double startsPerSecond : { 600.0, 900.0 }) {
        auto items = std::vector<WorkItem>(1200);
        for (auto &item : items) {
            item.runTime = item.deadline = item.declaredRunTime = seconds(3600);
            item.kind = "service";
            item.need = need;
        }
        const double durationSeconds = isQuick ? 15 : 30;
        std::uint64_t randomState = seed;
        for (int index = 0; index < static_cast<int>(durationSeconds * startsPerSecond); ++index) {
            randomState = randomState * 6364136223846793005ULL + 1442695040888963407ULL;
            WorkItem item;
            item.arrival = std::chrono::microseconds(static_cast<long long>(index * 1e6 / startsPerSecond));
            item.runTime = Milliseconds(4000 + static_cast<int>((randomState >> 33U) % 8000));
            item.deadline = item.arrival + seconds(60);
            item.declaredRunTime = seconds(8);
            item.kind = "batch";
            item.team = static_cast<int>((randomState >> 40U) % 25);
            item.priority = (randomState >> 50U) % 10 == 0 ? Priority::Urgent : Priority::Normal;
            item.need = need;
            items.push_back(item);
        }
        for (const auto &policy : { fifoPolicy(), productPolicy() }) {
            PoolSimulator simulator(policy, pool);
            const auto results = simulator.run(items);
            std::vector<double> waits;
            for (std::size_t index = 0; index < items.size(); ++index) {
                if (items[index].priority == Priority::Urgent) {
                    waits.push_back(results[index].isStarted ? results[index].waitMs : 1e9);
                }
            }
            const auto name = std::to_string(static_cast<int>(startsPerSecond)) + " starts/s, 1400 workers, " + policy.name
                              + ": urgent start max";
            // Target: "Urgent work started within 2.8 s".
            if (policy.usesProductPolicies) {
                report.addAtMost(name, quantile(waits, 1), "ms", 2800);
            } else {
                report.add(name, quantile(waits, 1), "ms");
            }
        }
    }
}
