#include "dispatch/JobRecordCodec.h"
#include "dispatch/RosterRecordCodec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace auburndoor;

TEST_CASE("a job and its progress are the same after they are written and read")
{
    JobState job;
    job.spec.id = "00000000000000aa";
    job.spec.queue = "q";
    job.spec.payload = "payload";
    StepSpec step;
    step.taskCount = 2;
    step.need = { 500, 64, 1, 0, 0 };
    step.savesProgress = true;
    step.maxUnavailable = 1;
    job.spec.steps = { step };
    job.queue.service = "desk";
    job.queue.maxAttempts = 3;
    job.addOccurrence(0, TimePoint());
    job.stage = JobStage::Running;
    job.occurrences.at(0).steps[0].tasks[0].isDone = true;
    job.occurrences.at(0).steps[0].tasks[1].failedAttempts = { 1, 1001 };
    job.occurrences.at(0).steps[0].tasks[1].checkpoint = "saved";
    JobState read;
    REQUIRE(JobRecordCodec::readDescription(JobRecordCodec::description(job), read));
    REQUIRE(JobRecordCodec::readProgress(JobRecordCodec::progress(job), read, TimePoint()));
    CHECK(read.spec.payload == "payload");
    CHECK(read.spec.steps.at(0).need == step.need);
    CHECK(read.spec.steps.at(0).maxUnavailable == 1);
    CHECK(read.queue.maxAttempts == 3);
    const auto &restored = read.occurrences.at(0).steps.at(0);
    CHECK(restored.doneCount == 1);
    CHECK(restored.tasks.at(1).failedAttempts == std::set<std::int64_t> { 1, 1001 });
    CHECK(restored.tasks.at(1).checkpoint == "saved");
}

namespace {

JobState makeSuspectedJob()
{
    JobState job;
    job.spec.steps = { StepSpec() };
    job.spec.steps[0].taskCount = 2;
    job.addOccurrence(0, TimePoint());
    job.stage = JobStage::Running;
    auto &task = job.occurrences.at(0).steps[0].tasks[0];
    task.lastAttempt = 3;
    task.crashes.record({ "w1", 1700000000001, 1, false, true });
    task.crashes.record({ "w2", 1700000000002, 2, true, true });
    task.hostedRuns = { { "w3", 1700000000003, 3, true, false } };
    return job;
}

JobState readProgress(const std::string &text)
{
    JobState job;
    job.spec.steps = { StepSpec() };
    job.spec.steps[0].taskCount = 2;
    REQUIRE(JobRecordCodec::readProgress(text, job, TimePoint()));
    return job;
}

} // namespace

// Guards against crashes that the next owner does not know of.
TEST_CASE("the crashes under a task and its last run are the same after they are written and read")
{
    const auto job = makeSuspectedJob();
    const auto read = readProgress(JobRecordCodec::progress(job));
    const auto &written = job.occurrences.at(0).steps[0].tasks[0];
    const auto &task = read.occurrences.at(0).steps[0].tasks[0];
    CHECK(task.crashes.crashes() == written.crashes.crashes());
    CHECK(task.hostedRuns == written.hostedRuns);
    CHECK(task.checkpoint.empty());
    CHECK(read.occurrences.at(0).steps[0].tasks[1].crashes.suspicion() == Suspicion::None);
}

// Guards against a cell of two versions, or one that goes back to the older one, that loses what it has accepted.
TEST_CASE("progress rows are readable across versions")
{
    // As the older version writes them, with and without a checkpoint.
    const auto older = readProgress(
        R"({"stage":"running","begun":true,"next":1,"finished":[],"occurrences":{"0":[[[0,2,[1]],[0,4,[],"saved"]]]}})");
    const auto &tasks = older.occurrences.at(0).steps[0].tasks;
    CHECK(tasks[0].failedAttempts == std::set<std::int64_t> { 1 });
    CHECK(tasks[0].crashes.suspicion() == Suspicion::None);
    CHECK(tasks[1].checkpoint == "saved");
    // The older version reads the first three elements of a task, and the fourth as a text if there is one.
    const auto row = nlohmann::json::parse(JobRecordCodec::progress(makeSuspectedJob()))["occurrences"]["0"][0][0];
    REQUIRE(row.size() >= 4);
    CHECK(row[0].is_number());
    CHECK(row[1].is_number());
    CHECK(row[2].is_array());
    CHECK(row[3].is_string());
    // A task without crashes is written as before.
    CHECK(nlohmann::json::parse(JobRecordCodec::progress(makeSuspectedJob()))["occurrences"]["0"][0][1].size() == 3);
}

TEST_CASE("crashes that cannot be read are left out of a task's progress")
{
    const auto read = readProgress(
        R"({"stage":"running","occurrences":{"0":[[[0,2,[],"",[["w1",1,1,0,0],["w2"],7,["w3","x",1,0,0]],{"a":1}]]]}})");
    const auto &task = read.occurrences.at(0).steps[0].tasks[0];
    CHECK(task.crashes.crashes().size() == 1);
    CHECK(task.hostedRuns.empty());
}

// Guards against a crash on a malformed row that another program wrote.
TEST_CASE("unreadable records are rejected")
{
    const auto text = GENERATE(as<std::string>(),
                               "",
                               "x",
                               "[]",
                               "{}",
                               R"({"stage":7})",
                               R"({"steps":7})",
                               R"({"steps":[{"tasks":"2"}],"queue":"q","payload":"p","service":"s"})",
                               R"({"address":7})",
                               R"({"address":"a:1","service":7,"born":"x"})");
    JobState job;
    CHECK_FALSE(JobRecordCodec::readDescription(text, job));
    CHECK_FALSE(JobRecordCodec::readProgress(text, job, TimePoint()));
    CHECK_FALSE(JobRecordCodec::stageOf(text));
    CHECK_FALSE(RosterRecordCodec::read("w", text));
}
