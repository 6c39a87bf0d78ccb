#include "dispatch/JobManager.h"
#include "dispatch/JobRecordCodec.h"
#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace auburndoor;

namespace {

constexpr const char *wideJob = "00000000000000aa";
constexpr int tasksPerStep = 600;
/** Less than one record of all tasks of the job takes, and more than one part of it. */
constexpr std::size_t maxRowBytes = 8192;

std::string wideBody()
{
    const std::string step = R"({"count":600,"cpu":100,"memMb":1,"estimateMs":400)";
    return R"({"spec":"payload","taskGroups":[)" + step + "}," + step + R"(,"dependsOn":[0]}]})";
}

struct WideJobFixture : OwnerFixture
{
    WideJobFixture()
    {
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(400), RunOutcome::Done }; };
        store.setMaxRowBytes(maxRowBytes);
        addWorker("w1", 10);
        addWorker("w2", 10);
        takeOver();
    }

    /** The highest number of starts of one task. */
    int mostStarts() const
    {
        std::map<TaskName, int> counts;
        int most = 0;
        for (const auto &start : starts) {
            most = std::max(most, ++counts[start.task]);
        }
        return most;
    }
};

} // namespace

// Guards against a record of progress that outgrows a row of the store: nothing of any job was stored any more.
TEST_CASE("a wide job and the jobs beside it are completed after takeovers")
{
    const int takeovers = GENERATE(0, 1, 12);
    CAPTURE(takeovers);
    WideJobFixture cell;
    REQUIRE(cell.submit(wideJob, wideBody()) == ClientResult::Outcome::Accepted);
    for (int number = 0; number < takeovers; ++number) {
        cell.timers.advance(Milliseconds(150 + 37 * number));
        cell.takeOver();
    }
    REQUIRE(cell.submit(jobIdOf(1), jobBody(1, 100), "urgent") == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil(jobIdOf(1), JobStage::Completed, Milliseconds(2000)));
    CHECK(cell.runUntil(wideJob, JobStage::Completed, Milliseconds(20000)));
    CHECK(cell.violations().empty());
    CHECK(cell.mostStarts() == 1);
    CHECK(cell.store.rejectedCount() == 0);
    cell.timers.advance(Milliseconds(500));
    CHECK(cell.store.keys(JobTables::parts).empty());
    CHECK(cell.store.row(JobTables::jobs, wideJob) == nullptr);
}

// Guards against ends that are acknowledged before what stands for them is stored: the part is removed with the job.
TEST_CASE("a wide job ends once, whenever its owner is replaced around its end")
{
    const int delay = GENERATE(range(0, 16));
    CAPTURE(delay);
    WideJobFixture cell;
    REQUIRE(cell.submit(wideJob, R"({"spec":"p","taskGroups":[{"count":201,"cpu":50,"memMb":1,"estimateMs":400}]})")
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(400 + 10 * delay));
    cell.takeOver();
    CHECK(cell.runUntil(wideJob, JobStage::Completed, Milliseconds(4000)));
    CHECK(cell.mostStarts() == 1);
    CHECK(cell.violations().empty());
    cell.takeOver();
    CHECK(cell.stage(wideJob) == JobStage::Completed);
    CHECK(cell.store.keys(JobTables::parts).empty());
}

TEST_CASE("the parts of a wide job are removed when it is cancelled")
{
    WideJobFixture cell;
    REQUIRE(cell.submit(wideJob, wideBody()) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(1000));
    REQUIRE_FALSE(cell.store.keys(JobTables::parts).empty());
    const bool isReplaced = GENERATE(false, true);
    CHECK(cell.cancel(wideJob) == ClientResult::Outcome::Cancelled);
    if (isReplaced) {
        cell.takeOver();
    }
    cell.timers.advance(Milliseconds(500));
    CHECK(cell.store.keys(JobTables::parts).empty());
    CHECK(cell.stage(wideJob) == JobStage::Cancelled);
}

// Guards against the loss of what an earlier release has stored: its one row of all tasks is replaced once all parts are stored.
TEST_CASE("a wide job that an earlier release has recorded in one row goes on")
{
    const int killedAfter = GENERATE(0, 15, 60, 2000);
    CAPTURE(killedAfter);
    WideJobFixture cell;
    REQUIRE(cell.submit(wideJob, wideBody()) == ClientResult::Outcome::Accepted);
    cell.killOwner();
    constexpr int doneBefore = 500;
    auto tasks = nlohmann::json::array();
    for (int task = 0; task < tasksPerStep; ++task) {
        tasks.push_back({ task < doneBefore ? 1 : 0, 2, nlohmann::json::array() });
    }
    const nlohmann::json row { { "stage", "running" },
                               { "begun", true },
                               { "next", 1 },
                               { "finished", nlohmann::json::array() },
                               { "occurrences", { { "0", { tasks, nlohmann::json::array() } } } } };
    for (auto &[id, worker] : cell.fleet.workers()) {
        worker->restart();
        cell.list(id);
    }
    cell.starts.clear();
    for (const auto &key : cell.store.keys(JobTables::parts)) {
        cell.store.remove(JobTables::parts, key);
    }
    cell.store.setMaxRowBytes(SIZE_MAX);
    cell.store.write(JobTables::progress, wideJob, row.dump());
    cell.store.setMaxRowBytes(maxRowBytes);
    cell.takeOver();
    cell.timers.advance(Milliseconds(killedAfter));
    cell.takeOver();
    CHECK(cell.runUntil(wideJob, JobStage::Completed, Milliseconds(20000)));
    const auto isDoneBefore = [](const StartCommand &start) { return start.task.step == 0 && start.task.index < doneBefore; };
    CHECK(std::none_of(cell.starts.begin(), cell.starts.end(), isDoneBefore));
    CHECK(cell.violations().empty());
    CHECK(cell.store.rejectedCount() == 0);
}

// Guards against a job that is accepted although the store never takes its description.
TEST_CASE("a job whose description does not fit into a row is refused at once")
{
    OwnerFixture cell;
    cell.addWorker("w1", 4);
    cell.takeOver();
    std::string body = R"({"spec":"payload","taskGroups":[{"count":1,"cpu":100,"memMb":1})";
    for (int step = 1; step < 200; ++step) {
        body += R"(,{"count":1,"cpu":100,"memMb":1,"dependsOn":[0)";
        for (int earlier = 1; earlier < step; ++earlier) {
            body += "," + std::to_string(earlier);
        }
        body += "]}";
    }
    body += "]}";
    const auto before = cell.timers.now();
    CHECK(cell.submit(wideJob, body) == ClientResult::Outcome::Malformed);
    CHECK(cell.timers.now() == before);
    CHECK(cell.submit(jobIdOf(1), jobBody(1, 100)) == ClientResult::Outcome::Accepted);
    cell.takeOver();
    CHECK_FALSE(cell.stage(wideJob));
}

// Guards against a row that grows with the checkpoints of a step, whose length is up to the tasks.
TEST_CASE("a record that is too large leaves out checkpoints, and never what is done or has failed")
{
    StepState step;
    step.tasks.resize(JobPart::maxTasks);
    for (auto &task : step.tasks) {
        task.failedAttempts = { 1'000'001, 1'000'002, 1'000'003 };
        task.lastAttempt = 1'000'004;
        task.checkpoint = std::string(400, 'c');
    }
    step.tasks.front().isDone = true;
    step.tasks.back().checkpoint = "short";
    CHECK(JobRecordCodec::part(step, 0).size() > 65536);
    for (const auto detail : { RecordDetail::ShortCheckpoints, RecordDetail::Essential }) {
        const auto text = JobRecordCodec::part(step, 0, detail);
        CHECK(text.size() < 65536);
        StepState read;
        read.tasks.resize(JobPart::maxTasks);
        REQUIRE(JobRecordCodec::readPart(text, 0, read));
        CHECK(read.doneCount == 1);
        CHECK(read.tasks.back().failedAttempts == step.tasks.back().failedAttempts);
        CHECK(read.tasks.back().lastAttempt == 1'000'004);
        CHECK(read.tasks.back().checkpoint == (detail == RecordDetail::Essential ? "" : "short"));
        CHECK(read.tasks[1].checkpoint.empty());
    }
}

TEST_CASE("the key of a part is read back, and other keys are rejected")
{
    const JobPart part { 3, 1, 400 };
    CHECK(JobPart::of({ "", 3, 1, 599 }) == part);
    const auto read = JobPart::readKey(part.key(wideJob));
    REQUIRE(read);
    CHECK(read->first == wideJob);
    CHECK(read->second == part);
    const auto malformed = GENERATE(
        as<std::string>(), "", "aa", "aa.1.2", "aa.1.2.3", "aa.1.2.200.4", "aa.-1.2.200", "aa.1.2.99999999999");
    CHECK_FALSE(JobPart::readKey(malformed));
}

// Guards against a row that grows with the occurrences of a job, and against a process whose memory they use up.
TEST_CASE("the record of a job of many occurrences stays small, and so does the number of those that wait")
{
    JobState job;
    job.spec.steps = { StepSpec() };
    job.spec.isScheduled = true;
    job.spec.occurrences = 10000;
    while (job.hasRoomForOccurrence()) {
        job.addNextOccurrence(TimePoint());
    }
    CHECK(job.occurrences.size() == 1000);
    for (int number = 0; number < job.spec.occurrences; ++number) {
        if (number % 10 != 0) {
            job.doneOccurrences.insert(number);
        }
    }
    job.stage = JobStage::Running;
    const auto text = JobRecordCodec::progress(job);
    CHECK(text.size() < 16384);
    JobState read;
    read.spec = job.spec;
    REQUIRE(JobRecordCodec::readProgress(text, read, TimePoint()));
    CHECK(read.doneOccurrences == job.doneOccurrences);
    read.addMissingOccurrences(TimePoint());
    CHECK(read.occurrences.size() == 100);
}
