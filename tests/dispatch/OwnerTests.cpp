#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

TEST_CASE("a job runs to its end and is shown as completed")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(6, 2000)) == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(4000)));
    CHECK(cell.starts.size() == 6);
    CHECK(cell.violations().empty());
}

TEST_CASE("a job that is submitted twice runs once")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    REQUIRE(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(3000)));
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(2000));
    CHECK(cell.starts.size() == 1);
}

TEST_CASE("a step waits for all tasks of the steps that it depends on")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    const std::string body = R"({"spec":"p","taskGroups":[{"count":3,"cpu":1000,"memMb":1,"estimateMs":500},)"
                             R"({"count":2,"cpu":1000,"memMb":1,"estimateMs":500,"dependsOn":[0]}]})";
    REQUIRE(cell.submit("00000000000000aa", body) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(300));
    CHECK(cell.starts.size() == 3);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(4000)));
    CHECK(cell.starts.size() == 5);
}

TEST_CASE("a job fails when a task has failed as often as its queue allows")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.addWorker("w2", 8);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(100), RunOutcome::Failed }; };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Failed, Milliseconds(4000)));
    CHECK(cell.starts.size() == 2);
}

// Guards against a failed run that is counted again by each owner to which the worker lists its end.
TEST_CASE("a failed attempt counts once over successive owners")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    int failures = 0;
    cell.plan = [&failures](const TaskName &, std::int64_t) {
        return failures++ == 0 ? SimulatedWork { Milliseconds(200), RunOutcome::Failed }
                               : SimulatedWork { Milliseconds(2500), RunOutcome::Done };
    };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    // The owner is replaced after the end is stored and before it is acknowledged: the worker lists it to the next owners too.
    while (cell.fleet.worker("w1").listedEnds().empty()) {
        cell.timers.advance(Milliseconds(2));
    }
    cell.timers.advance(Milliseconds(45));
    REQUIRE_FALSE(cell.fleet.worker("w1").listedEnds().empty());
    cell.takeOver();
    cell.takeOver();
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(8000)));
    CHECK(cell.violations().empty());
}

// Guards against a lease that each failed poll of a crashed worker extends, so that its tasks never start elsewhere.
TEST_CASE("a task of a worker that is gone starts elsewhere once the lease has expired, and not before")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(60000), RunOutcome::Done }; };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000, R"(,"longRunning":true)")) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(3000));
    REQUIRE(cell.starts.size() == 1);
    cell.addWorker("w2", 8);
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(Milliseconds(2500));
    CHECK(cell.starts.size() == 1);
    cell.timers.advance(Milliseconds(7500));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

TEST_CASE("a new owner adopts running tasks and starts none of them twice")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.addWorker("w2", 8);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(3000), RunOutcome::Done }; };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(8, 2000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    REQUIRE(cell.starts.size() == 8);
    cell.takeOver(false);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(6000)));
    CHECK(cell.starts.size() == 8);
    CHECK(cell.violations().empty());
}

// Guards against a second start of a task that may run on a worker whose report the new owner cannot read.
TEST_CASE("a new owner starts no inherited task while a worker that may run it is unread and its lease has not expired")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    // More than half of the roster stays within reach of the next owner.
    cell.addWorker("s1", 8, "studio");
    cell.addWorker("s2", 8, "studio");
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(20000), RunOutcome::Done }; };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    cell.fleet.worker("w1").isCutOff = true;
    cell.addWorker("w2", 8);
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000bb", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(1500));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.starts.back().task.job == "00000000000000bb");
    cell.timers.advance(Milliseconds(9000));
    CHECK(cell.starts.size() == 3);
    CHECK(cell.violations().empty());
}

TEST_CASE("a start without an answer is ruled out before the task starts elsewhere")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    int commandCount = 0;
    cell.fleet.drawFault = [&commandCount] {
        return CommandFault { commandCount++ == 0 ? CommandFault::Kind::Late : CommandFault::Kind::None, Milliseconds(1500) };
    };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(2000)));
    cell.timers.advance(Milliseconds(3000));
    CHECK(cell.starts.size() == 1);
    CHECK(cell.violations().empty());
}

TEST_CASE("a run goes on when only the answer to its start is lost")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    int commandCount = 0;
    cell.fleet.drawFault = [&commandCount] {
        return CommandFault { commandCount++ == 0 ? CommandFault::Kind::AnswerLost : CommandFault::Kind::None, {} };
    };
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(1500), RunOutcome::Done }; };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(3000)));
    CHECK(cell.starts.size() == 1);
}

TEST_CASE("the tasks of a cancelled job are stopped, and the next owner shows it as cancelled too")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(60000), RunOutcome::Done }; };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(4, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    REQUIRE(cell.cancel("00000000000000aa") == ClientResult::Outcome::Cancelled);
    cell.timers.advance(Milliseconds(500));
    CHECK(cell.fleet.worker("w1").runs().empty());
    cell.takeOver();
    CHECK(cell.stage("00000000000000aa") == JobStage::Cancelled);
    CHECK(cell.cancel("00000000000000bb") == ClientResult::Outcome::NoSuchJob);
}

TEST_CASE("urgent work preempts runs that save their progress, and no others")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.job.back() == 'a' ? 500 : 30000), RunOutcome::Done };
    };
    cell.takeOver();
    const bool savesProgress = GENERATE(true, false);
    REQUIRE(cell.submit("00000000000000bb", jobBody(4, 2000, savesProgress ? R"(,"checkpoints":true)" : ""))
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 2000), "urgent") == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(2500)) == savesProgress);
    CHECK(cell.violations().empty());
}

TEST_CASE("the members of a gang start together with the same attempt number, or not at all")
{
    OwnerFixture cell;
    cell.addWorker("w1", 4);
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(3, 2000, R"(,"gang":true)")) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(1000));
    CHECK(cell.starts.empty());
    cell.addWorker("w2", 4);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(4000)));
    REQUIRE(cell.starts.size() == 3);
    CHECK(cell.starts[0].attempt == cell.starts[2].attempt);
}

TEST_CASE("nothing starts on a worker that is draining or that the advisory service denies")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.addWorker("w2", 8);
    cell.addWorker("w3", 8);
    cell.list("w1", true);
    cell.advisor.denied = { "w2" };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(4, 1000), "advised") == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(4000)));
    for (const auto &start : cell.starts) {
        CHECK(start.permit == "ticket-w3");
    }
}

TEST_CASE("a submission that is not stored in time is refused and never runs")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    cell.store.setDown(true);
    cell.timers.advance(Milliseconds(400));
    REQUIRE(cell.submit("00000000000000cc", jobBody(1, 1000)) != ClientResult::Outcome::Accepted);
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Refused);
    cell.store.setDown(false);
    cell.timers.advance(Milliseconds(4000));
    CHECK_FALSE(cell.stage("00000000000000aa"));
    for (const auto &start : cell.starts) {
        CHECK(start.task.job != "00000000000000aa");
    }
}

TEST_CASE("accepted jobs go on while the store is unavailable, and their end is shown once it is stored")
{
    OwnerFixture cell;
    cell.addWorker("w1", 2);
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(3, 2000)) == ClientResult::Outcome::Accepted);
    cell.store.setDown(true);
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.starts.size() == 3);
    CHECK(cell.stage("00000000000000aa") == JobStage::Running);
    CHECK(cell.fleet.worker("w1").acknowledgedDone().empty());
    cell.store.setDown(false);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(2000)));
}

// Guards against an owner that is deposed while the store is unavailable to it: a worker that has restarted since has seen no
// fencing token, so it would accept starts of both the deposed owner and the next one.
TEST_CASE("nothing starts on a worker that restarted while the store is unavailable, until it is in the roster")
{
    OwnerFixture cell;
    cell.addWorker("w1", 2);
    cell.addWorker("w2", 8);
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.step == 0 ? 6000 : 500), RunOutcome::Done };
    };
    cell.takeOver();
    const std::string body = R"({"spec":"p","taskGroups":[{"count":1,"cpu":2000,"memMb":1,"estimateMs":6000},)"
                             R"({"count":1,"cpu":6000,"memMb":1,"estimateMs":500,"dependsOn":[0]}]})";
    REQUIRE(cell.submit("00000000000000aa", body) == ClientResult::Outcome::Accepted);
    REQUIRE(cell.runUntil("00000000000000aa", JobStage::Running, Milliseconds(6000)));
    cell.store.setDown(true);
    cell.fleet.worker("w2").restart();
    cell.timers.advance(Milliseconds(8000));
    CHECK(cell.starts.size() == 1);
    cell.store.setDown(false);
    cell.list("w2");
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(6000)));
    CHECK(cell.starts.size() == 2);
}

// Guards against a step that keeps requesting advice on allowed workers on which its own tasks already run, and never on others.
TEST_CASE("a task that may not share a worker with others of its step finds another allowed worker")
{
    OwnerFixture cell;
    for (int number = 0; number < 40; ++number) {
        cell.addWorker("w" + std::to_string(100 + number), 8);
    }
    // Of the thirty workers in the first advice request, two are allowed.
    for (int number = 2; number < 38; ++number) {
        cell.advisor.denied.insert("w" + std::to_string(100 + number));
    }
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(4, 1000, R"(,"antiAffinity":1)"), "advised")
            == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(8000)));
    std::set<std::string> permits;
    for (const auto &start : cell.starts) {
        permits.insert(start.permit);
    }
    CHECK(permits.size() >= 2);
}

// Guards against a gang that starves: less urgent work gradually fills the workers that it may use, while it requests advice on
// others.
TEST_CASE("a gang preempts less urgent work on the workers that it was allowed before")
{
    OwnerFixture cell;
    for (int number = 0; number < 10; ++number) {
        cell.addWorker("w" + std::to_string(number), 8);
    }
    cell.advisor.denied = { "w0", "w1", "w2", "w3", "w4", "w5", "w6" };
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.job.back() == 'b' ? 500 : 30000), RunOutcome::Done };
    };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(40, 2000, R"(,"checkpoints":true)")) == ClientResult::Outcome::Accepted);
    // The less urgent job would be late if it were stopped now. Its final deadline is six seconds after its submission.
    cell.timers.advance(Milliseconds(3200));
    REQUIRE(cell.submit("00000000000000ab", jobBody(3, 8000, R"(,"gang":true)"), "advised") == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil("00000000000000ab", JobStage::Completed, Milliseconds(8000)));
}

// Guards against preemption that begins only once the advisory service has answered, so that permits expire before the runs have
// ended.
TEST_CASE("less urgent runs on workers known to be allowed are preempted while the advice request is pending")
{
    OwnerFixture cell;
    for (int number = 0; number < 3; ++number) {
        cell.addWorker("w" + std::to_string(number), 8);
    }
    cell.advisor.responseTime = Milliseconds(600);
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.job.back() == 'b' ? 500 : 30000), RunOutcome::Done };
    };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(12, 2000, R"(,"checkpoints":true)")) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(3200));
    REQUIRE(cell.submit("00000000000000ab", jobBody(3, 8000, R"(,"gang":true)"), "advised") == ClientResult::Outcome::Accepted);
    std::optional<Milliseconds> startDelay;
    cell.fleet.onStarted = [&](SimulatedWorker &, const StartCommand &command) {
        if (command.task.job.back() == 'b' && !startDelay) {
            startDelay = std::chrono::duration_cast<Milliseconds>(cell.timers.now() - cell.advisor.lastRequestAt);
        }
    };
    cell.timers.advance(Milliseconds(9000));
    REQUIRE(startDelay);
    CHECK(*startDelay < cell.advisor.responseTime + Milliseconds(60));
}
