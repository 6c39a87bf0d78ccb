#include "dispatch/JobManager.h"
#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr const char *job = "00000000000000aa";

/** A task that lasts runs on w1, which is known to drain; then w1 leaves, and so does its owner. */
struct LeavingWorkerFixture : OwnerFixture
{
    explicit LeavingWorkerFixture(bool isDraining)
    {
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(600000), RunOutcome::Done }; };
        addWorker("w1", 4);
        // More than half of the roster stays within reach of the next owner.
        addWorker("s1", 4, "studio");
        addWorker("s2", 4, "studio");
        takeOver();
        REQUIRE(submit(job, jobBody(1, 3000, R"(,"longRunning":true)")) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(500));
        REQUIRE(starts.size() == 1);
        if (isDraining) {
            list("w1", true);
            timers.advance(Milliseconds(600));
        }
        killOwner();
        fleet.worker("w1").restart();
        fleet.worker("w1").hasExited = true;
        unlist("w1");
        addWorker("w2", 4);
    }
};

} // namespace

// Guards against inherited work that waits at each takeover for the lease of workers that have left as planned.
TEST_CASE("a new owner does not wait for a worker that has drained and left")
{
    LeavingWorkerFixture cell(true);
    cell.takeOver();
    cell.timers.advance(Milliseconds(1500));
    CHECK(cell.starts.size() == 2);
    // The next owner does not know of it any more.
    CHECK(cell.store.row(JobTables::roster, "w1") == nullptr);
    CHECK(cell.violations().empty());
}

// Guards against a worker that is cut off and runs on under its lease.
TEST_CASE("a new owner waits for the lease of a worker that was not known to drain")
{
    LeavingWorkerFixture cell(false);
    cell.takeOver();
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.starts.size() == 1);
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.starts.size() == 2);
}

// Guards against a worker that is still listed and whose process is only restarting.
TEST_CASE("a new owner waits for a draining worker that the directory lists")
{
    LeavingWorkerFixture cell(true);
    cell.list("w1", true);
    cell.takeOver();
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.starts.size() == 1);
}
