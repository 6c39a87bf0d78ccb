#include "core/Failure.h"
#include "core/ManualClock.h"
#include "fakes/FakeTableService.h"
#include "jobs/JobDecisions.h"
#include "jobs/JobFit.h"
#include "jobs/JobStore.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <rapidcheck.h>

using namespace auburndoor;

namespace {

const ShardId shard("domain/1");

JobDeclaration declare(JobKind kind, int taskCount)
{
    JobDeclaration declaration;
    declaration.id = JobId("job");
    declaration.kind = kind;
    declaration.service = ServiceId("s");
    declaration.taskCount = taskCount;
    declaration.need = { 1000, 100, 0, 1, 1 };
    return declaration;
}

class MockTable : public TableService
{
public:
    MAKE_MOCK3(read, std::optional<TableRow>(const std::string &, TimePoint, Failure &), override);
    MAKE_MOCK3(readPrefix, std::optional<std::vector<TableRow>>(const std::string &, TimePoint, Failure &), override);
    MAKE_MOCK3(commit, CommitResult(const Transaction &, TimePoint, Failure &), override);
};

/** Applies a random cancel, placement or report to a job, as a runner would, and checks the invariants of a job. */
void applyRandomStep(Job &job)
{
    using rc::gen::arbitrary;
    const auto before = job;
    const std::vector<TimePoint> earliestPlacements(job.tasks.size());
    const auto index = *rc::gen::inRange<std::size_t>(0, job.tasks.size());
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        job.phase = job.phase == JobPhase::Active ? JobPhase::Cancelling : job.phase;
        break;
    case 1:
    case 2:
    case 3:
        for (const auto task : selectTasksToPlace(job, earliestPlacements, {}, 2)) {
            RC_ASSERT(job.tasks[task].phase == TaskPhase::Waiting);
            assignTask(job, task, WorkerId("w"), InstanceId("i"));
        }
        break;
    default: {
        const auto state = static_cast<TaskState>(*rc::gen::inRange(0, 6));
        const auto id = *arbitrary<bool>() ? job.taskId(index) : TaskId("job/" + std::to_string(index) + "/0");
        applyReport(job, index, { id, state, {}, {}, "answer", {} }, *arbitrary<bool>(), Milliseconds(0));
        // Only a report of a terminal state for the current assignment ends the assignment.
        const bool isFreed = before.tasks[index].phase == TaskPhase::Assigned && job.tasks[index].phase != TaskPhase::Assigned;
        RC_ASSERT(!isFreed || (isTerminal(state) && id == before.taskId(index)));
    }
    }
    endJobIfFinished(job, {});
    const bool hasAssigned = std::any_of(
        job.tasks.begin(), job.tasks.end(), [](const TaskRecord &task) { return task.phase == TaskPhase::Assigned; });
    RC_ASSERT(!(job.hasEnded() && hasAssigned));
    for (std::size_t task = 0; task < job.tasks.size(); ++task) {
        RC_ASSERT(job.tasks[task].assignments >= before.tasks[task].assignments);
        RC_ASSERT(before.tasks[task].phase != TaskPhase::Done || job.tasks[task].phase == TaskPhase::Done);
        RC_ASSERT(job.tasks[task].failures <= job.declaration.maximumAttempts || job.isEnding() || job.hasEnded());
    }
    RC_ASSERT(!before.hasEnded() || job.isRecordedAs(before));
}

} // namespace

TEST_CASE("no order of reports, placements and cancels breaks the invariants of a job", "[jobs]")
{
    // Guards against a task that is placed again while it may still run, and against jobs that end with assigned tasks.
    CHECK(rc::check("job states", [] {
        auto job = makeJob(shard, declare(static_cast<JobKind>(*rc::gen::inRange(0, 3)), *rc::gen::inRange(1, 5)), {});
        for (int step = 0; step < 60; ++step) {
            applyRandomStep(job);
        }
        const auto read = decodeJob(encode(job));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->isRecordedAs(job));
    }));
}

TEST_CASE("a job's record keeps any bytes, and a damaged row does not crash its decoding", "[jobs]")
{
    // Guards against bodies and answers that are lost because they are not UTF-8, and against a crash on a damaged row.
    CHECK(rc::check("job record", [](const std::string &body, const std::string &answer) {
        auto declaration = declare(JobKind::Batch, 1);
        declaration.body = body;
        auto job = makeJob(shard, declaration, {});
        job.tasks[0].answer = answer;
        const auto read = decodeJob(encode(job));
        RC_ASSERT(read && isSameDeclaration(read->declaration, declaration) && read->tasks[0].answer == answer);
        auto damaged = encode(job);
        damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] = '}';
        decodeJob(damaged);
    }));
}

TEST_CASE("a repeated submission is recorded once", "[jobs]")
{
    // Guards against a job that runs twice because its caller repeated the submission.
    ManualClock clock;
    FakeTableService table;
    JobStore store(table, clock);
    Failure failure;
    const auto deadline = clock.now() + Milliseconds(1000);
    const auto submit = [&](int count) { return store.submit(shard, declare(JobKind::Batch, count), deadline, failure).status; };
    table.loseAnswers(1);
    CHECK(submit(2) == SubmitStatus::Unknown);
    CHECK(submit(2) == SubmitStatus::AlreadyRecorded);
    CHECK(submit(3) == SubmitStatus::DifferentJob);
    CHECK(table.commitCount() == 1);
    auto job = *store.load(shard, JobId("job"), deadline, failure);
    job.phase = JobPhase::Done;
    job.ended = clock.wallNow();
    long long version = 0;
    REQUIRE(store.save(store.makeSave(job, 0), deadline, version, failure) == SaveStatus::Saved);
    CHECK(submit(2) == SubmitStatus::AlreadyRecorded);
    CHECK(store.loadShard(shard, deadline, failure)->empty());
    CHECK(store.removeEnded(shard, clock.wallNow(), deadline, failure) == 0);
    CHECK(store.removeEnded(shard, clock.wallNow() + Milliseconds(1), deadline, failure) == 1);
    CHECK_FALSE(store.load(shard, JobId("job"), deadline, failure));
    CHECK(failure.reason == FailureReason::UnknownName);
    table.setDown(true);
    CHECK(submit(2) == SubmitStatus::NotRecorded);
}

TEST_CASE("every save checks the rows of the shard and of the job", "[jobs]")
{
    // Guards against saves by a former owner, and against saves that overwrite a cancel.
    ManualClock clock;
    MockTable table;
    JobStore store(table, clock);
    auto job = makeJob(shard, declare(JobKind::Batch, 1), {});
    job.version = 7;
    const auto save = store.makeSave(job, 3);
    REQUIRE(save.checks.size() == 2);
    CHECK((save.checks[0].key == "shard/domain/1" && save.checks[0].version == 3));
    CHECK((save.checks[1].key == "job/domain/1/job" && save.checks[1].version == 7));
    Failure failure;
    long long version = 0;
    const auto conflict = [](const char *key) { return CommitResult { CommitStatus::Conflict, {}, { { key, {}, 9 } } }; };
    trompeloeil::sequence order;
    REQUIRE_CALL(table, commit(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .IN_SEQUENCE(order)
        .RETURN(conflict("job/domain/1/job"));
    REQUIRE_CALL(table, commit(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .IN_SEQUENCE(order)
        .RETURN(conflict("shard/domain/1"));
    CHECK(store.save(save, clock.now(), version, failure) == SaveStatus::JobChanged);
    CHECK(store.save(save, clock.now(), version, failure) == SaveStatus::ShardChanged);
}

TEST_CASE("a job that can never run is refused with the nearest fit", "[jobs]")
{
    // Guards against accepting jobs that would wait for ever, and against refusing jobs that only have to wait.
    const std::vector<WorkerCapacity> workers { { WorkerId("small"), ServiceId("s"), { 4000, 1000, 0, 8, 64 } },
                                                { WorkerId("large"), ServiceId("s"), { 8000, 1000, 2, 8, 64 } },
                                                { WorkerId("other"), ServiceId("t"), { 64'000, 9000, 8, 8, 64 } } };
    Failure failure;
    auto job = declare(JobKind::Batch, 1000);
    CHECK(canEverFit(job, workers, failure));
    job.need.accelerators = 4;
    CHECK_FALSE(canEverFit(job, workers, failure));
    CHECK(failure.reason == FailureReason::NeverFits);
    CHECK(failure.message.find("the nearest fit is worker large") != std::string::npos);
    CHECK(failure.message.find("which lacks 2 accelerators") != std::string::npos);
    job = declare(JobKind::Gang, 12);
    CHECK(canEverFit(job, workers, failure));
    job.taskCount = 13;
    CHECK_FALSE(canEverFit(job, workers, failure));
    CHECK(failure.message.find("the nearest fit is a gang of 12") != std::string::npos);
    job.service = ServiceId("none");
    CHECK_FALSE(canEverFit(job, workers, failure));
    CHECK(failure.reason == FailureReason::UnknownName);
    job.taskCount = 0;
    CHECK_FALSE(canEverFit(job, workers, failure));
    CHECK(failure.reason == FailureReason::OutOfRange);
}
