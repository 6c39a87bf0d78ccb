#include "dispatch/JobRecordCodec.h"
#include "dispatch/OwnerFixture.h"
#include "dispatch/RosterRecordCodec.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr const char *job = "00000000000000aa";
/** Longer than a successor waits for the lease of a worker that it cannot read. */
constexpr Milliseconds runTime { 12000 };

struct MovedQueueFixture : OwnerFixture
{
    MovedQueueFixture()
    {
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { runTime, RunOutcome::Done }; };
    }

    /** Cuts off the workers, replaces the owner, and ends the cut well before the leases of the workers have expired. */
    void takeOverDuringCut(const std::set<std::string> &workers)
    {
        for (const auto &id : workers) {
            fleet.worker(id).isCutOff = true;
        }
        takeOver();
        timers.advance(Milliseconds(2000));
        for (const auto &id : workers) {
            fleet.worker(id).isCutOff = false;
        }
        timers.advance(Milliseconds(4000));
    }
};

} // namespace

// Guards against a successor that looks for the runs of a job among the workers of its queue's present service only, and starts its
// tasks beside the runs on those of the former one.
TEST_CASE("a job whose queue has moved waits at a takeover for the workers of the service that it ran on")
{
    const bool isMoved = GENERATE(false, true);
    CAPTURE(isMoved);
    MovedQueueFixture cell;
    cell.addWorker("desk1", 4);
    cell.addWorker(isMoved ? "studio1" : "desk2", 4, isMoved ? "studio" : "desk");
    cell.takeOver();
    REQUIRE(cell.submit(job, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    if (isMoved) {
        cell.moveQueue("normal", "studio");
        cell.timers.advance(Milliseconds(500));
    }
    cell.takeOverDuringCut({ "desk1", isMoved ? "desk1" : "desk2" });
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 1);
    CHECK(cell.runUntil(job, JobStage::Completed, runTime * 2));
    CHECK(cell.violations().empty());
}

// Guards against a record of the first and the present service only: runs may be on workers of each service in between.
TEST_CASE("a job whose queue has moved twice waits at a takeover for the workers of all three services")
{
    const std::string cut = GENERATE("desk1", "studio1");
    CAPTURE(cut);
    MovedQueueFixture cell;
    cell.addWorker("desk1", 4);
    cell.addWorker("studio1", 4, "studio");
    cell.addWorker("lab1", 8, "lab");
    cell.takeOver();
    // One task fits on each of the first two workers.
    REQUIRE(cell.submit(job, jobBody(3, 3000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(200));
    cell.moveQueue("normal", "studio");
    cell.timers.advance(Milliseconds(500));
    REQUIRE(cell.starts.size() == 2);
    cell.moveQueue("normal", "lab");
    cell.timers.advance(Milliseconds(500));
    REQUIRE(cell.starts.size() == 3);
    cell.takeOverDuringCut({ cut });
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 3);
}

// Guards against starts on the new service whose record is not stored: the next owner would not look for them there.
TEST_CASE("tasks start on the service that their queue has moved to once that is stored")
{
    MovedQueueFixture cell;
    cell.addWorker("desk1", 4);
    cell.addWorker("studio1", 4, "studio");
    cell.takeOver();
    REQUIRE(cell.submit(job, jobBody(2, 3000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    cell.store.setDown(true);
    cell.moveQueue("normal", "studio");
    cell.timers.advance(Milliseconds(1000));
    CHECK(cell.starts.size() == 1);
    cell.store.setDown(false);
    cell.timers.advance(Milliseconds(1000));
    CHECK(cell.starts.size() == 2);
}

// Guards against a wait for the workers of all services, which would stop the cell for one that is cut off.
TEST_CASE("a job waits at a takeover for the workers of its own services only")
{
    MovedQueueFixture cell;
    cell.addWorker("desk1", 4);
    cell.addWorker("studio1", 4, "studio");
    cell.takeOver();
    cell.moveQueue("urgent", "studio");
    cell.killOwner();
    cell.fleet.worker("desk1").isCutOff = true;
    cell.takeOver();
    REQUIRE(cell.submit(job, jobBody(1, 3000), "urgent") == ClientResult::Outcome::Accepted);
    cell.takeOver();
    cell.timers.advance(Milliseconds(500));
    CHECK(cell.starts.size() == 1);
}

// Guards against a worker whose entry names another service than the one that its runs belong to.
TEST_CASE("a job waits at a takeover for a worker that has changed its service without a restart")
{
    const bool isKnownToOwner = GENERATE(false, true);
    CAPTURE(isKnownToOwner);
    MovedQueueFixture cell;
    cell.addWorker("w1", 4);
    cell.addWorker("w2", 4);
    cell.fleet.worker("w2").isCutOff = true;
    cell.takeOver();
    REQUIRE(cell.submit(job, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    cell.fleet.worker("w2").isCutOff = false;
    if (!isKnownToOwner) {
        cell.killOwner();
    }
    cell.fleet.worker("w1").setService("studio");
    cell.list("w1");
    // Without an owner nobody renews the lease of the worker.
    cell.timers.advance(Milliseconds(isKnownToOwner ? 2500 : 500));
    cell.takeOverDuringCut({ "w1" });
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 1);
}

TEST_CASE("the services of a job and of a worker are the same after they are written and read")
{
    JobState written;
    written.spec.steps = { StepSpec() };
    written.queue.service = "desk";
    written.services = { { "desk", true }, { "studio", false } };
    written.addOccurrence(0, TimePoint());
    JobState read;
    REQUIRE(JobRecordCodec::readDescription(JobRecordCodec::description(written), read));
    CHECK(read.services == std::map<std::string, bool> { { "desk", true } });
    REQUIRE(JobRecordCodec::readProgress(JobRecordCodec::progress(written), read, TimePoint()));
    CHECK(read.services == std::map<std::string, bool> { { "desk", true }, { "studio", true } });
    WorkerEntry worker;
    worker.id = "w1";
    worker.service = "studio";
    worker.address = { "10.0.0.1", 80 };
    worker.earlierServices = { "desk" };
    const auto readWorker = RosterRecordCodec::read("w1", RosterRecordCodec::write(worker));
    REQUIRE(readWorker);
    CHECK(readWorker->hasServed("desk"));
    CHECK(readWorker->hasServed("studio"));
    CHECK_FALSE(readWorker->hasServed("lab"));
}
