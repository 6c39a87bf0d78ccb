#include "jobs/Cell.h"

#include "jobs/JobDecisions.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr Milliseconds patience { 120'000 };
const std::string longBody = R"({"runMs": 20000, "echo": "done"})";

/** An owner that starts before it writes: places and starts one task, then dies before the write. */
void startWithoutRecord(Cell &cell)
{
    auto &owner = *cell.owners.begin()->second;
    const auto job = cell.load();
    const auto holds = owner.hold({ job.declaration.id, {}, {}, job.declaration.need, 1, patience });
    auto next = job;
    assign(next, 0, holds.at(0).worker, cell.runnerInstance);
    const TaskStart start { next.taskId(0), 1, {}, {}, job.declaration.need, cell.clock.wallNow() + patience, patience, longBody };
    CHECK(owner.startHeld(holds.at(0), start, cell.failure).status == CallStatus::Answered);
}

} // namespace

TEST_CASE("a successor never runs a task twice, whichever step its predecessor died at", "[jobs]")
{
    // Guards against tasks that run on a worker no record names, and against records of starts that never come.
    const auto kind = GENERATE(JobKind::Batch, JobKind::Gang);
    const auto step = GENERATE(0, 1, 2, 3);
    Cell cell;
    cell.submit(kind, 3, longBody);
    const auto die = [] { throw Crash(); };
    if (step == 0) {
        cell.table.beforeCommit = die;
    } else if (step == 1) {
        cell.table.afterCommit = die;
    }
    for (const auto &[id, owner] : cell.owners) {
        owner->beforeStart = step == 2 ? die : std::function<void()>();
        owner->afterStart = step == 3 ? die : std::function<void()>();
    }
    CHECK_THROWS_AS(cell.runFor(patience), Crash);
    for (const auto &[id, owner] : cell.owners) {
        owner->beforeStart = nullptr;
        owner->afterStart = nullptr;
    }
    cell.clock.advance(Milliseconds(7000));
    cell.takeOver(InstanceId("instance-1"));
    const auto job = cell.runFor(patience);
    CHECK(job.phase == JobPhase::Done);
    CHECK(cell.overlapCount() == 0);
    CHECK(cell.heldCount() == 0);
    // A batch task that had started is followed, not started again; a gang is started again as a whole.
    CHECK(cell.startCount() == (kind == JobKind::Gang && step == 3 ? 4 : 3));
}

TEST_CASE("an owner that starts before it writes makes a task run twice", "[jobs]")
{
    // Negative control of the test above: the checker sees the overlap that the order of write and start prevents.
    Cell cell;
    cell.submit(JobKind::Batch, 1, longBody);
    startWithoutRecord(cell);
    cell.takeOver(InstanceId("instance-1"));
    cell.runFor(patience);
    CHECK(cell.overlapCount() == 1);
}

TEST_CASE("a paused owner that wakes up after a takeover writes nothing and starts nothing", "[jobs]")
{
    // Guards against two owners that both place the tasks of one job.
    Cell cell;
    cell.submit(JobKind::Batch, 2, longBody);
    const auto paused = std::move(cell.runner);
    cell.takeOver(InstanceId("instance-1"));
    paused->runOnce();
    CHECK(cell.startCount() == 0);
    CHECK(cell.heldCount() == 0);
    CHECK(cell.runFor(patience).phase == JobPhase::Done);
    CHECK(cell.startCount() == 2);
}

TEST_CASE("a start that was under way when its owner died is refused after the takeover", "[jobs]")
{
    // Guards against a successor that takes a worker's ignorance of a task for proof that it will not start.
    Cell cell;
    cell.submit(JobKind::Batch, 1, longBody);
    cell.owners.begin()->second->beforeStart = [] { throw Crash(); };
    CHECK_THROWS_AS(cell.runFor(patience), Crash);
    const auto worker = cell.load().tasks[0].worker;
    cell.takeOver(InstanceId("instance-1"));
    cell.runFor(Milliseconds(1000));
    const TaskStart late { TaskId("job/0/1"), 1,       {}, {}, { 1000, 1000, 0, 1, 1 }, cell.clock.wallNow() + patience,
                           patience,          longBody };
    const auto result = cell.owners.begin()->second->workers.at(worker)->start(late, {}, cell.failure);
    CHECK(result.status == CallStatus::NotRun);
    CHECK(cell.runFor(patience).phase == JobPhase::Done);
    CHECK(cell.overlapCount() == 0);
    CHECK(cell.startCount() == 1);
}

TEST_CASE("a lost answer to the write is resolved before anything starts", "[jobs]")
{
    // Guards against a second assignment after a write that did take effect.
    Cell cell;
    cell.submit(JobKind::Batch, 2);
    cell.table.loseAnswers(2);
    CHECK(cell.runFor(patience).phase == JobPhase::Done);
    CHECK(cell.startCount() == 2);
    CHECK(cell.heldCount() == 0);
}

TEST_CASE("while the table is down nothing starts, nothing stays held, and running tasks go on", "[jobs]")
{
    // Guards against starts without a record, and against places that an outage keeps from others.
    Cell cell;
    cell.submit(JobKind::Batch, 1, R"({"runMs": 5000, "echo": "kept"})", "running");
    cell.runFor(Milliseconds(1000), "running");
    cell.submit(JobKind::Gang, 4);
    cell.table.beforeCommit = [&] { cell.table.setDown(true); };
    for (int round = 0; round < 100; ++round) {
        cell.runner->runOnce();
        cell.clock.advance(Milliseconds(100));
        REQUIRE(cell.startCount() == 1);
        REQUIRE(cell.heldCount() == 0);
    }
    cell.table.setDown(false);
    CHECK(cell.runFor(patience).phase == JobPhase::Done);
    const auto kept = cell.runFor(patience, "running");
    CHECK(kept.tasks[0].answer == R"({"echo":"kept","task":"running/0/1"})");
    CHECK(cell.startCount() == 5);
}

TEST_CASE("a task of a lost worker is started elsewhere only after its lease and margin", "[jobs]")
{
    // Guards against a task that still runs on a worker which only its owner cannot reach.
    Cell cell;
    cell.submit(JobKind::Batch, 1, R"({"runMs": 60000})");
    cell.runFor(Milliseconds(12'000));
    auto &worker = *cell.owners.begin()->second->workers.begin()->second;
    CHECK(worker.startCount(TaskId("job/0/1")) == 1);
    worker.setReachable(false);
    cell.runFor(Milliseconds(25'000));
    // Negative control: it still runs there, so that an owner with a shorter wait would run it twice.
    CHECK(worker.use().slots == 1);
    CHECK(cell.startCount() == 1);
    CHECK(cell.runFor(Milliseconds(20'000)).tasks[0].assignments == 2);
    CHECK(cell.metrics.counter("job_tasks_lost_total") == 1);
    CHECK(cell.overlapCount() == 0);
    CHECK(cell.runFor(patience).phase == JobPhase::Done);
}

TEST_CASE("a task is not moved while nobody knows its worker", "[jobs]")
{
    // Guards against a task that runs on behind a partition, where its owner goes on renewing the lease.
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
    // Another instance takes the workers over and is found without being named in the record.
    cell.owners.rbegin()->second->workers.merge(hidden);
    CHECK(cell.runFor(patience).phase == JobPhase::Done);
    CHECK(cell.startCount() == 1);
}

TEST_CASE("a cancel that races a start leaves nothing running and nothing held", "[jobs]")
{
    // Guards against a task that starts after its job was reported as cancelled, and against holds that are forgotten.
    const auto kind = GENERATE(JobKind::Batch, JobKind::Gang, JobKind::Service);
    const auto step = GENERATE(0, 1, 2, 3);
    Cell cell;
    cell.submit(kind, 3, R"({"runMs": -1})");
    const auto cancel = [&] { cell.cancel(); };
    if (step < 2) {
        (step == 0 ? cell.table.beforeCommit : cell.table.afterCommit) = cancel;
    } else {
        auto &owner = *cell.owners.begin()->second;
        (step == 2 ? owner.beforeStart : owner.afterStart) = cancel;
    }
    CHECK(cell.runFor(patience).phase == JobPhase::Cancelled);
    CHECK(cell.startCount() == (step == 0 ? 0 : 3));
    CHECK(cell.use() == Resources {});
    CHECK(cell.heldCount() == 0);
}

TEST_CASE("a wave of cancels leaves no held room, even with lost answers", "[jobs]")
{
    // Guards against room that leaks away with each cancelled job.
    Cell cell;
    constexpr int jobCount = 30;
    for (int index = 0; index < jobCount; ++index) {
        cell.submit(index % 3 == 0 ? JobKind::Gang : JobKind::Batch, 2, R"({"runMs": -1})", "job-" + std::to_string(index));
    }
    cell.runFor(Milliseconds(500), "job-0");
    cell.owners.begin()->second->workers.begin()->second->setFaults({ {}, 3, 0, false, {}, {} });
    cell.table.loseAnswers(2);
    for (int index = 0; index < jobCount; ++index) {
        cell.store.cancel(cell.shard, JobId("job-" + std::to_string(index)), cell.clock.now() + patience, cell.failure);
    }
    // No message tells the runner; it finds the cancels by its poll.
    for (int index = 0; index < jobCount; ++index) {
        CHECK(cell.runFor(patience, "job-" + std::to_string(index)).phase == JobPhase::Cancelled);
    }
    CHECK(cell.use() == Resources {});
    CHECK(cell.heldCount() == 0);
}

TEST_CASE("a task that fails is tried on other workers, up to the limit of attempts", "[jobs]")
{
    // Guards against endless starts of a broken task, and against all attempts being spent on one broken worker.
    Cell cell;
    cell.submit(JobKind::Batch, 1, R"({"runMs": 10, "fail": true, "echo": "broken"})");
    const auto job = cell.runFor(patience);
    CHECK(job.phase == JobPhase::Failed);
    CHECK(job.reason.find("failed 3 times") != std::string::npos);
    CHECK(cell.startCount() == 3);
    cell.owners.begin()->second->workers.begin()->second->setFaults({ {}, 0, 0, true, {}, {} });
    cell.submit(JobKind::Batch, 4, R"({"runMs": 10})", "good");
    CHECK(cell.runFor(patience, "good").phase == JobPhase::Done);
}

TEST_CASE("a service is started again elsewhere whenever it ends, until it is cancelled", "[jobs]")
{
    // Guards against a service that stays down, and against one that starts again in a tight loop.
    Cell cell;
    cell.submit(JobKind::Service, 2, R"({"runMs": 100})");
    CHECK(cell.runFor(patience).phase == JobPhase::Active);
    CHECK(cell.startCount() >= 2 * 30);
    CHECK(cell.startCount() <= 2 * 120);
    CHECK(cell.overlapCount() == 0);
    cell.cancel();
    CHECK(cell.runFor(patience).phase == JobPhase::Cancelled);
    CHECK(cell.use() == Resources {});
}

TEST_CASE("a peer is asked once for all running tasks of a job", "[jobs]")
{
    // Guards against one question for each task, which at 750 running tasks alone exceeded an instance's budget for control
    // traffic. The four workers have just enough slots, so that each owner runs half of the tasks.
    Cell cell(2, { 1'000'000, 1'000'000, 0, 16, 1000 });
    cell.submit(JobKind::Batch, 64, R"({"runMs": 300000})");
    cell.runFor(Milliseconds(100'000));
    const auto &peer = cell.owners.at(cell.owners.begin()->first == cell.runnerInstance ? cell.owners.rbegin()->first
                                                                                        : cell.owners.begin()->first);
    peer->taskQuestions = 0;
    peer->jobQuestions = 0;
    cell.runFor(Milliseconds(50'000));
    CHECK(peer->taskQuestions == 0);
    // One question for each 10 s, and one more where tasks were started in rounds.
    CHECK(peer->jobQuestions > 0);
    CHECK(peer->jobQuestions <= 10);
    const auto job = cell.runFor(Milliseconds(300'000));
    CHECK(job.phase == JobPhase::Done);
    CHECK(cell.startCount() == 64);
}

TEST_CASE("a gang waits without holding places, and says why", "[jobs]")
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
    CHECK(cell.runFor(patience).phase == JobPhase::Done);
    CHECK_FALSE(cell.runner->explain(JobId("job")));
}

TEST_CASE("a gang that loses a member is started again as a whole", "[jobs]")
{
    // Guards against members that wait for ever for one that is gone.
    Cell cell;
    cell.submit(JobKind::Gang, 3, R"({"runMs": 10000})");
    cell.runFor(Milliseconds(2000));
    auto &owner = *cell.owners.begin()->second;
    REQUIRE(owner.cancelTask(WorkerId("worker-0a"), TaskId("job/0/1"), cell.failure));
    const auto job = cell.runFor(patience);
    CHECK(job.phase == JobPhase::Done);
    CHECK(cell.startCount() == 6);
    CHECK(job.tasks[0].failures == 1);
    CHECK(job.tasks[1].failures == 0);
}

TEST_CASE("the runner's own thread drives jobs and stops at once", "[jobs]")
{
    // Guards against a thread that sleeps through news or does not end.
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
