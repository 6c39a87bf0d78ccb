#include "dispatch/DrainingWorkerFixture.h"

using namespace auburndoor;

// Guards against a second run beside one on a worker that is cut off: another writer has written its entry again, so that the last
// version of the row is no report, and silence removes the entry soon after it.
TEST_CASE("an entry that was written again without a report does not show when its worker was last heard", "[draining]")
{
    const bool isTakenOver = GENERATE(false, true);
    // The directory is read about every 1.5 s.
    const auto phase = GENERATE(Milliseconds(0), Milliseconds(300), Milliseconds(600), Milliseconds(900), Milliseconds(1200));
    CAPTURE(isTakenOver, phase.count());
    DrainingWorkerFixture cell;
    cell.timers.advance(phase);
    cell.drain(3);
    cell.timers.advance(Milliseconds(1400));
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(Milliseconds(1600));
    cell.rewriteEntry("w1");
    if (isTakenOver) {
        cell.takeOver();
    } else {
        cell.timers.advance(Milliseconds(600));
    }
    cell.timers.advance(Milliseconds(900));
    cell.unlist("w1");
    cell.timers.advance(DrainingWorkerFixture::leaseTime + Milliseconds(1000));
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against a second run beside one on a worker that is cut off: workers report more often than the settings said at the start
// of the process, so that silence removes their entries sooner.
TEST_CASE("a changed report interval applies to a running owner", "[draining]")
{
    const auto phase = GENERATE(Milliseconds(0), Milliseconds(300), Milliseconds(600), Milliseconds(900), Milliseconds(1200));
    CAPTURE(phase.count());
    constexpr Milliseconds shortLifetime { 1500 };
    DrainingWorkerFixture cell;
    cell.timers.advance(phase);
    cell.drain(3);
    cell.changeEntryLifetime(shortLifetime);
    cell.timers.advance(Milliseconds(500));
    cell.list("w1", true);
    cell.timers.advance(Milliseconds(400));
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(shortLifetime - Milliseconds(400));
    cell.unlist("w1");
    cell.timers.advance(DrainingWorkerFixture::leaseTime);
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against a longer interval that is believed before the workers report by it: their entries would be removed sooner.
TEST_CASE("a longer report interval applies after a restart only", "[draining]")
{
    const bool isTakenOver = GENERATE(false, true);
    CAPTURE(isTakenOver);
    DrainingWorkerFixture cell;
    cell.drain(3);
    cell.changeEntryLifetime(Milliseconds(9000));
    cell.timers.advance(Milliseconds(1430));
    cell.fleet.worker("w1").isCutOff = true;
    cell.expireEntry(Milliseconds(1430));
    if (isTakenOver) {
        cell.takeOver();
    }
    cell.timers.advance(DrainingWorkerFixture::leaseTime + Milliseconds(1000));
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against a second run beside one on a worker that is cut off: times before and after a jump of the store's clock do not
// compare.
TEST_CASE("a jump of the store's clock leaves no evidence that a worker has left", "[draining]")
{
    const auto jump = GENERATE(Milliseconds(-4000), Milliseconds(-2500), Milliseconds(-1500), Milliseconds(40000));
    const bool isTakenOver = GENERATE(false, true);
    CAPTURE(jump.count(), isTakenOver);
    DrainingWorkerFixture cell;
    cell.drain(3);
    cell.timers.advance(Milliseconds(1430));
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(Milliseconds(1000));
    cell.store.shiftClock(jump);
    if (isTakenOver) {
        cell.takeOver();
        cell.timers.advance(Milliseconds(1470));
    } else {
        cell.timers.advance(Milliseconds(2070));
    }
    cell.unlist("w1");
    cell.timers.advance(DrainingWorkerFixture::leaseTime + Milliseconds(1000));
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against a handed-over end of a lease that counts as past after a jump of the store's clock.
TEST_CASE("a jump of the store's clock invalidates the handed-over ends of leases", "[draining]")
{
    DrainingWorkerFixture cell;
    cell.drain(3);
    cell.owner->flush(Milliseconds(600), [](const Ownership &) {});
    cell.timers.advance(Milliseconds(100));
    cell.fleet.worker("w1").isCutOff = true;
    cell.store.shiftClock(Milliseconds(60000));
    cell.takeOver();
    cell.timers.advance(Milliseconds(8000));
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against an absence that was seen of an earlier life of the worker under the same id.
TEST_CASE("a worker that came back under its id keeps its runs until its lease has ended", "[draining]")
{
    DrainingWorkerFixture cell;
    cell.drain(2);
    cell.leave();
    cell.timers.advance(Milliseconds(500));
    cell.fleet.worker("w2").isCutOff = true;
    cell.fleet.worker("w1").hasExited = false;
    cell.list("w1");
    cell.timers.advance(DrainingWorkerFixture::leaseTime + Milliseconds(1000));
    REQUIRE(cell.fleet.worker("w1").runs().size() == 1);
    cell.list("w1", true);
    cell.timers.advance(Milliseconds(1430));
    cell.fleet.worker("w1").isCutOff = true;
    cell.fleet.worker("w2").isCutOff = false;
    cell.list("w2");
    cell.expireEntry(Milliseconds(1430));
    cell.timers.advance(DrainingWorkerFixture::leaseTime);
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 3);
}

// Guards against a second run that starts while a worker still ends the first one: the lease has ended, and what ran takes a moment
// to die.
TEST_CASE("a silent worker is given up once its runs have had time to end", "[draining]")
{
    const bool isDraining = GENERATE(false, true);
    const auto silentFrom = GENERATE(Milliseconds(0), Milliseconds(150), Milliseconds(300), Milliseconds(450), Milliseconds(600));
    CAPTURE(isDraining, silentFrom.count());
    DrainingWorkerFixture cell;
    cell.fleet.worker("w1").killTime = Milliseconds(400);
    if (isDraining) {
        cell.drain(1);
    }
    cell.timers.advance(silentFrom);
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(DrainingWorkerFixture::leaseTime + Milliseconds(1000));
    CHECK(cell.violations().empty());
    CHECK(cell.starts.size() == 2);
}
