#include "DecisionCost.h"

#include "Report.h"
#include "Statistics.h"

#include "admission/FairDeadlineOrder.h"
#include "admission/ShareAccounts.h"
#include "placement/BestFitPlacer.h"
#include "placement/CapacityLedger.h"

#include <algorithm>
#include <deque>
#include <thread>

using namespace auburndoor;

namespace {

const ServiceId service("namestudio");
const Resources capacity { 32'000, 65'536, 8, 8, 64 };
const Resources need { 2000, 4096, 1, 1, 1 };
const PlacementNeed placementNeed { service, need, false, 25, {} };
constexpr int shardCount = 40;
constexpr int maximumRunningTasks = 6000;

void fillLedger(CapacityLedger &ledger, int workers)
{
    for (int index = 0; index < workers; ++index) {
        const auto name = std::to_string(index);
        const auto shard = std::to_string(index % shardCount);
        ledger.addWorker(
            { { WorkerId("w" + name), service, FailureDomainId("d" + std::to_string(index % 5)), capacity, {}, 0, true },
              "10.0.0.1:" + name,
              ShardId("d/" + shard),
              1 },
            {});
    }
    // At most 80% of the slots are filled, so that the measured reservations find free slots in small pools.
    constexpr double maximumFilledShare = 0.8;
    const auto tasks = std::min<double>(maximumRunningTasks, maximumFilledShare * static_cast<double>(workers * capacity.slots));
    for (int task = 0; task < static_cast<int>(tasks); ++task) {
        ledger.reserve(placementNeed, { "running" + std::to_string(task), TeamId("t" + std::to_string(task % 25)), need, false });
    }
}

/** Reserves and releases capacity once per round. @return the duration of each pair, in microseconds */
std::vector<double> measureReservations(CapacityLedger &ledger, int thread, int rounds)
{
    std::vector<double> durations;
    for (int round = 0; round < rounds; ++round) {
        const auto key = std::to_string(thread) + "/" + std::to_string(round);
        const auto start = std::chrono::steady_clock::now();
        const auto reservation = ledger.reserve(placementNeed, { key, TeamId("t1"), need, false });
        if (reservation) {
            ledger.release(reservation->shard, reservation->worker, key);
        }
        durations.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count());
    }
    return durations;
}

void measureReservationCost(Report &report, int workers, int threadCount, int rounds)
{
    const BestFitPlacer placer;
    CapacityLedger ledger(placer);
    fillLedger(ledger, workers);
    std::vector<std::vector<double>> results(static_cast<std::size_t>(threadCount));
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back(
            [&, thread] { results[static_cast<std::size_t>(thread)] = measureReservations(ledger, thread, rounds); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    std::vector<double> allDurations;
    for (const auto &result : results) {
        allDurations.insert(allDurations.end(), result.begin(), result.end());
    }
    const auto name = "decision cost, " + std::to_string(workers) + " workers, " + std::to_string(threadCount) + " threads: ";
    const auto reservationsPerSecond = static_cast<double>(allDurations.size()) / seconds;
    // "Thousands of placements per second, each decided in milliseconds" (section 1.2 of the design).
    constexpr double requiredReservationsPerSecond = 2000;
    constexpr double maximumDurationUs = 5000;
    if (workers <= 1400) {
        report.addAtLeast(name + "rate", reservationsPerSecond, "1/s", requiredReservationsPerSecond);
    } else {
        report.add(name + "rate", reservationsPerSecond, "1/s");
    }
    report.add(name + "p50", quantile(allDurations, 0.5), "us");
    report.add(name + "p99", quantile(allDurations, 0.99), "us");
    report.addAtMost(name + "p99.9", quantile(allDurations, 0.999), "us", maximumDurationUs);
}

} // namespace

namespace {

/** Measures the choice among 1,000 waiting requests of 25 teams, which a full pool makes whenever capacity changes. */
void measureQueueOrder(Report &report, int rounds)
{
    ShareAccounts shares;
    shares.setCapacity(capacity, capacity);
    FairDeadlineOrder order(shares);
    std::deque<QueueEntry> entries;
    const TimePoint start { std::chrono::hours(1) };
    constexpr int waiting = 1000;
    constexpr int teams = 25;
    constexpr std::size_t scanLimit = 64;
    for (int index = 0; index < waiting; ++index) {
        QueueEntry entry;
        entry.id = RequestId(std::to_string(index));
        entry.team = TeamId("team" + std::to_string(index % teams));
        entry.need = need;
        entry.arrival = start + Milliseconds(index);
        entry.deadline = entry.arrival + Milliseconds(60'000);
        entries.push_back(entry);
        order.add(entries.back());
    }
    std::vector<double> durations;
    for (int round = 0; round < rounds; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        const auto heads = order.heads(start + Milliseconds(waiting), scanLimit);
        order.remove(*heads.front());
        order.add(*heads.front());
        order.started(*heads.front(), 0);
        durations.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
    }
    report.add("queue order, 1000 waiting of 25 teams: p50", quantile(durations, 0.5), "us");
    report.add("queue order, 1000 waiting of 25 teams: p99", quantile(durations, 0.99), "us");
    report.addAtMost("queue order, 1000 waiting of 25 teams: p99.9", quantile(durations, 0.999), "us", 5000);
}

} // namespace

void measureDecisionCost(Report &report, bool isQuick)
{
    const int rounds = isQuick ? 5000 : 20'000;
    for (const int workers : { 48, 350, 1400, 5600 }) {
        measureReservationCost(report, workers, 1, rounds);
    }
    measureReservationCost(report, 1400, 4, rounds);
    measureQueueOrder(report, rounds);
}
