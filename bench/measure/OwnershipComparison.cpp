#include "measure/OwnershipComparison.h"

#include "measure/RequestLoad.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace auburndoor {

namespace {

constexpr int instanceCount = 8;
constexpr int domainCount = 3;
constexpr int workersPerDomain = 8;
constexpr int slotsPerWorker = 4;
constexpr int runMs = 100;
/** 50% and 90% of the 960 requests per second that the 96 slots of the cell can serve. */
constexpr double moderateRate = 480;
constexpr double highRate = 864;
constexpr std::chrono::milliseconds warmUpDuration { 500 };
constexpr std::chrono::milliseconds loadDuration { 2500 };
/** A shard whose first owner is not the preferred one moves to that one within a few lease times. */
constexpr std::chrono::milliseconds settleTimeout { 15'000 };
constexpr std::chrono::milliseconds stablePeriod { 1500 };

struct LoadRun
{
    MeasuredLoad load;
    RequestResult requests;
};

/** Waits until ownership has not changed for 1.5 s and, with a single placer, one instance owns all workers. Throws
    std::runtime_error after 15 s. */
void waitUntilOwnershipSettles(const MeasuredCell &cell, bool isSingle)
{
    const auto deadline = std::chrono::steady_clock::now() + settleTimeout;
    auto lastOwned = cell.readOwnedWorkers();
    auto unchangedSince = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        const auto owned = cell.readOwnedWorkers();
        const auto isExpectedOwnership = !isSingle
                                         || *std::max_element(owned.begin(), owned.end()) == workersPerDomain * domainCount;
        if (owned != lastOwned || !isExpectedOwnership) {
            lastOwned = owned;
            unchangedSince = std::chrono::steady_clock::now();
        } else if (std::chrono::steady_clock::now() >= unchangedSince + stablePeriod) {
            return;
        }
    }
    throw std::runtime_error("ownership of the workers did not stabilize within the time limit");
}

LoadRun runLoad(MeasuredCell &cell, const std::string &mode, double rate)
{
    RequestPlan plan;
    plan.perSecond = rate;
    plan.runMs = runMs;
    plan.callersPerInstance = 32;
    {
        RequestLoad warmUpRequests(cell.cell(), plan);
        std::this_thread::sleep_for(warmUpDuration);
    }
    CellLoad load { mode, instanceCount, workersPerDomain * domainCount, 0, rate };
    RequestLoad requests(cell.cell(), plan);
    auto measured = measureCell(cell.cell(), load, { 1, loadDuration });
    return { std::move(measured), requests.stop() };
}

double computeQuantile(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(values.size())))];
}

template<typename Value>
Spread computeSpread(const std::vector<LoadRun> &runs, Value valueOf)
{
    std::vector<double> values;
    std::transform(runs.begin(), runs.end(), std::back_inserter(values), valueOf);
    return Spread::of(std::move(values));
}

OwnershipResult summarize(const std::string &mode, double rate, const std::vector<LoadRun> &runs)
{
    OwnershipResult result;
    result.mode = mode;
    result.requestsPerSecond = rate;
    result.p50Ms = computeSpread(runs, [](const LoadRun &run) { return computeQuantile(run.requests.waitingMs, 0.5); });
    result.p99Ms = computeSpread(runs, [](const LoadRun &run) { return computeQuantile(run.requests.waitingMs, 0.99); });
    result.maxMs = computeSpread(runs, [](const LoadRun &run) { return computeQuantile(run.requests.waitingMs, 1); });
    result.cpuPercent = computeSpread(runs, [](const LoadRun &run) { return run.load.cpuPercent.median; });
    result.highestCpuPercent = computeSpread(runs, [](const LoadRun &run) { return run.load.highestCpuPercent.median; });
    result.forwardedPerSecond = computeSpread(runs, [](const LoadRun &run) {
        const auto found = run.load.messages.find("peer/execute");
        return found == run.load.messages.end() ? 0 : found->second * instanceCount;
    });
    for (const auto &run : runs) {
        for (const auto &[outcome, count] : run.requests.outcomes) {
            result.outcomes[outcome] += count;
        }
    }
    return result;
}

} // namespace

std::vector<OwnershipResult> compareOwnership(const MeasureOptions &options)
{
    const std::vector<std::string> modes { "sharded", "single" };
    const auto rates = options.isQuick ? std::vector { highRate } : std::vector { moderateRate, highRate };
    std::map<std::pair<std::string, double>, std::vector<LoadRun>> runs;
    const int repetitions = options.isQuick ? 1 : 3;
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        for (const auto &mode : modes) {
            MeasuredCellPlan plan;
            plan.programs = options.programs;
            plan.folder = options.folder + "/" + mode;
            plan.instances = instanceCount;
            // A short lease makes ownership stabilize quickly; no lease expires in these runs.
            plan.times = { 1500, 500 };
            plan.extraSettings = ", \"placement\": {\"ownership\": \"" + mode + "\"}";
            MeasuredCell cell(plan);
            for (int domain = 0; domain < domainCount; ++domain) {
                cell.startWorkers(domain, workersPerDomain, slotsPerWorker);
            }
            cell.waitUntilOwned();
            waitUntilOwnershipSettles(cell, mode == "single");
            for (const auto rate : rates) {
                runs[{ mode, rate }].push_back(runLoad(cell, mode, rate));
            }
        }
    }
    std::vector<OwnershipResult> results;
    for (const auto rate : rates) {
        for (const auto &mode : modes) {
            results.push_back(summarize(mode, rate, runs.at({ mode, rate })));
        }
    }
    return results;
}

} // namespace auburndoor
