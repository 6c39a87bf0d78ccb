#include "soak/ProcessCell.h"
#include "soak/ServiceMonitor.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace auburndoor;

namespace {

constexpr int entryCount = 5;
constexpr int workerCount = 4;
constexpr Milliseconds stopInterval { 1100 };
constexpr Milliseconds duration { 20000 };
/** Half of the grace period (graceS). */
constexpr Milliseconds minHoldTime { 3000 };

/** A cell whose owner is told to stop again and again. Logs stay in the folder soak-stop-series. */
struct StopSeriesCell
{
    StopSeriesCell()
        : cell(1,
               entryCount,
               workerCount,
               std::string(PROGRAM_FOLDER) + "/soak-stop-series",
               [](const TaskName &task, std::int64_t) { return ServiceMonitor::planWork(task); })
        , monitor(cell)
    {
    }

    /** Sends SIGTERM to the process that owns the cell, unless it is stopping, and does so again after each interval. */
    void stopOwners()
    {
        auto *owner = cell.owner();
        if (owner != nullptr && owner->isRunning() && !owner->isStopping()) {
            cell.record(owner->name(), "SIGTERM; it is the owner");
            stoppedAt[owner->name()] = cell.loop.now();
            lastStopped = owner->name();
            owner->terminate();
        }
        cell.restartStoppedProcesses();
        cell.loop.after(stopInterval, [this] { stopOwners(); });
    }

    void onTakeover(const std::string &successor)
    {
        cell.record(successor, "has taken over");
        ++takeovers;
        if (!lastStopped.empty()) {
            const auto held = std::chrono::duration_cast<Milliseconds>(cell.loop.now() - stoppedAt[lastStopped]);
            shortestHold = std::min(shortestHold, held);
            lastStopped.clear();
        }
    }

    ProcessCell cell;
    ServiceMonitor monitor;
    std::map<std::string, TimePoint> stoppedAt;
    /** The owner that was told to stop and has no successor yet. */
    std::string lastStopped;
    int takeovers = 0;
    Milliseconds shortestHold = Milliseconds::max();
};

} // namespace

// Guards against owners that each live for about a second, so that the next one has hardly read what runs: planned stops that
// follow each other closely, each of the process that owns the cell, as rolling restarts that overlap.
TEST_CASE("an owner that is told to stop goes on for as long as its grace period allows", "[stops]")
{
    constexpr Milliseconds ownerLimit { 10000 };
    constexpr Milliseconds settleTime { 1500 };
    StopSeriesCell series;
    REQUIRE(series.cell.runUntil([&series] { return series.cell.owner() != nullptr; }, ownerLimit));
    REQUIRE(series.monitor.startServices());
    series.cell.runFor(settleTime);
    series.monitor.start();
    series.cell.platform.onTakeover = [&series](const std::string &successor) { series.onTakeover(successor); };
    series.stopOwners();
    series.cell.runFor(duration);
    std::string timeline;
    for (const auto &line : series.cell.timeline) {
        timeline += line + "\n";
    }
    INFO(timeline);
    WARN(series.takeovers << " takeovers, shortest time from a stop to the next owner " << series.shortestHold.count()
                          << " ms, longest time without an answer " << series.monitor.longestTimeWithoutAnswer().count() << " ms");
    CHECK(series.takeovers > 0);
    CHECK(series.shortestHold >= minHoldTime);
    for (const auto &violations :
         { series.monitor.violations(), series.cell.violations, series.cell.platform.checker.violations }) {
        for (const auto &violation : violations) {
            FAIL_CHECK(violation);
        }
    }
}
