#include "dispatch/OwnerFixture.h"
#include "dispatch/RosterRecordCodec.h"
#include "dispatch/StoreClock.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr const char *job = "00000000000000aa";
// The longest time from the last renewal of a lease until the owner that granted it gives its runs up.
constexpr Milliseconds leaseTime { 6000 };

/** A long task runs on w1, which has fallen silent; w2 has room for the task. */
struct SilentWorkerFixture : OwnerFixture
{
    SilentWorkerFixture()
    {
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(600000), RunOutcome::Done }; };
        addWorker("w1", 4);
        addWorker("s1", 4, "studio");
        addWorker("s2", 4, "studio");
        takeOver();
        REQUIRE(submit(job, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(500));
        REQUIRE(starts.size() == 1);
        addWorker("w2", 4);
        timers.advance(Milliseconds(1000));
        fleet.worker("w1").isCutOff = true;
        timers.advance(Milliseconds(1600));
    }

    /** The owner stops as planned, and hands over. */
    void stopOwner()
    {
        bool isFlushed = false;
        owner->flush(Milliseconds(600), [&](const Ownership &) { isFlushed = true; });
        timers.advance(Milliseconds(100));
        REQUIRE(isFlushed);
    }
};

} // namespace

// Guards against a wait for the leases of all former owners where the last one knows when its own has ended.
TEST_CASE("a planned handover tells when the lease of a silent worker ends", "[handed-over]")
{
    SilentWorkerFixture cell;
    cell.stopOwner();
    cell.takeOver();
    CHECK(cell.starts.size() == 1);
    // 1.7 s of the lease had passed before the takeover, which takes 0.6 s.
    cell.timers.advance(leaseTime - Milliseconds(1700 + 600));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

// Guards against a wait for the leases of all former owners for a worker that leaves between two owners, neither of which sees it.
TEST_CASE("a planned handover tells when the lease of a draining worker ends", "[handed-over]")
{
    SilentWorkerFixture cell;
    cell.fleet.worker("w1").isCutOff = false;
    cell.list("w1", true);
    cell.timers.advance(Milliseconds(5000));
    REQUIRE(cell.starts.size() == 1);
    cell.stopOwner();
    cell.fleet.worker("w1").isCutOff = true;
    cell.unlist("w1");
    cell.takeOver();
    cell.timers.advance(leaseTime - Milliseconds(600));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

// Guards against the time that one owner has handed over being used by a later one: the owner between them has extended the lease.
TEST_CASE("the handed-over end of a lease does not hold for the owner after the next", "[handed-over]")
{
    SilentWorkerFixture cell;
    cell.stopOwner();
    cell.fleet.worker("w1").isCutOff = false;
    cell.takeOver();
    cell.timers.advance(leaseTime);
    REQUIRE(cell.starts.size() == 1);
    cell.fleet.worker("w1").isCutOff = true;
    cell.killOwner();
    cell.takeOver();
    cell.timers.advance(leaseTime + leaseTime);
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

// Guards against a stopping owner that goes on renewing a lease whose end it has handed over.
TEST_CASE("an owner that has handed over the end of a lease does not extend it", "[handed-over]")
{
    SilentWorkerFixture cell;
    cell.stopOwner();
    // The worker answers the former owner again, and not the next one.
    cell.fleet.worker("w1").isCutOff = false;
    cell.cutOff(2, { "w1" }, false);
    cell.takeOver(false);
    cell.timers.advance(leaseTime + leaseTime);
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

// Guards against a new owner whose first renewal extends the lease beyond the time that it was handed over, while it does not get
// the worker's reply: the task starts elsewhere at that time, and its first run goes on (seed 58 of the property test
// [departures]).
TEST_CASE("the first renewal of a new owner does not outlast the end of the lease that it was handed over",
          "[handed-over][extended]")
{
    SilentWorkerFixture cell;
    cell.stopOwner();
    // Orders reach the worker again, and its replies are lost.
    cell.fleet.worker("w1").isCutOff = false;
    cell.fleet.worker("w1").losesReplies = true;
    cell.takeOver();
    cell.timers.advance(leaseTime + leaseTime);
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

// Guards against a conversion that makes a lease end too early where either clock is slow.
TEST_CASE("times of the store's clock allow for slow clocks", "[handed-over]")
{
    const auto requestedAt = TimePoint() + std::chrono::hours(1);
    const auto receivedAt = requestedAt + Milliseconds(100);
    // The process was suspended for 2 s before the request: its boot clock is ahead of its steady clock.
    const auto bootRequestedAt = requestedAt + Milliseconds(2000);
    StoreClock clock;
    CHECK_FALSE(clock.latestTimeAfter(Milliseconds(0), bootRequestedAt));
    CHECK_FALSE(clock.reachedBy(Milliseconds(0)));
    clock.noteReading(Milliseconds(50000), CallTime { requestedAt, bootRequestedAt }, receivedAt);
    CHECK(*clock.latestTimeAfter(Milliseconds(4900), bootRequestedAt + Milliseconds(100)) >= Milliseconds(50000 + 5000 * 50 / 49));
    // Suspended again for 3 s.
    CHECK(*clock.latestTimeAfter(Milliseconds(4900), bootRequestedAt + Milliseconds(3100)) >= Milliseconds(50000 + 8000 * 50 / 49));
    CHECK(*clock.latestTimeAfter(Milliseconds(-4900), bootRequestedAt) >= Milliseconds(50000));
    CHECK(*clock.reachedBy(Milliseconds(55000)) >= receivedAt + Milliseconds(5000 * 50 / 49));
    CHECK(*clock.reachedBy(Milliseconds(40000)) >= receivedAt);
}

// Guards against a row of the roster that is read without what the former owner has told.
TEST_CASE("a row of the roster keeps reports, absence and the end of leases", "[handed-over]")
{
    WorkerEntry entry;
    entry.id = "w1";
    entry.service = "desk";
    entry.address = { "10.0.0.1", 80 };
    entry.isDraining = true;
    entry.reportedAfter = Milliseconds(1000);
    entry.missingAt = Milliseconds(2000);
    entry.handedOverLease = HandedOverLease { 7, Milliseconds(9000) };
    const auto read = RosterRecordCodec::read("w1", RosterRecordCodec::write(entry));
    REQUIRE(read);
    CHECK(read->reportedAfter == entry.reportedAfter);
    CHECK(read->missingAt == entry.missingAt);
    REQUIRE(read->handedOverLease);
    CHECK(read->handedOverLease->fencingToken == 7);
    CHECK(read->handedOverLease->endsBy == Milliseconds(9000));
    entry.isDraining = false;
    entry.handedOverLease.reset();
    CHECK_FALSE(RosterRecordCodec::read("w1", RosterRecordCodec::write(entry))->reportedAfter);
}
