#include "dispatch/LossFixture.h"

using namespace auburndoor;

// Guards against a loss by one answer of another worker at the address, before the store has confirmed the ownership since.
TEST_CASE("a worker whose address is answered by another one for a moment keeps its runs", "[loss]")
{
    LossFixture cell;
    cell.begin(1, jobBody(1, 3000));
    cell.addWorker("w2", 4);
    cell.timers.advance(Milliseconds(2000));
    // The store does not answer, so that nothing confirms the ownership after the answer of the other worker.
    cell.store.setDown(true);
    cell.fleet.worker("w1").isReplaced = true;
    cell.timers.advance(Milliseconds(1100));
    cell.fleet.worker("w1").isReplaced = false;
    cell.timers.advance(Milliseconds(500));
    cell.store.setDown(false);
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.metrics.counter("events_total", "event=worker.silent,reason=other-worker") == 1);
    CHECK(cell.starts.size() == 1);
    CHECK(cell.violations().empty());
}

// Guards against two runs of a task whose worker was taken for replaced and was not, such as one whose address another worker had
// for a while.
TEST_CASE("a worker that is back at an address where another one has answered goes on with its run", "[loss]")
{
    LossFixture cell;
    cell.begin(1, jobBody(1, 3000));
    cell.addWorker("w2", 4);
    cell.fleet.worker("w1").isReplaced = true;
    cell.timers.advance(Milliseconds(3000));
    REQUIRE(cell.attemptsOn("w2").size() == 1);
    cell.fleet.worker("w1").isReplaced = false;
    cell.timers.advance(LossFixture::reactionTime);
    CHECK(cell.contradictions("worker-replaced") == 1);
    CHECK(cell.attemptsOn("w1").size() == 1);
    CHECK(cell.attemptsOn("w2").empty());
}

// Guards against an absence that an outage of the store causes and that is taken for the removal by a worker that leaves: one poll
// that fails would give up the runs of a worker in touch.
TEST_CASE("a draining worker whose entry lapses while the store is away keeps its runs", "[loss]")
{
    constexpr Milliseconds heartbeatInterval { 1500 };
    constexpr Milliseconds entryLifetime { 4500 };
    const auto away = GENERATE(Milliseconds(3000), Milliseconds(4600), Milliseconds(6000));
    CAPTURE(away.count());
    LossFixture cell;
    cell.begin(1, jobBody(1, 3000));
    cell.addWorker("w2", 4);
    for (int report = 0; report < 3; ++report) {
        cell.list("w1", true);
        cell.timers.advance(heartbeatInterval);
    }
    // The last report that the store has taken was made one interval ago.
    cell.store.setDown(true);
    cell.timers.advance(entryLifetime - heartbeatInterval);
    cell.unlist("w1");
    cell.timers.advance(away - (entryLifetime - heartbeatInterval));
    cell.store.setDown(false);
    cell.timers.advance(Milliseconds(300));
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(Milliseconds(700));
    cell.fleet.worker("w1").isCutOff = false;
    cell.timers.advance(Milliseconds(500));
    cell.list("w1", true);
    cell.timers.advance(Milliseconds(3000));
    CHECK(cell.starts.size() == 1);
    CHECK(cell.contradictions("worker-left") == 0);
    CHECK(cell.violations().empty());
}

// Guards against arithmetic that takes a time near the start of the steady clock for one that was never set, or that loses
// precision late.
TEST_CASE("the leases of a silent worker end in time on any reading of the steady clock", "[loss]")
{
    const auto clockStart = GENERATE(Milliseconds(0), Milliseconds(20000), Milliseconds(std::chrono::hours(240)));
    CAPTURE(clockStart.count());
    LossFixture cell(clockStart);
    cell.fleet.worker("w1").killTime = Milliseconds(400);
    cell.begin(1, jobBody(1, 3000));
    cell.addWorker("w2", 4);
    cell.timers.advance(Milliseconds(3000));
    const bool isTakenOver = GENERATE(false, true);
    CAPTURE(isTakenOver);
    cell.fleet.worker("w1").isCutOff = true;
    if (isTakenOver) {
        cell.takeOver();
    }
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.starts.size() == 1);
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}
