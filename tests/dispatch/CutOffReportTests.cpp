#include "dispatch/OwnerFixture.h"
#include "entry/WorkerRelayCodec.h"
#include "entry/WorkerRelayMessages.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr const char *job = "00000000000000aa";
constexpr std::size_t listedEnds = 5;
constexpr int tasks = 60;

/** Two workers that list few of their ended runs at a time, and a job whose tasks end faster than that while the store is away. */
struct CutOffReportFixture : OwnerFixture
{
    CutOffReportFixture()
    {
        for (const auto *id : { "w1", "w2" }) {
            addWorker(id, 2).maxListedEnds = listedEnds;
        }
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(300), RunOutcome::Done }; };
        takeOver();
    }

    void submitAndTakeStoreDown()
    {
        REQUIRE(submit(job, jobBody(tasks, 100)) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(100));
        REQUIRE(starts.size() == 40);
        store.setDown(true);
        timers.advance(Milliseconds(2000));
        for (const auto &[id, worker] : fleet.workers()) {
            REQUIRE(worker->listedEnds().size() > listedEnds);
        }
    }

    void checkEachTaskStartedOnce()
    {
        CHECK(runUntil(job, JobStage::Completed, Milliseconds(20000)));
        CHECK(starts.size() == tasks);
        CHECK(violations().empty());
    }
};

} // namespace

// Guards against an owner that takes a run for gone which a report with all the ends that it may list has left out.
TEST_CASE("runs that have ended beyond the listed ends of a worker are not started again")
{
    CutOffReportFixture cell;
    cell.submitAndTakeStoreDown();
    cell.store.setDown(false);
    cell.checkEachTaskStartedOnce();
}

// Guards against a successor that takes the first report of a worker for whole.
TEST_CASE("a new owner reads all ended runs of a worker before it starts tasks that may have run there")
{
    // Also when the store stays away for longer than the leases of the former owner hold.
    const auto outage = GENERATE(Milliseconds(0), Milliseconds(3000), Milliseconds(9000));
    CAPTURE(outage.count());
    CutOffReportFixture cell;
    cell.submitAndTakeStoreDown();
    cell.store.setDown(false);
    cell.takeOver();
    cell.store.setDown(outage != Milliseconds(0));
    cell.timers.advance(outage);
    cell.store.setDown(false);
    cell.checkEachTaskStartedOnce();
}

// Guards against acknowledgements that are lost on the way while the ends of a worker are read in several reports.
TEST_CASE("ended runs beyond the listed ones are read although polls fail in between")
{
    const bool hasTakeover = GENERATE(false, true);
    CAPTURE(hasTakeover);
    CutOffReportFixture cell;
    cell.submitAndTakeStoreDown();
    cell.store.setDown(false);
    if (hasTakeover) {
        cell.takeOver();
    }
    for (int cut = 0; cut < 4; ++cut) {
        cell.fleet.worker("w1").isCutOff = true;
        cell.timers.advance(Milliseconds(130));
        cell.fleet.worker("w1").isCutOff = false;
        cell.timers.advance(Milliseconds(270));
    }
    cell.checkEachTaskStartedOnce();
}

// Guards against a start without an answer that is taken for one that never ran, since its end is beyond the listed ones.
TEST_CASE("starts whose answers are lost are not repeated after their runs have ended beyond the listed ends")
{
    CutOffReportFixture cell;
    cell.fleet.drawFault = [] { return CommandFault { CommandFault::Kind::AnswerLost }; };
    REQUIRE(cell.submit(job, jobBody(tasks, 100)) == ClientResult::Outcome::Accepted);
    cell.store.setDown(true);
    cell.timers.advance(Milliseconds(2500));
    cell.fleet.drawFault = nullptr;
    cell.store.setDown(false);
    cell.checkEachTaskStartedOnce();
}

// Guards against a cell that waits for the ends of a worker that no longer answers: once its lease is over they do not count.
TEST_CASE("a worker that falls silent while its ends are read is waited for until its lease is over")
{
    CutOffReportFixture cell;
    cell.submitAndTakeStoreDown();
    cell.store.setDown(false);
    cell.takeOver();
    cell.store.setDown(true);
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(Milliseconds(1000));
    cell.store.setDown(false);
    CHECK(cell.runUntil(job, JobStage::Completed, Milliseconds(20000)));
    CHECK(cell.violations().empty());
}

TEST_CASE("a relay tells that a report is cut off")
{
    const bool isCutOff = GENERATE(false, true);
    TaskReport report;
    report.isCutOff = isCutOff;
    RelayReplies replies;
    replies.replies.push_back({ 1, { CommandOutcome::Accepted, {} }, report });
    std::string error;
    const auto read = WorkerRelayCodec::decodeReplies(WorkerRelayCodec::encodeReplies(replies), error);
    REQUIRE(read);
    REQUIRE(read->replies.at(0).report);
    CHECK(read->replies.at(0).report->isCutOff == isCutOff);
}
