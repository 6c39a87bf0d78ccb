#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace auburndoor;

namespace {

constexpr const char *job = "00000000000000aa";

/** The number of tasks that were started more than once. */
int countRepeatedTasks(const OwnerFixture &cell)
{
    std::map<TaskName, int> starts;
    for (const auto &start : cell.starts) {
        ++starts[start.task];
    }
    return static_cast<int>(std::count_if(starts.begin(), starts.end(), [](const auto &task) { return task.second > 1; }));
}

} // namespace

// Guards against ends that are acknowledged and forgotten: a successor whose record of the job is older has not yet added the
// occurrence, as its predecessor had room for it while the store was away.
TEST_CASE("occurrences that end after a takeover, before the successor has added them, do not run again", "[inherited]")
{
    constexpr Milliseconds outage { 3000 };
    OwnerFixture cell;
    cell.addWorker("w1", 40);
    cell.addWorker("w2", 40);
    cell.takeOver();
    // More are due than a job may have open at a time.
    REQUIRE(cell.submit(job,
                        R"({"spec":"p","repeatCount":3000,"startAtMs":1699990000000,"intervalMs":1,)"
                        R"("taskGroups":[{"count":1,"cpu":200,"memMb":1,"estimateMs":400}]})")
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(300));
    cell.store.setDown(true);
    cell.timers.advance(outage);
    cell.killOwner();
    cell.store.setDown(false);
    cell.takeOver();
    CHECK(cell.runUntil(job, JobStage::Completed, Milliseconds(60000)));
    CHECK(countRepeatedTasks(cell) == 0);
    CHECK(cell.violations().empty());
}

// Guards against a gang that runs again: of one with more tasks than a part of the record holds, only the part with the listed end
// is stored as done.
TEST_CASE("a gang of several parts that has ended does not run again after a takeover", "[inherited]")
{
    OwnerFixture cell;
    cell.addWorker("w1", 20);
    cell.takeOver();
    // The last member finds room on w2 only.
    cell.addWorker("w2", 1);
    REQUIRE(cell.submit(job,
                        R"({"spec":"p","taskGroups":[{"count":201,"cpu":100,"memMb":1,"estimateMs":400,"gang":true},)"
                        R"({"count":1,"cpu":100,"memMb":1,"estimateMs":400,"dependsOn":[0]}]})")
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(300));
    REQUIRE(cell.starts.size() == 201);
    cell.fleet.worker("w2").isCutOff = true;
    cell.timers.advance(Milliseconds(3000));
    cell.killOwner();
    cell.fleet.worker("w2").restart();
    cell.fleet.worker("w2").isCutOff = false;
    cell.list("w2");
    cell.takeOver();
    CHECK(cell.runUntil(job, JobStage::Completed, Milliseconds(20000)));
    CHECK(countRepeatedTasks(cell) == 0);
}

// Guards against a job that is stuck: the queue's policy for advice lived in the memory of the owner that accepted the job.
TEST_CASE("a job of a removed queue asks for advice under a later owner", "[inherited]")
{
    OwnerFixture cell;
    cell.addWorker("w1", 4);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(3000), RunOutcome::Done }; };
    cell.takeOver();
    REQUIRE(cell.submit(job,
                        R"({"spec":"p","taskGroups":[{"count":1,"cpu":100,"memMb":1,"estimateMs":400},)"
                        R"({"count":1,"cpu":100,"memMb":1,"estimateMs":400,"dependsOn":[0]}]})",
                        "advised")
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    REQUIRE(cell.starts.size() == 1);
    cell.removeQueue("advised");
    cell.takeOver();
    const int requestsBefore = cell.advisor.requestCount;
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.advisor.requestCount > requestsBefore);
    REQUIRE(cell.starts.size() == 2);
    CHECK(cell.starts.back().permit == "ticket-w1");
}

// Guards against ends of occurrences that are not due yet by the successor's clock: they would be acknowledged and forgotten.
TEST_CASE("occurrences that have run do not run again under an owner whose clock is behind", "[inherited]")
{
    OwnerFixture cell;
    cell.addWorker("w1", 40);
    cell.takeOver();
    // An occurrence each 200 ms; the first one is due about now.
    const auto firstDue = cell.timers.wallNow().count();
    REQUIRE(cell.submit(job,
                        R"({"spec":"p","repeatCount":40,"startAtMs":)" + std::to_string(firstDue)
                            + R"(,"intervalMs":200,"taskGroups":[{"count":1,"cpu":200,"memMb":1,"estimateMs":400}]})")
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(2000));
    // The last ends are not stored when the owner ends.
    cell.store.setDown(true);
    cell.timers.advance(Milliseconds(2000));
    cell.killOwner();
    cell.store.setDown(false);
    cell.timers.wallClockOffset = Milliseconds(-5000);
    cell.takeOver();
    CHECK(cell.runUntil(job, JobStage::Completed, Milliseconds(30000)));
    CHECK(countRepeatedTasks(cell) == 0);
    CHECK(cell.violations().empty());
}

// Guards against ends that the second of two owners learns of, when neither of them has room for their occurrences.
TEST_CASE("occurrences beyond the room of a job do not run again after two takeovers", "[inherited]")
{
    OwnerFixture cell;
    cell.addWorker("w1", 40);
    cell.addWorker("w2", 40);
    cell.takeOver();
    REQUIRE(cell.submit(job,
                        R"({"spec":"p","repeatCount":3000,"startAtMs":1699990000000,"intervalMs":1,)"
                        R"("taskGroups":[{"count":1,"cpu":200,"memMb":1,"estimateMs":400}]})")
            == ClientResult::Outcome::Accepted);
    for (int takeover = 0; takeover < 2; ++takeover) {
        cell.timers.advance(Milliseconds(300));
        cell.store.setDown(true);
        cell.timers.advance(Milliseconds(2000));
        cell.killOwner();
        cell.store.setDown(false);
        cell.takeOver();
    }
    CHECK(cell.runUntil(job, JobStage::Completed, Milliseconds(60000)));
    CHECK(countRepeatedTasks(cell) == 0);
    CHECK(cell.violations().empty());
}

// Guards against occurrences that are added by a report after the job was cancelled.
TEST_CASE("a job with occurrences that is cancelled after a takeover starts nothing more", "[inherited]")
{
    OwnerFixture cell;
    cell.addWorker("w1", 40);
    cell.takeOver();
    REQUIRE(cell.submit(job,
                        R"({"spec":"p","repeatCount":3000,"startAtMs":1699990000000,"intervalMs":1,)"
                        R"("taskGroups":[{"count":1,"cpu":200,"memMb":1,"estimateMs":400}]})")
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(300));
    cell.store.setDown(true);
    cell.timers.advance(Milliseconds(2000));
    cell.killOwner();
    cell.store.setDown(false);
    cell.takeOver();
    CHECK(cell.cancel(job) == ClientResult::Outcome::Cancelled);
    const auto startsBefore = cell.starts.size();
    cell.timers.advance(Milliseconds(3000));
    CHECK(cell.starts.size() == startsBefore);
    CHECK(cell.stage(job) == JobStage::Cancelled);
    CHECK(countRepeatedTasks(cell) == 0);
}

// Guards against attempts that are counted anew: failures of a gang are counted at its first member, while the row of the part with
// the member that has failed may be the only one that is stored.
TEST_CASE("failures of a gang of several parts count under later owners", "[inherited]")
{
    constexpr int members = 201;
    OwnerFixture cell;
    cell.plan = [](const TaskName &task, std::int64_t) {
        return task.index == members - 1 ? SimulatedWork { Milliseconds(300), RunOutcome::Failed }
                                         : SimulatedWork { Milliseconds(5000), RunOutcome::Done };
    };
    cell.addWorker("w1", 20);
    cell.takeOver();
    // The last member, which fails, finds room on w2 only.
    cell.addWorker("w2", 1);
    REQUIRE(cell.submit(job, R"({"spec":"p","taskGroups":[{"count":201,"cpu":100,"memMb":1,"estimateMs":400,"gang":true}]})")
            == ClientResult::Outcome::Accepted);
    const auto failedRuns = [&cell] {
        return std::count_if(
            cell.starts.begin(), cell.starts.end(), [](const StartCommand &start) { return start.task.index == members - 1; });
    };
    for (int step = 0; step < 100 && failedRuns() < 1; ++step) {
        cell.timers.advance(Milliseconds(20));
    }
    cell.timers.advance(Milliseconds(200));
    // No other member ends before the owner is killed, which is right after the acknowledgement of the failure.
    auto &lastWorker = cell.fleet.worker("w2");
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(Milliseconds(120));
    for (int step = 0; step < 100 && !(lastWorker.runs().empty() && lastWorker.listedEnds().empty()); ++step) {
        cell.timers.advance(Milliseconds(10));
    }
    REQUIRE(lastWorker.listedEnds().empty());
    cell.killOwner();
    cell.fleet.worker("w1").restart();
    cell.fleet.worker("w1").isCutOff = false;
    cell.list("w1");
    cell.takeOver();
    CHECK(cell.runUntil(job, JobStage::Failed, Milliseconds(20000)));
    CHECK(failedRuns() == 2);
}

// Guards against a cancelled gang of which a part is stored as open.
TEST_CASE("a gang of several parts that is cancelled does not run after a takeover", "[inherited]")
{
    OwnerFixture cell;
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(5000), RunOutcome::Done }; };
    cell.addWorker("w1", 40);
    cell.takeOver();
    REQUIRE(cell.submit(job, R"({"spec":"p","taskGroups":[{"count":201,"cpu":100,"memMb":1,"estimateMs":400,"gang":true}]})")
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(1000));
    const auto startsBefore = cell.starts.size();
    REQUIRE(startsBefore >= 201);
    CHECK(cell.cancel(job) == ClientResult::Outcome::Cancelled);
    cell.takeOver();
    cell.timers.advance(Milliseconds(10000));
    CHECK(cell.starts.size() == startsBefore);
    CHECK(cell.stage(job) == JobStage::Cancelled);
    CHECK(cell.fleet.worker("w1").runs().empty());
}
