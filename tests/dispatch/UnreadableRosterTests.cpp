#include "dispatch/JobManager.h"
#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against a row of the roster that cannot be read and counts as no worker: what runs there under a lease starts elsewhere.
TEST_CASE("a new owner waits for the leases of a worker whose roster row cannot be read", "[unreadable-roster]")
{
    const bool isReadable = GENERATE(true, false);
    CAPTURE(isReadable);
    OwnerFixture cell;
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(20000), RunOutcome::Done }; };
    cell.addWorker("w1", 4);
    cell.addWorker("s1", 4, "studio");
    cell.addWorker("s2", 4, "studio");
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(2000));
    REQUIRE(cell.starts.size() == 1);
    cell.killOwner();
    cell.fleet.worker("w1").isCutOff = true;
    cell.unlist("w1");
    cell.addWorker("w2", 4);
    REQUIRE(cell.store.row(JobTables::roster, "w1") != nullptr);
    if (!isReadable) {
        cell.store.write(JobTables::roster, "w1", "{");
    }
    cell.takeOver();
    cell.timers.advance(Milliseconds(9000));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}
