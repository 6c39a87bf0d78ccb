#include "jobs/Cell.h"

#include "jobs/JobDecisions.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr Milliseconds testTimeout { 120'000 };
const std::string longBody = R"({"runMs": 20000, "echo": "done"})";

/** Does what an owner that starts before it writes would do: holds a place, starts one task and writes no record. */
void startWithoutRecord(Cell &cell)
{
    auto &owner = *cell.owners.begin()->second;
    const auto job = cell.load();
    const auto holds = owner.hold({ job.declaration.id, {}, {}, job.declaration.need, 1, testTimeout });
    auto next = job;
    assignTask(next, 0, holds.at(0).worker, cell.runnerInstance);
    const TaskStart start { next.taskId(0), 1,       {}, {}, job.declaration.need, cell.clock.wallNow() + testTimeout,
                            testTimeout,    longBody };
    CHECK(owner.startHeld(holds.at(0), start, cell.failure).status == CallStatus::Answered);
}

} // namespace

TEST_CASE("a new owner never runs a task twice, whichever step the old owner crashed at", "[jobs]")
{
    // Guards against tasks that run on a worker that no record names, and against assignments that are recorded but never started.
    const auto kind = GENERATE(JobKind::Batch, JobKind::Gang);
    const auto step = GENERATE(0, 1, 2, 3);
    Cell cell;
    cell.submit(kind, 3, longBody);
    const auto crash = [] { throw Crash(); };
    if (step == 0) {
        cell.table.beforeNextCommit = crash;
    } else if (step == 1) {
        cell.table.afterNextCommit = crash;
    }
    for (const auto &[id, owner] : cell.owners) {
        owner->beforeNextStart = step == 2 ? crash : std::function<void()>();
        owner->afterNextStart = step == 3 ? crash : std::function<void()>();
    }
    CHECK_THROWS_AS(cell.runFor(testTimeout), Crash);
    for (const auto &[id, owner] : cell.owners) {
        owner->beforeNextStart = nullptr;
        owner->afterNextStart = nullptr;
    }
    cell.clock.advance(Milliseconds(7000));
    cell.takeOver(InstanceId("instance-1"));
    const auto job = cell.runFor(testTimeout);
    CHECK(job.phase == JobPhase::Done);
    CHECK(cell.overlapCount() == 0);
    CHECK(cell.heldCount() == 0);
    // A batch task that had started is queried, not started again; a gang is started again as a whole.
    CHECK(cell.startCount() == (kind == JobKind::Gang && step == 3 ? 4 : 3));
}

TEST_CASE("an owner that starts before it writes makes a task run twice", "[jobs]")
{
    // Negative control of the test above: overlapCount() detects the overlap that saving before starting prevents.
    Cell cell;
    cell.submit(JobKind::Batch, 1, longBody);
    startWithoutRecord(cell);
    cell.takeOver(InstanceId("instance-1"));
    cell.runFor(testTimeout);
    CHECK(cell.overlapCount() == 1);
}

TEST_CASE("a paused owner that resumes after a takeover writes nothing and starts nothing", "[jobs]")
{
    // Guards against two owners that both place the tasks of one job.
    Cell cell;
    cell.submit(JobKind::Batch, 2, longBody);
    const auto paused = std::move(cell.runner);
    cell.takeOver(InstanceId("instance-1"));
    paused->runOnce();
    CHECK(cell.startCount() == 0);
    CHECK(cell.heldCount() == 0);
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Done);
    CHECK(cell.startCount() == 2);
}

TEST_CASE("a start that was in transit when its owner crashed is refused after the takeover", "[jobs]")
{
    // Guards against a new owner that takes a worker's answer that it does not know a task as proof that the task cannot start.
    Cell cell;
    cell.submit(JobKind::Batch, 1, longBody);
    cell.owners.begin()->second->beforeNextStart = [] { throw Crash(); };
    CHECK_THROWS_AS(cell.runFor(testTimeout), Crash);
    const auto worker = cell.load().tasks[0].worker;
    cell.takeOver(InstanceId("instance-1"));
    cell.runFor(Milliseconds(1000));
    const TaskStart late { TaskId("job/0/1"), 1,       {}, {}, { 1000, 1000, 0, 1, 1 }, cell.clock.wallNow() + testTimeout,
                           testTimeout,       longBody };
    const auto result = cell.owners.begin()->second->workers.at(worker)->start(late, {}, cell.failure);
    CHECK(result.status == CallStatus::NotRun);
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Done);
    CHECK(cell.overlapCount() == 0);
    CHECK(cell.startCount() == 1);
}

TEST_CASE("a lost answer to the write is resolved before anything starts", "[jobs]")
{
    // Guards against a second assignment after a commit that took effect although its answer was lost.
    Cell cell;
    cell.submit(JobKind::Batch, 2);
    cell.table.loseAnswers(2);
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Done);
    CHECK(cell.startCount() == 2);
    CHECK(cell.heldCount() == 0);
}

TEST_CASE("while the table is down nothing starts, nothing stays held, and running tasks go on", "[jobs]")
{
    // Guards against starts without a record, and against places that stay held during an outage.
    Cell cell;
    cell.submit(JobKind::Batch, 1, R"({"runMs": 5000, "echo": "kept"})", "running");
    cell.runFor(Milliseconds(1000), "running");
    cell.submit(JobKind::Gang, 4);
    cell.table.beforeNextCommit = [&] { cell.table.setDown(true); };
    for (int round = 0; round < 100; ++round) {
        cell.runner->runOnce();
        cell.clock.advance(Milliseconds(100));
        REQUIRE(cell.startCount() == 1);
        REQUIRE(cell.heldCount() == 0);
    }
    cell.table.setDown(false);
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Done);
    const auto kept = cell.runFor(testTimeout, "running");
    CHECK(kept.tasks[0].answer == R"({"echo":"kept","task":"running/0/1"})");
    CHECK(cell.startCount() == 5);
}

TEST_CASE("a task of a lost worker is started elsewhere only after its lease and margin", "[jobs]")
{
    // Guards against a second start while the task still runs on a worker that its owner cannot reach.
    Cell cell;
    cell.submit(JobKind::Batch, 1, R"({"runMs": 60000})");
    cell.runFor(Milliseconds(12'000));
    auto &worker = *cell.owners.begin()->second->workers.begin()->second;
    CHECK(worker.startCount(TaskId("job/0/1")) == 1);
    worker.setReachable(false);
    cell.runFor(Milliseconds(25'000));
    // Negative control: the task still runs on the lost worker, so a shorter wait would run it twice.
    CHECK(worker.use().slots == 1);
    CHECK(cell.startCount() == 1);
    CHECK(cell.runFor(Milliseconds(20'000)).tasks[0].assignments == 2);
    CHECK(cell.metrics.counter("job_tasks_lost_total") == 1);
    CHECK(cell.overlapCount() == 0);
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Done);
}

TEST_CASE("a task is not moved while no instance owns its worker", "[jobs]")
{
    // Guards against a second start while the task runs in another network partition, where an owner renews its lease.
    Cell cell;
    cell.submit(JobKind::Batch, 1, R"({"runMs": 150000})");
    cell.runFor(Milliseconds(1000));
    auto &workers = cell.owners.begin()->second->workers;
    auto hidden = std::exchange(workers, {});
    for (int second = 0; second < 100; ++second) {
        cell.runFor(Milliseconds(1000));
        for (const auto &[id, worker] : hidden) {
            worker->renew(1, taskLease, {}, cell.failure);
        }
    }
    CHECK(cell.startCount() == 0);
    // Another instance takes over the workers; the runner finds it although the record names the old owner.
    cell.owners.rbegin()->second->workers.merge(hidden);
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Done);
    CHECK(cell.startCount() == 1);
}

TEST_CASE("a cancel that races a start leaves nothing running and nothing held", "[jobs]")
{
    // Guards against a task that starts after its job was reported as cancelled, and against holds that are not released.
    const auto kind = GENERATE(JobKind::Batch, JobKind::Gang, JobKind::Service);
    const auto step = GENERATE(0, 1, 2, 3);
    Cell cell;
    cell.submit(kind, 3, R"({"runMs": -1})");
    const auto cancel = [&] { cell.cancel(); };
    if (step < 2) {
        (step == 0 ? cell.table.beforeNextCommit : cell.table.afterNextCommit) = cancel;
    } else {
        auto &owner = *cell.owners.begin()->second;
        (step == 2 ? owner.beforeNextStart : owner.afterNextStart) = cancel;
    }
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Cancelled);
    CHECK(cell.startCount() == (step == 0 ? 0 : 3));
    CHECK(cell.use() == Resources {});
    CHECK(cell.heldCount() == 0);
}

TEST_CASE("many cancels at once leave no place held, even with lost answers", "[jobs]")
{
    // Guards against capacity that stays held after each cancelled job.
    Cell cell;
    constexpr int jobCount = 30;
    for (int index = 0; index < jobCount; ++index) {
        cell.submit(index % 3 == 0 ? JobKind::Gang : JobKind::Batch, 2, R"({"runMs": -1})", "job-" + std::to_string(index));
    }
    cell.runFor(Milliseconds(500), "job-0");
    cell.owners.begin()->second->workers.begin()->second->setFaults({ {}, 3, 0, false, {}, {} });
    cell.table.loseAnswers(2);
    for (int index = 0; index < jobCount; ++index) {
        cell.store.cancel(cell.shard, JobId("job-" + std::to_string(index)), cell.clock.now() + testTimeout, cell.failure);
    }
    // The runner is not notified; its poll finds the cancels.
    for (int index = 0; index < jobCount; ++index) {
        CHECK(cell.runFor(testTimeout, "job-" + std::to_string(index)).phase == JobPhase::Cancelled);
    }
    CHECK(cell.use() == Resources {});
    CHECK(cell.heldCount() == 0);
}

TEST_CASE("a task that fails is tried on other workers, up to the limit of attempts", "[jobs]")
{
    // Guards against endless starts of a task that always fails, and against using all attempts on one faulty worker.
    Cell cell;
    cell.submit(JobKind::Batch, 1, R"({"runMs": 10, "fail": true, "echo": "broken"})");
    const auto job = cell.runFor(testTimeout);
    CHECK(job.phase == JobPhase::Failed);
    CHECK(job.reason.find("failed 3 times") != std::string::npos);
    CHECK(cell.startCount() == 3);
    cell.owners.begin()->second->workers.begin()->second->setFaults({ {}, 0, 0, true, {}, {} });
    cell.submit(JobKind::Batch, 4, R"({"runMs": 10})", "good");
    CHECK(cell.runFor(testTimeout, "good").phase == JobPhase::Done);
}

TEST_CASE("a service is started again elsewhere whenever it ends, until it is cancelled", "[jobs]")
{
    // Guards against a service that is not started again, and against one that is restarted without a delay.
    Cell cell;
    cell.submit(JobKind::Service, 2, R"({"runMs": 100})");
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Active);
    CHECK(cell.startCount() >= 2 * 30);
    CHECK(cell.startCount() <= 2 * 120);
    CHECK(cell.overlapCount() == 0);
    cell.cancel();
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Cancelled);
    CHECK(cell.use() == Resources {});
}

TEST_CASE("a peer is queried once for all running tasks of a job", "[jobs]")
{
    // Guards against one query per task, which with 750 running tasks alone exceeded an instance's budget for control traffic.
    // The four workers have just enough slots, so each owner runs half of the tasks.
    Cell cell(2, { 1'000'000, 1'000'000, 0, 16, 1000 });
    cell.submit(JobKind::Batch, 64, R"({"runMs": 300000})");
    cell.runFor(Milliseconds(100'000));
    const auto &peer = cell.owners.at(cell.owners.begin()->first == cell.runnerInstance ? cell.owners.rbegin()->first
                                                                                        : cell.owners.begin()->first);
    peer->taskQueryCount = 0;
    peer->jobQueryCount = 0;
    cell.runFor(Milliseconds(50'000));
    CHECK(peer->taskQueryCount == 0);
    // One query every 10 s, and more if the tasks were started in several rounds.
    CHECK(peer->jobQueryCount > 0);
    CHECK(peer->jobQueryCount <= 10);
    const auto job = cell.runFor(Milliseconds(300'000));
    CHECK(job.phase == JobPhase::Done);
    CHECK(cell.startCount() == 64);
}

TEST_CASE("a gang waits without holding places, and its explanation names the reason", "[jobs]")
{
    // Guards against a gang that keeps places from others while it waits for more.
    Cell cell;
    cell.submit(JobKind::Batch, 4, longBody, "first");
    cell.runFor(Milliseconds(500), "first");
    cell.submit(JobKind::Gang, 6);
    CHECK(cell.runFor(Milliseconds(10'000)).phase == JobPhase::Active);
    CHECK(cell.heldCount() == 0);
    const auto explanation = cell.runner->explain(JobId("job"));
    REQUIRE(explanation);
    CHECK(explanation->summary.find("waits: no room for 6 tasks of 1000m cores") != std::string::npos);
    CHECK(cell.runner->explain(JobId("first"))->tasks[0].find("assigned on worker-0a") != std::string::npos);
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Done);
    CHECK_FALSE(cell.runner->explain(JobId("job")));
}

TEST_CASE("a gang that loses a task is started again as a whole", "[jobs]")
{
    // Guards against tasks of a gang that wait for ever for a task that was lost.
    Cell cell;
    cell.submit(JobKind::Gang, 3, R"({"runMs": 10000})");
    cell.runFor(Milliseconds(2000));
    auto &owner = *cell.owners.begin()->second;
    REQUIRE(owner.cancelTask(WorkerId("worker-0a"), TaskId("job/0/1"), cell.failure));
    const auto job = cell.runFor(testTimeout);
    CHECK(job.phase == JobPhase::Done);
    CHECK(cell.startCount() == 6);
    CHECK(job.tasks[0].failures == 1);
    CHECK(job.tasks[1].failures == 0);
}

TEST_CASE("the runner's own thread drives jobs and ends on stop()", "[jobs]")
{
    // Guards against a thread that misses notifications or does not end.
    Cell cell;
    cell.runner->start();
    cell.submit(JobKind::Batch, 1, "x");
    while (!cell.load().hasEnded()) {
        cell.clock.advance(Milliseconds(50));
        std::this_thread::yield();
    }
    cell.runner->stop();
    CHECK(cell.load().phase == JobPhase::Done);
}
