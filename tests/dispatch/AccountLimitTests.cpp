#include "dispatch/AccountCell.h"
#include "dispatch/AccountLimits.h"
#include "fakes/CapturedLog.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburndoor;

namespace {

SimulatedWork lasting(int milliseconds)
{
    return { Milliseconds(milliseconds), RunOutcome::Done };
}

} // namespace

// Guards against one task too many, and against limits that a resource without a limit or a use above a lowered limit puts out.
TEST_CASE("the tasks that fit under a limit are as many as adding one after the other gives", "[account-limits]")
{
    const auto draw = [](int most) {
        return Resources { *rc::gen::inRange(0, most), *rc::gen::inRange(0, most), *rc::gen::inRange(0, 4), 0, 0 };
    };
    const auto fits = [](std::int64_t used, std::int64_t limit) { return limit == 0 || used <= limit; };
    CHECK(rc::check([&] {
        const auto use = draw(40);
        const auto limit = draw(40);
        const auto need = draw(9);
        const int most = *rc::gen::inRange(0, 30);
        int expected = 0;
        for (; expected < most; ++expected) {
            const auto after = use + need * (expected + 1);
            if (!fits(after.milliCores, limit.milliCores) || !fits(after.memoryMiB, limit.memoryMiB)
                || !fits(after.accelerators, limit.accelerators)) {
                break;
            }
        }
        RC_ASSERT(AccountLimits::countFitting(use, limit, need, most) == expected);
    }));
}

// Guards against an account that takes more than its limit, and against its waiting tasks that keep room from others.
TEST_CASE("an account runs up to its limit, and what waits for it delays no other account", "[account-limits]")
{
    AccountCell cell;
    cell.addWorker("w1", 8);
    cell.addWorker("w2", 8);
    cell.setLimit("small", 4000);
    cell.setLimit("other", 0);
    cell.plan = [](const TaskName &, std::int64_t) { return lasting(400); };
    cell.takeOver();
    REQUIRE(cell.submitFor("small", jobIdOf(0), 30, 1000, {}, "urgent") == ClientResult::Outcome::Accepted);
    REQUIRE(cell.submitFor("other", jobIdOf(1), 12, 1000) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(200));
    CHECK(cell.use("small") == 4000);
    CHECK(cell.use("other") == 12000);
    // The part that fits is kept full: 30 tasks of 400 ms, 4 at a time, with the time from an end to the next start.
    CHECK(cell.runUntil(jobIdOf(0), JobStage::Completed, Milliseconds(30 / 4 * 600 + 600)));
    CHECK(cell.peaks["small"] == 4000);
    CHECK(cell.overuse().empty());
    CHECK(cell.violations().empty());
}

// Guards against a raised limit or an end that is noticed by the next full reading only, and a lowered one that stops tasks.
TEST_CASE("a raised limit applies at once, and a lowered one stops nothing", "[account-limits]")
{
    AccountCell cell;
    cell.addWorker("w1", 8);
    cell.setLimit("a", 4000);
    cell.plan = [](const TaskName &, std::int64_t) { return lasting(5000); };
    cell.takeOver();
    REQUIRE(cell.submitFor("a", jobIdOf(0), 8, 1000) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(200));
    REQUIRE(cell.use("a") == 4000);
    cell.setLimit("a", 6000);
    cell.timers.advance(Milliseconds(40));
    CHECK(cell.use("a") == 6000);
    cell.setLimit("a", 1000);
    cell.timers.advance(Milliseconds(1000));
    CHECK(cell.use("a") == 6000);
    CHECK(cell.starts.size() == 6);
    CHECK(cell.overuse().empty());
}

// Guards against a gang that starts in part, and one that holds workers or asks for advice while its account's limit keeps it back.
TEST_CASE("a gang at its account's limit waits as a whole without room or advice, and starts once it fits", "[account-limits]")
{
    AccountCell cell;
    cell.addWorker("w1", 8);
    cell.addWorker("w2", 8);
    cell.setLimit("a", 8000);
    cell.setLimit("b", 0);
    cell.plan = [](const TaskName &task, std::int64_t) { return lasting(task.job == jobIdOf(0) ? 14000 : 500); };
    cell.takeOver();
    REQUIRE(cell.submitFor("a", jobIdOf(0), 3, 1000) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(100));
    REQUIRE(cell.submitFor("a", jobIdOf(1), 2, 3000, R"(,"gang":true)", "advised") == ClientResult::Outcome::Accepted);
    // Longer than a gang waits before room is held for it.
    cell.timers.advance(Milliseconds(12000));
    CHECK(cell.advisor.requestCount == 0);
    REQUIRE(cell.submitFor("b", jobIdOf(2), 13, 1000) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(100));
    CHECK(cell.use("b") == 13000);
    CHECK(cell.runUntil(jobIdOf(1), JobStage::Completed, Milliseconds(4000)));
    CHECK(cell.overuse().empty());
    CHECK(cell.violations().empty());
}

// Guards against copies that take an account above its limit.
TEST_CASE("a slow task of an account at its limit gets no copy", "[account-limits]")
{
    const auto limit = GENERATE(2000, 4000);
    AccountCell cell;
    cell.addWorker("w1", 2);
    cell.addWorker("w2", 8);
    cell.setLimit("a", limit);
    cell.plan = [](const TaskName &, std::int64_t) { return lasting(6000); };
    cell.takeOver();
    REQUIRE(cell.submitFor("a", jobIdOf(0), 2, 1000, R"(,"speculative":true)") == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.starts.size() == static_cast<std::size_t>(limit / 1000));
    CHECK(cell.overuse().empty());
}

// Guards against a service at its limit that is logged, and searched for, as one that finds no room.
TEST_CASE("a service that waits for its account's limit is not logged as waiting for room", "[account-limits]")
{
    CapturedLog log;
    AccountCell cell;
    auto &lost = cell.addWorker("w1", 2);
    cell.addWorker("w2", 8);
    cell.setLimit("a", 2000);
    cell.plan = [](const TaskName &, std::int64_t) { return lasting(600000); };
    cell.takeOver();
    REQUIRE(cell.submitFor("a", jobIdOf(0), 2, 1000, R"(,"longRunning":true)") == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(1000));
    REQUIRE(cell.use("a") == 2000);
    cell.setLimit("a", 1000);
    lost.restart();
    cell.list("w1");
    cell.timers.advance(Milliseconds(6000));
    CHECK(log.lines("service.waiting").empty());
    CHECK(cell.overuse().empty());
}

// Guards against a refusal of work that the limit allows, and against the acceptance of work that can never run under it.
TEST_CASE("a job with a task or a gang above the limit is recognized", "[account-limits]")
{
    const Resources limit { 4000, 0, 2, 0, 0 };
    JobSpec job;
    job.steps.resize(2);
    job.steps[0].need = { 4000, 1 << 20, 2, 0, 0 };
    job.steps[0].taskCount = 100;
    job.steps[1].need = { 1000, 10, 0, 0, 0 };
    job.steps[1].taskCount = 4;
    job.steps[1].isGang = true;
    CHECK(AccountLimits::describeOversized(job, limit).empty());
    CHECK(AccountLimits::describeOversized(job, Resources()).empty());
    job.steps[1].taskCount = 5;
    CHECK(AccountLimits::describeOversized(job, limit)
          == "the gang of 5 tasks of step 1 needs 1000m cores, 10 MiB for each task, and the limit of the account is 4000m cores, "
             "2 accelerators");
    job.steps[1].isGang = false;
    job.steps[0].need.accelerators = 3;
    CHECK_FALSE(AccountLimits::describeOversized(job, limit).empty());
}
