#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr const char *job = "00000000000000aa";
constexpr const char *laterJob = "00000000000000bb";
/** A third owner takes over soon after the second one. */
constexpr Milliseconds takeoverDelay { 900 };

} // namespace

// Guards against a short wait for unread workers that rests on rows which a replaced owner added to the roster: the former owner
// still reaches half of the roster that it knows.
TEST_CASE("a third owner does not start what the first keeps alive on half of its roster after the second has added a worker",
          "[partition]")
{
    constexpr Milliseconds duration { 20000 };
    constexpr int tasks = 6;
    OwnerFixture cell;
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { duration, RunOutcome::Done }; };
    cell.addWorker("w1", 8);
    cell.addWorker("w2", 8);
    cell.takeOver();
    REQUIRE(cell.submit(job, jobBody(tasks, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(300));
    REQUIRE(cell.starts.size() == tasks);
    for (const auto *id : { "w3", "w4" }) {
        cell.addWorker(id, 8);
    }
    cell.timers.advance(Milliseconds(2000));
    const auto addedBySecond = GENERATE(0, 1, 3);
    CAPTURE(addedBySecond);
    cell.cutOff(1, { "w3", "w4" }, true);
    cell.cutOff(2, { "w1", "w2" }, false);
    cell.cutOff(3, { "w1", "w2" }, false);
    cell.timers.advance(takeoverDelay);
    cell.takeOver(false);
    for (int number = 0; number < addedBySecond; ++number) {
        const auto id = "w" + std::to_string(5 + number);
        cell.addWorker(id, 8);
        cell.cutOff(1, { id }, true);
    }
    cell.timers.advance(Milliseconds(2000));
    cell.takeOver(false);
    cell.timers.advance(Milliseconds(15000));
    cell.heal();
    CHECK(cell.runUntil(job, JobStage::Completed, Milliseconds(120000)));
    REQUIRE(cell.submit(laterJob, jobBody(4, 1000)) == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil(laterJob, JobStage::Completed, Milliseconds(120000)));
    if (!cell.violations().empty()) {
        FAIL_CHECK(cell.violations().size() << " violations, the first: " << cell.violations().front());
    }
}

// Guards against an owner that takes runs for lost because their worker has restarted, and starts them where only it can: its
// successor has seen and acknowledged their ends before the restart.
TEST_CASE("an owner does not start again what its successor saw end on a worker that has restarted since", "[partition]")
{
    constexpr Milliseconds duration { 6000 };
    constexpr int tasks = 3;
    OwnerFixture cell;
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { duration, RunOutcome::Done }; };
    cell.addWorker("w1", 8);
    cell.takeOver();
    REQUIRE(cell.submit(job, jobBody(tasks, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(300));
    REQUIRE(cell.starts.size() == tasks);
    cell.addWorker("w2", 8);
    cell.timers.advance(Milliseconds(2000));
    cell.cutOff(1, { "w1" }, true);
    cell.cutOff(2, { "w2" }, false);
    cell.timers.advance(takeoverDelay);
    cell.takeOver(false);
    REQUIRE(cell.runUntil(job, JobStage::Completed, Milliseconds(6000)));
    // The successor does not poll the idle worker any more.
    cell.timers.advance(Milliseconds(2500));
    REQUIRE(cell.fleet.worker("w1").acknowledgedDone().size() == tasks);
    cell.fleet.worker("w1").restart();
    cell.fleet.worker("w1").cutOffTokens.clear();
    cell.timers.advance(Milliseconds(6000));
    CHECK(cell.starts.size() == tasks);
    CHECK(cell.violations().empty());
}

// Guards against an owner that counts only the leases that it granted itself, which are short while its permission is: the deadline
// that the former owner has set on the worker never shortens, and what runs there lives until then.
TEST_CASE("an owner with a short permission does not take runs for lost that the former owner's lease still covers", "[partition]")
{
    constexpr Milliseconds duration { 30000 };
    constexpr int tasks = 3;
    OwnerFixture cell;
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { duration, RunOutcome::Done }; };
    cell.addWorker("w1", 8);
    for (const auto *id : { "s1", "s2", "s3" }) {
        cell.addWorker(id, 8, "studio");
    }
    cell.takeOver();
    REQUIRE(cell.submit(job, jobBody(tasks, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(300));
    REQUIRE(cell.starts.size() == tasks);
    cell.addWorker("w2", 8);
    cell.timers.advance(Milliseconds(2000));
    cell.cutOff(1, { "w2" }, true);
    cell.cutOff(2, { "w1", "s1", "s2", "s3" }, false);
    cell.timers.advance(takeoverDelay);
    cell.takeOver(false);
    cell.cutOff(2, {}, true);
    cell.timers.advance(Milliseconds(3800));
    // The new owner reads w1, less than two seconds before its permission ends.
    cell.fleet.worker("w1").cutOffTokens.clear();
    cell.timers.advance(Milliseconds(800));
    cell.fleet.worker("w1").isCutOff = true;
    cell.cutOff(2, {}, false);
    cell.timers.advance(Milliseconds(6000));
    CHECK(cell.violations().empty());
}
