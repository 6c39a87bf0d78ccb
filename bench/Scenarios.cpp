#include "Scenarios.h"

#include "PoolModel.h"
#include "Report.h"
#include "Statistics.h"

#include "placement/BestFitPlacer.h"
#include "placement/FirstFitPlacer.h"
#include "placement/RandomPlacer.h"

#include <algorithm>
#include <cmath>

using namespace auburndoor;

namespace {

const BestFitPlacer bestFit;
const FirstFitPlacer firstFit;

constexpr int declaredReserve = 25;

PolicyOptions fifoPolicy()
{
    return { "fifo first-fit", &firstFit, false, 0, false };
}

PolicyOptions productPolicy()
{
    return { "product", &bestFit, true, declaredReserve, true };
}

struct Measured
{
    std::vector<double> shortWaits;
    std::vector<double> mediumWaits;
    std::vector<double> stragglerWaits;
    std::vector<double> shortSlowdowns;
    double lateShare = 0;
    double refusedShare = 0;
    double goodput = 0;
    int lostBelowLimit = 0;
};

/** Figures over the items that arrive from a moment on until another. */
Measured measure(const std::vector<WorkItem> &items,
                 const std::vector<ItemResult> &results,
                 std::chrono::seconds from,
                 std::chrono::seconds to)
{
    Measured measured;
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
        onTime += result.end == ItemResult::End::OnTime ? 1 : 0;
        refused += result.end == ItemResult::End::Refused ? 1 : 0;
        if (!result.isStarted) {
            continue;
        }
        auto &waits = item.kind == "short" ? measured.shortWaits
                                           : (item.kind == "medium" ? measured.mediumWaits : measured.stragglerWaits);
        waits.push_back(result.waitMs);
        if (item.kind == "short") {
            const auto runMs = std::chrono::duration<double, std::milli>(item.runTime).count();
            measured.shortSlowdowns.push_back((result.waitMs + runMs) / runMs);
        }
    }
    measured.lateShare = 1 - onTime / count;
    measured.refusedShare = refused / count;
    measured.goodput = onTime / std::chrono::duration<double>(to - from).count();
    return measured;
}

Measured runPolicy(const PolicyOptions &policy,
                   const std::vector<WorkItem> &items,
                   std::chrono::seconds from,
                   std::chrono::seconds to)
{
    PoolModel model(policy, {});
    const auto results = model.run(items);
    auto measured = measure(items, results, from, to);
    measured.lostBelowLimit = model.lostBelowLoadLimit();
    return measured;
}

void addWaits(Report &report, const std::string &name, const Measured &measured)
{
    const auto addKind = [&](const std::string &kind, const std::vector<double> &waits) {
        report.add(name + kind + " wait p50", quantile(waits, 0.5), "ms");
        report.add(name + kind + " wait p99", quantile(waits, 0.99), "ms");
        report.add(name + kind + " wait max", quantile(waits, 1), "ms");
    };
    addKind("short", measured.shortWaits);
    addKind("medium", measured.mediumWaits);
    addKind("straggler", measured.stragglerWaits);
    report.add(name + "short slowdown p99", quantile(measured.shortSlowdowns, 0.99), "x");
    report.add(name + "late share", measured.lateShare, "");
    report.add(name + "refused share", measured.refusedShare, "");
    report.add(name + "goodput", measured.goodput, "1/s");
}

struct Comparison
{
    Measured fifo;
    Measured product;
};

Comparison compare(Report &report,
                   const std::string &name,
                   const WorkloadOptions &options,
                   std::chrono::seconds from,
                   std::chrono::seconds to)
{
    const auto items = makeWorkload(options);
    const RandomPlacer random(options.seed);
    auto fixedReserve = productPolicy();
    fixedReserve.name = "product, fixed reserve";
    fixedReserve.isReserveAdaptive = false;
    Comparison comparison;
    for (const auto &policy :
         { fifoPolicy(), PolicyOptions { "fifo random", &random, false, 0, false }, fixedReserve, productPolicy() }) {
        const auto measured = runPolicy(policy, items, from, to);
        addWaits(report, name + ", " + policy.name + ": ", measured);
        if (policy.name == "fifo first-fit") {
            comparison.fifo = measured;
        }
        comparison.product = measured;
    }
    return comparison;
}

void addStragglerBound(Report &report, const std::string &name, const Comparison &comparison)
{
    // "p99 wait of short work on accelerators at most a tenth of FIFO's under stragglers".
    constexpr double part = 0.1;
    report.addAtMost(name + ": short wait p99 of the product",
                     quantile(comparison.product.shortWaits, 0.99),
                     "ms",
                     part * quantile(comparison.fifo.shortWaits, 0.99));
}

std::string percentText(double load)
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
        options.crestFactor = 1;
        const auto steady = "steady, " + percentText(load);
        const auto steadyResult = compare(report, steady, options, warmUp, options.duration);
        addStragglerBound(report, steady, steadyResult);
        if (load < 0.8) {
            // "No on-time request refused below 80% load": a request that expires in the queue counts like a refusal.
            report.addAtMost(steady + ": lost by the product", steadyResult.product.lateShare, "", 0);
        }
        options.bursts = { seconds(10), seconds(25), seconds(40) };
        const auto burst = "bursts of stragglers, " + percentText(load);
        addStragglerBound(report, burst, compare(report, burst, options, warmUp, options.duration));
        options.bursts.clear();
        options.crestFactor = 3;
        options.crestStart = seconds(10);
        const auto crest = "threefold crest, " + percentText(load);
        const auto crestResult = compare(report, crest, options, options.crestStart, options.crestStart + options.crestLength);
        // "Late share at a threefold crest at most half of FIFO's". Refused and expired requests count as late.
        report.addAtMost(
            crest + ": late share of the product", crestResult.product.lateShare, "", 0.5 * crestResult.fifo.lateShare);
        report.addAtMost(crest + ": lost while load was below 80%", crestResult.product.lostBelowLimit, "", 0);
    }
}

namespace {

/** The largest part that a team lacks of what it is entitled to: what it asks for, or an equal share if it asks for more. */
double largestGap(const PolicyOptions &policy, const WorkloadOptions &options)
{
    constexpr std::chrono::seconds from { 10 };
    const auto items = makeWorkload(options);
    PoolModel model(policy, {});
    const auto results = model.run(items);
    const auto got = model.workByTeam(items, results, from, options.duration);
    std::vector<double> asked(got.size());
    for (const auto &item : items) {
        if (item.arrival >= from) {
            asked[static_cast<std::size_t>(item.team)] += std::chrono::duration<double>(item.runTime).count();
        }
    }
    const auto capacity = options.slots * std::chrono::duration<double>(options.duration - from).count();
    double gap = 0;
    for (std::size_t team = 0; team < got.size(); ++team) {
        const auto entitled = std::min(asked[team], capacity / static_cast<double>(got.size()));
        gap = std::max(gap, (entitled - got[team]) / entitled);
    }
    return gap;
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
                       largestGap(policy, options),
                       "");
        }
    }
}

void measureUrgentStarts(Report &report, std::uint64_t seed, bool isQuick)
{
    using std::chrono::seconds;
    // 8 s of run time at 600 starts a second are 4,800 tasks; with 1,200 long-running ones 6,000 run. The need makes 7,000 places.
    const Resources need { 6400, 12'800, 0, 1, 1 };
    const PoolOptions pool { 1400, 40, { 32'000, 65'536, 0, 8, 64 } };
    for (const double startsPerSecond : { 600.0, 900.0 }) {
        auto items = std::vector<WorkItem>(1200);
        for (auto &item : items) {
            item.runTime = item.deadline = item.declaredRunTime = seconds(3600);
            item.kind = "service";
            item.need = need;
        }
        const double lengthSeconds = isQuick ? 15 : 30;
        std::uint64_t state = seed;
        for (int index = 0; index < static_cast<int>(lengthSeconds * startsPerSecond); ++index) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            WorkItem item;
            item.arrival = std::chrono::microseconds(static_cast<long long>(index * 1e6 / startsPerSecond));
            item.runTime = Milliseconds(4000 + static_cast<int>((state >> 33U) % 8000));
            item.deadline = item.arrival + seconds(60);
            item.declaredRunTime = seconds(8);
            item.kind = "batch";
            item.team = static_cast<int>((state >> 40U) % 25);
            item.priority = (state >> 50U) % 10 == 0 ? Priority::Urgent : Priority::Normal;
            item.need = need;
            items.push_back(item);
        }
        for (const auto &policy : { fifoPolicy(), productPolicy() }) {
            PoolModel model(policy, pool);
            const auto results = model.run(items);
            std::vector<double> waits;
            for (std::size_t index = 0; index < items.size(); ++index) {
                if (items[index].priority == Priority::Urgent) {
                    waits.push_back(results[index].isStarted ? results[index].waitMs : 1e9);
                }
            }
            const auto name = std::to_string(static_cast<int>(startsPerSecond)) + " starts/s, 1400 workers, " + policy.name
                              + ": urgent start max";
            // "Urgent work started within 2.8 s".
            if (policy.isProduct) {
                report.addAtMost(name, quantile(waits, 1), "ms", 2800);
            } else {
                report.add(name, quantile(waits, 1), "ms");
            }
        }
    }
}
