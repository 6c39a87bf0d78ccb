#include "dispatch/OwnerFixture.h"
#include "workload/StoreTimeline.h"

#include <catch2/catch.hpp>

#include <string>

using namespace auburndoor;

namespace {

constexpr const char *job = "00000000000000aa";
constexpr Milliseconds heartbeatInterval { 1500 };
constexpr Milliseconds entryLifetime { 4500 };
// A lease of 5 s on a clock that is 2% slow, and the time until the next poll notices its end.
constexpr Milliseconds leaseTime { 6000 };

/** A long task runs on w1, which drains and reports at regular intervals; w2 has room for the task. */
struct DrainingWorkerFixture : OwnerFixture
{
    DrainingWorkerFixture()
    {
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(600000), RunOutcome::Done }; };
        addWorker("w1", 4);
        // More than half of the roster stays within reach of the next owner.
        addWorker("s1", 4, "studio");
        addWorker("s2", 4, "studio");
        takeOver();
        REQUIRE(submit(job, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(500));
        REQUIRE(starts.size() == 1);
        addWorker("w2", 4);
    }

    /** w1 reports that it drains, this many times; the last report is made now. */
    void drain(int reports = 2)
    {
        list("w1", true);
        for (int report = 1; report < reports; ++report) {
            timers.advance(heartbeatInterval);
            list("w1", true);
        }
    }

    /** The directory removes the entry of w1 after three intervals of silence. @param sinceReport the silence so far */
    void expireEntry(Milliseconds sinceReport)
    {
        timers.advance(entryLifetime - sinceReport);
        unlist("w1");
    }

    /** w1 ends as planned, and its entry with it. */
    void leave()
    {
        fleet.worker("w1").restart();
        fleet.worker("w1").hasExited = true;
        unlist("w1");
    }
};

} // namespace

// Guards against a second run beside one on a draining worker that is cut off: its entry may be removed before its lease ends.
TEST_CASE("a draining worker that is cut off keeps its runs until its lease has ended", "[draining]")
{
    const auto sinceReport = GENERATE(Milliseconds(100), Milliseconds(700), Milliseconds(1000), Milliseconds(1430));
    CAPTURE(sinceReport.count());
    DrainingWorkerFixture cell;
    cell.drain();
    cell.timers.advance(sinceReport);
    cell.fleet.worker("w1").isCutOff = true;
    cell.expireEntry(sinceReport);
    cell.timers.advance(leaseTime);
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against an absence that began long before the worker could not be reached: it tells nothing of the lease.
TEST_CASE("a draining worker that is cut off from the store before it is cut off from the owner keeps its runs", "[draining]")
{
    DrainingWorkerFixture cell;
    cell.drain();
    cell.expireEntry(Milliseconds(0));
    cell.timers.advance(Milliseconds(2000));
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(leaseTime + Milliseconds(1000));
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against another writer's entry that is taken for the removal of the worker's own.
TEST_CASE("a draining worker whose entry cannot be read keeps its runs until its lease has ended", "[draining]")
{
    const bool isRemoved = GENERATE(false, true);
    CAPTURE(isRemoved);
    DrainingWorkerFixture cell;
    cell.drain();
    cell.store.write("servers", "w1", "\x01{");
    cell.timers.advance(Milliseconds(400));
    cell.fleet.worker("w1").isCutOff = true;
    if (isRemoved) {
        cell.unlist("w1");
    }
    cell.timers.advance(leaseTime + Milliseconds(1000));
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against a new owner that takes an entry that had expired before its takeover for one that the worker has removed.
TEST_CASE("a new owner waits for the lease of a draining worker that was cut off under the former owner", "[draining]")
{
    DrainingWorkerFixture cell;
    cell.drain(3);
    constexpr Milliseconds sinceReport { 1430 };
    cell.timers.advance(sinceReport);
    cell.fleet.worker("w1").isCutOff = true;
    cell.expireEntry(sinceReport);
    cell.takeOver();
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.violations().empty());
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against a wait for the lease of a worker that has left: tasks that last stay down for as long.
TEST_CASE("an owner does not wait for the lease of a draining worker that has left", "[draining]")
{
    DrainingWorkerFixture cell;
    cell.drain(4);
    cell.timers.advance(Milliseconds(900));
    cell.leave();
    cell.timers.advance(Milliseconds(2000));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

// Guards against a successor that cannot tell a worker that leaves around the takeover from one that is cut off.
TEST_CASE("a new owner does not wait for a draining worker that has left around the takeover", "[draining]")
{
    const bool isSeenByFormerOwner = GENERATE(false, true);
    CAPTURE(isSeenByFormerOwner);
    DrainingWorkerFixture cell;
    cell.drain(5);
    cell.timers.advance(Milliseconds(1000));
    if (isSeenByFormerOwner) {
        cell.leave();
        cell.timers.advance(Milliseconds(250));
    }
    cell.killOwner();
    if (!isSeenByFormerOwner) {
        cell.leave();
    }
    cell.takeOver();
    cell.timers.advance(Milliseconds(1500));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

// Guards against owners that each live for less than a report interval, so that none of them sees a report being made.
TEST_CASE("a series of short owners does not wait for a draining worker that has left", "[draining]")
{
    DrainingWorkerFixture cell;
    cell.drain(1);
    for (int owner = 0; owner < 4; ++owner) {
        cell.timers.advance(Milliseconds(300));
        cell.killOwner();
        cell.timers.advance(Milliseconds(500));
        cell.list("w1", true);
        // The next one reads the directory after the report, and lives for 0.9 s.
        cell.takeOver();
    }
    cell.killOwner();
    cell.leave();
    cell.takeOver();
    cell.timers.advance(Milliseconds(1500));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

// Guards against a time that is later than the writing of the row.
TEST_CASE("the version of a row tells when it was written at the earliest", "[draining]")
{
    StoreTimeline timeline;
    CHECK_FALSE(timeline.timeBefore(1));
    timeline.note(10, Milliseconds(1000));
    timeline.note(10, Milliseconds(2000));
    timeline.note(14, Milliseconds(3000));
    CHECK_FALSE(timeline.timeBefore(10));
    CHECK(timeline.timeBefore(11) == Milliseconds(2000));
    CHECK(timeline.timeBefore(14) == Milliseconds(2000));
    CHECK(timeline.timeBefore(15) == Milliseconds(3000));
    // Readings that arrive out of order are left out, and old ones are forgotten.
    timeline.note(12, Milliseconds(2500));
    CHECK(timeline.timeBefore(13) == Milliseconds(2000));
    timeline.note(20, Milliseconds(13500));
    CHECK_FALSE(timeline.timeBefore(14));
}
