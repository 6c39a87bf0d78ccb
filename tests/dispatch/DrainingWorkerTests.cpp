#include "dispatch/DrainingWorkerFixture.h"
#include "workload/StoreTimeline.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

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
    cell.timers.advance(DrainingWorkerFixture::leaseTime);
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
    cell.timers.advance(DrainingWorkerFixture::leaseTime + Milliseconds(1000));
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
    cell.timers.advance(DrainingWorkerFixture::leaseTime + Milliseconds(1000));
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
    const auto note = [&timeline](std::int64_t version, Milliseconds time, Milliseconds delay = Milliseconds(0)) {
        timeline.note({ version, time, TimePoint(time), TimePoint(time + delay) });
    };
    CHECK_FALSE(timeline.timeBefore(1));
    note(10, Milliseconds(1000));
    note(10, Milliseconds(2000));
    note(14, Milliseconds(3000));
    CHECK_FALSE(timeline.timeBefore(10));
    CHECK(timeline.timeBefore(11) == Milliseconds(2000));
    CHECK(timeline.timeBefore(14) == Milliseconds(2000));
    CHECK(timeline.timeBefore(15) == Milliseconds(3000));
    // Readings that arrive out of order are left out, and old ones are forgotten.
    note(12, Milliseconds(2500), Milliseconds(600));
    CHECK(timeline.timeBefore(13) == Milliseconds(2000));
    note(20, Milliseconds(13500));
    CHECK_FALSE(timeline.timeBefore(14));
    CHECK(timeline.restartCount() == 0);
}

// Guards against times from before a restart of the store that are compared with later ones.
TEST_CASE("readings that contradict each other show that the store has begun anew", "[draining]")
{
    constexpr Milliseconds time { 60000 };
    const auto localTime = TimePoint(std::chrono::hours(5));
    StoreTimeline timeline;
    timeline.note({ 100, time, localTime, localTime + Milliseconds(10) });
    CHECK(timeline.isComparable(50));
    SECTION("a clock that is 2% slow, and a reply that took long")
    {
        timeline.note({ 120, time + Milliseconds(4900), localTime + Milliseconds(5000), localTime + Milliseconds(5010) });
        timeline.note({ 130, time + Milliseconds(5100), localTime + Milliseconds(5020), localTime + Milliseconds(8000) });
        CHECK(timeline.restartCount() == 0);
        CHECK(timeline.timeBefore(121) == time + Milliseconds(4900));
    }
    SECTION("the clock goes back")
    {
        timeline.note({ 120, time + Milliseconds(500), localTime + Milliseconds(1000), localTime + Milliseconds(1010) });
        CHECK(timeline.restartCount() == 1);
    }
    SECTION("the clock starts anew")
    {
        timeline.note({ 120, Milliseconds(30), localTime + Milliseconds(1000), localTime + Milliseconds(1010) });
        CHECK(timeline.restartCount() == 1);
    }
    SECTION("the clock goes forward")
    {
        timeline.note({ 120, time + Milliseconds(3000), localTime + Milliseconds(1000), localTime + Milliseconds(1010) });
        CHECK(timeline.restartCount() == 1);
    }
    SECTION("the versions go back")
    {
        timeline.note({ 90, time + Milliseconds(1000), localTime + Milliseconds(1000), localTime + Milliseconds(1010) });
        CHECK(timeline.restartCount() == 1);
        CHECK_FALSE(timeline.timeBefore(85).has_value());
    }
    SECTION("a reading from before the restart arrives late")
    {
        timeline.note({ 120, time + Milliseconds(3000), localTime + Milliseconds(1000), localTime + Milliseconds(1010) });
        timeline.note({ 110, time + Milliseconds(900), localTime + Milliseconds(900), localTime + Milliseconds(1020) });
        CHECK(timeline.restartCount() == 2);
    }
    if (timeline.restartCount() > 0) {
        CHECK_FALSE(timeline.timeBefore(1000) == time);
        CHECK_FALSE(timeline.isComparable(80));
        CHECK(timeline.isComparable(121));
    }
}
