#include "dispatch/LossFixture.h"

using namespace auburndoor;

// Guards against a second run of a task whose row in a report cannot be read.
TEST_CASE("a run that is missing from a report that cannot be read in full goes on", "[loss]")
{
    LossFixture cell;
    cell.begin(2, jobBody(2, 1500));
    cell.addWorker("w2", 4);
    auto &worker = cell.fleet.worker("w1");
    worker.unlistedRuns = { LossFixture::firstRun() };
    worker.omission = "malformed running task";
    cell.timers.advance(Milliseconds(5000));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.metrics.counter("events_total", "event=worker.report_unreadable") == 1);
    worker.unlistedRuns.clear();
    worker.omission.clear();
    CHECK(cell.runUntil(LossFixture::job, JobStage::Completed, Milliseconds(20000)));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.metrics.counter("events_total", "event=worker.report_unreadable") == 1);
}

// Guards against an absence that tells nothing any more once the report can be read again.
TEST_CASE("a run that is missing from a report that can be read again is started again", "[loss]")
{
    LossFixture cell;
    cell.begin(2, jobBody(2, 1500));
    cell.addWorker("w2", 4);
    auto &worker = cell.fleet.worker("w1");
    worker.unlistedRuns = { LossFixture::firstRun() };
    worker.omission = "malformed running task";
    cell.timers.advance(Milliseconds(2000));
    worker.omission.clear();
    cell.timers.advance(Milliseconds(2000));
    CHECK(cell.starts.size() == 3);
}

// Guards against a new owner that takes a worker for read, and its tasks for idle, by a report that leaves out runs; and against
// tasks that never start again because such a worker keeps its leases.
TEST_CASE("a new owner starts tasks of a worker whose report cannot be read once their leases have ended", "[loss]")
{
    LossFixture cell;
    cell.begin(1, jobBody(1, 3000));
    cell.addWorker("w2", 4);
    cell.timers.advance(Milliseconds(500));
    auto &worker = cell.fleet.worker("w1");
    worker.killTime = Milliseconds(0);
    worker.unlistedRuns = { LossFixture::firstRun() };
    worker.omission = "malformed running task";
    cell.takeOver();
    cell.timers.advance(Milliseconds(3000));
    CHECK(cell.starts.size() == 1);
    cell.timers.advance(Milliseconds(8000));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}
