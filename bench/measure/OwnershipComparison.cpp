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
constexpr int slotsOfWorker = 4;
constexpr int runMs = 100;
/** The cell's 96 slots take 960 requests a second: half of them, and nine tenths. */
constexpr double moderateRate = 480;
constexpr double highRate = 864;
constexpr std::chrono::milliseconds warmUp { 500 };
constexpr std::chrono::milliseconds loadTime { 2500 };
/** A shard that starts at another owner than the preferred one moves within a few lease times. */
constexpr std::chrono::milliseconds settleLimit { 15'000 };
constexpr std::chrono::milliseconds stabilizationTime { 1500 };

struct Run
{
    MeasuredLoad load;
    RequestResult requests;
};

/** Waits until ownership has not changed for a while and, with a single placer, one instance owns all workers. */
void settle(const MeasuredCell &cell, bool isSingle)
{
    const auto limit = std::chrono::steady_clock::now() + settleLimit;
    auto last = cell.ownedWorkers();
    auto since = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        const auto owned = cell.ownedWorkers();
        const auto isAsWanted = !isSingle || *std::max_element(owned.begin(), owned.end()) == workersPerDomain * domainCount;
        if (owned != last || !isAsWanted) {
            last = owned;
            since = std::chrono::steady_clock::now();
        } else if (std::chrono::steady_clock::now() >= since + stabilizationTime) {
            return;
        }
    }
    throw std::runtime_error("ownership did not settle");
}

Run runLoad(MeasuredCell &cell, const std::string &mode, double rate)
{
    RequestPlan plan;
    plan.perSecond = rate;
    plan.runMs = runMs;
    plan.callersPerInstance = 32;
    {
        RequestLoad first(cell.cell(), plan);
        std::this_thread::sleep_for(warmUp);
    }
    CellLoad load { mode, instanceCount, workersPerDomain * domainCount, 0, rate };
    RequestLoad requests(cell.cell(), plan);
    auto measured = measureCell(cell.cell(), load, { 1, loadTime });
    return { std::move(measured), requests.stop() };
}

double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(values.size())))];
}

template<typename Value>
Spread spreadOf(const std::vector<Run> &runs, Value valueOf)
{
    std::vector<double> values;
    std::transform(runs.begin(), runs.end(), std::back_inserter(values), valueOf);
    return Spread::of(std::move(values));
}

OwnershipResult summarize(const std::string &mode, double rate, const std::vector<Run> &runs)
{
    OwnershipResult result;
    result.mode = mode;
    result.requestsPerSecond = rate;
    result.p50Ms = spreadOf(runs, [](const Run &run) { return quantileOf(run.requests.waitingMs, 0.5); });
    result.p99Ms = spreadOf(runs, [](const Run &run) { return quantileOf(run.requests.waitingMs, 0.99); });
    result.maxMs = spreadOf(runs, [](const Run &run) { return quantileOf(run.requests.waitingMs, 1); });
    result.cpuPercent = spreadOf(runs, [](const Run &run) { return run.load.cpuPercent.median; });
    result.highestCpuPercent = spreadOf(runs, [](const Run &run) { return run.load.highestCpuPercent.median; });
    result.forwardedPerSecond = spreadOf(runs, [](const Run &run) {
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
    std::map<std::pair<std::string, double>, std::vector<Run>> runs;
    const int repetitions = options.isQuick ? 1 : 3;
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        for (const auto &mode : modes) {
            MeasuredCellPlan plan;
            plan.programs = options.programs;
            plan.folder = options.folder + "/" + mode;
            plan.instances = instanceCount;
            // A short lease lets ownership settle soon; nothing expires in these runs.
            plan.times = { 1500, 500 };
            plan.extraSettings = ", \"placement\": {\"ownership\": \"" + mode + "\"}";
            MeasuredCell cell(plan);
            for (int domain = 0; domain < domainCount; ++domain) {
                cell.startWorkers(domain, workersPerDomain, slotsOfWorker);
            }
            cell.waitUntilOwned();
            settle(cell, mode == "single");
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
