#include "dispatch/Fleet.h"
#include "fakes/AdoptingFleetListener.h"
#include "fakes/ManualTimers.h"
#include "fakes/ScriptedWorkerClient.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

/** A fleet with one worker whose replies the test gives. */
struct ScriptedFleet
{
    ScriptedFleet()
        : evidence(timers, EvidenceTiming(), CallTime::now(timers)), fleet(timers, factory, listener, FleetTiming(), 1, evidence)
    {
        WorkerEntry entry;
        entry.id = "w1";
        entry.incarnation = 1;
        fleet.setEntry(entry);
        timers.advance(Milliseconds(1));
        answerReport(0, {}, {});
    }

    /** A run of the task with this index. */
    static RunKey key(int index)
    {
        return { { "00000000000000aa", 0, 0, index }, 1 };
    }
    /** Sends a start. */
    void start(int index)
    {
        StartCommand command;
        command.task = key(index).task;
        command.attempt = 1;
        fleet.start("w1", command, {});
    }
    /** Answers a start after 5 ms. */
    void answerStart(std::size_t number, CommandOutcome outcome)
    {
        timers.advance(Milliseconds(5));
        REQUIRE(factory.worker.starts.size() > number);
        auto callback = factory.worker.starts[number];
        callback({ outcome, {} });
        timers.advance(Milliseconds(5));
    }
    /** Answers a request for a report with the runs of these tasks. */
    void answerReport(std::size_t number, const std::vector<int> &running, const std::vector<int> &ended)
    {
        REQUIRE(factory.worker.reports.size() > number);
        TaskReport report;
        report.incarnation = 1;
        for (const int index : running) {
            report.running.push_back({ key(index).task, 1, {}, 10, -1 });
        }
        for (const int index : ended) {
            report.ended.push_back({ ++endCount, key(index).task, 1, RunOutcome::Done, {} });
        }
        auto callback = factory.worker.reports[number];
        callback({ CommandOutcome::Accepted, {} }, report);
        timers.advance(Milliseconds(5));
    }
    bool hasRun(int index)
    {
        return fleet.run("w1", key(index)) != nullptr;
    }

    ManualTimers timers;
    ScriptedWorkerClientFactory factory;
    AdoptingFleetListener listener;
    OwnershipEvidence evidence;
    Fleet fleet;
    std::int64_t endCount = 0;
};

} // namespace

// Guards against a report of the time before a loss that is taken for evidence against it, and against a later one that is not.
TEST_CASE("only a report that was requested after a loss contradicts it", "[loss]")
{
    ScriptedFleet cell;
    cell.start(0);
    cell.start(1);
    cell.answerStart(1, CommandOutcome::Accepted);
    REQUIRE(cell.factory.worker.reports.size() == 2);
    cell.answerStart(0, CommandOutcome::NoCapacity);
    REQUIRE(cell.listener.lost.size() == 1);
    cell.answerReport(1, { 0, 1 }, {});
    CHECK(cell.listener.readopted.empty());
    CHECK_FALSE(cell.hasRun(0));
    REQUIRE(cell.factory.worker.reports.size() == 3);
    cell.answerReport(2, { 0, 1 }, {});
    CHECK(cell.listener.readopted == std::vector { ScriptedFleet::key(0) });
    CHECK(cell.hasRun(0));
    CHECK(cell.listener.adopted.empty());
    CHECK(cell.factory.worker.stops.empty());
}

// Guards against a run that is taken up again by an overtaken report although its end is known.
TEST_CASE("a run that was given up and whose end is listed is not taken up again by an older report", "[loss]")
{
    ScriptedFleet cell;
    cell.start(0);
    cell.start(1);
    cell.start(2);
    cell.answerStart(0, CommandOutcome::NoCapacity);
    cell.answerStart(1, CommandOutcome::Accepted);
    // Two requests are open: the poll, and one for the start without an answer.
    cell.answerStart(2, CommandOutcome::Unknown);
    REQUIRE(cell.factory.worker.reports.size() == 3);
    // Longer than ended runs are remembered.
    cell.timers.advance(Milliseconds(11000));
    cell.answerReport(1, { 2 }, { 0, 1 });
    cell.answerReport(2, { 0, 1, 2 }, {});
    CHECK(cell.listener.readopted.empty());
    CHECK(cell.listener.adopted.empty());
    CHECK_FALSE(cell.hasRun(0));
    CHECK_FALSE(cell.hasRun(1));
    CHECK(cell.hasRun(2));
}
