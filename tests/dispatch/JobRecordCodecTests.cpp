#include "dispatch/JobRecordCodec.h"

#include <catch2/catch.hpp>

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
    std::chrono::milliseconds endedAt { 0 };
    CHECK_FALSE(JobRecordCodec::readDescription(text, job));
    CHECK_FALSE(JobRecordCodec::readProgress(text, job, TimePoint()));
    CHECK_FALSE(JobRecordCodec::stageOf(text, endedAt));
    CHECK_FALSE(JobRecordCodec::readRosterEntry("w", text));
}
