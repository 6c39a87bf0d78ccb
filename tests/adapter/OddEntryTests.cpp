#include "DirectoryCodec.h"
#include "JobCodec.h"
#include "NodeFile.h"
#include "WireJson.h"
#include "WorkerReportCodec.h"
#include "core/BoundedJson.h"
#include "dispatch/JobRecordCodec.h"
#include "dispatch/RosterRecordCodec.h"
#include "entry/PeerCodec.h"
#include "entry/WorkerRelayCodec.h"
#include "entry/WorkerRelayMessages.h"
#include "fakes/OddValues.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr std::chrono::hours maxDuration { 24 * 366 };

constexpr const char *workerEntry = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining","remainingMs":5,
    "capacity":{"cpu":1,"memMb":1,"gpu":0},"labels":["a","r"],"born":1})";

} // namespace

// Guards against an odd entry of another writer that ends the process, or whose figures later sums do not bear.
TEST_CASE("an odd entry of a worker is no worker or one with usable figures")
{
    REQUIRE(platform::readWorkerEntry({ "servers", "w", workerEntry, 1 }));
    int workers = 0;
    for (const auto &text : withOddValues(workerEntry)) {
        const auto worker = platform::readWorkerEntry({ "servers", "w", text, 1 });
        if (!worker) {
            continue;
        }
        ++workers;
        INFO(text);
        CHECK(worker->address.hasPort());
        CHECK(worker->capacity.isValid());
        CHECK((worker->capacity * 5000).milliCores >= 0);
        CHECK(worker->remaining.value_or(Milliseconds(0)) >= Milliseconds(0));
        CHECK(worker->remaining.value_or(Milliseconds(0)) <= maxDuration);
    }
    CHECK(workers > 0);
}

TEST_CASE("odd rows of the desired state and odd submissions are refused or have usable figures")
{
    const std::string state = R"({"version":3,"routes":[{"name":"q","host":"h","pathPrefix":"/a/","service":"s","priority":1,
        "maxAttempts":2,"slackFactor":2,"targetLatencyMs":100,"advisor":{"decisionMs":3,"periodMs":1,"validityMs":9}}],
        "services":[{"name":"s"}],"limits":{"maxBodyBytes":9}})";
    for (const auto &text : withOddValues(state)) {
        INFO(text.substr(0, 400));
        const auto desired = platform::readDesiredState(text);
        for (const auto &queue : desired ? desired->queues : std::vector<QueueSpec>()) {
            CHECK(queue.latencyAllowance <= maxDuration);
            CHECK(queue.slackFactor <= 1e6);
        }
    }
    const std::string job = R"({"spec":"t","repeatCount":3,"startAtMs":10,"intervalMs":50,"taskGroups":[{"count":4,"cpu":500,
        "memMb":256,"gpu":1,"estimateMs":900,"targetMs":5,"antiAffinity":1,"maxUnavailable":1},{"count":2,"dependsOn":[0]}]})";
    for (const auto &text : withOddValues(job)) {
        INFO(text.substr(0, 400));
        std::string error;
        const auto spec = platform::readJob(text, error);
        for (const auto &step : spec ? spec->steps : std::vector<StepSpec>()) {
            CHECK(step.estimate <= maxDuration);
            CHECK((step.need * step.taskCount).isValid());
            CHECK(step.taskCount <= 5000);
        }
    }
}

TEST_CASE("odd settings are refused, or name ports that exist")
{
    const std::string settings = R"({"nodeName":"n","zone":"z","ip":"10.0.0.1","listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
        "portRange":[7380,7395],"limits":{"cpuShare":1,"linkMbps":5},"advisor":"10.0.0.1:4","bounds":{"maxHoldMs":10000,"graceS":6,
        "status_s":120,"early_ms":250},"platform":{"address":"10.0.0.1:3","maxRowBytes":65536}})";
    std::string error;
    REQUIRE(platform::readNodeFile(settings, error));
    for (const auto &text : withOddValues(settings)) {
        INFO(text.substr(0, 400));
        if (const auto read = platform::readNodeFile(text, error)) {
            CHECK(read->peers.hasPort());
            CHECK(read->operators.hasPort());
            CHECK(read->maxLease <= maxDuration);
            CHECK(read->statusRetention <= maxDuration);
        }
    }
}

TEST_CASE("odd reports of workers have usable figures")
{
    const std::string report = R"({"born":7,"clockMs":5,"running":[["00000000000000aa.0.0.1",1,"c",40,7]],
        "finished":[[1,"00000000000000aa.0.0.5",1,"done","c"]]})";
    for (const auto &text : withOddValues(report)) {
        INFO(text.substr(0, 400));
        const auto root = platform::parseObject(text);
        const auto read = root ? platform::readTaskReport(*root) : TaskReport();
        for (const auto &running : read.running) {
            CHECK(running.percent >= 0);
            CHECK(running.percent <= 100);
            CHECK(std::abs(running.attempt) <= std::int64_t(1) << 53);
        }
    }
}

TEST_CASE("odd rows of the cell's own tables are unreadable or have usable figures")
{
    const std::string description = R"({"queue":"q","service":"s","priority":1,"attempts":2,"slack":2,"allowance":5,"accepted":9,
        "payload":"p","occurrences":3,"first":1,"interval":2,"steps":[{"tasks":2,"cores":5,"estimate":7},{"tasks":1,"after":[0]}]})";
    const std::string progress = R"({"stage":"running","begun":true,"next":2,"finished":[0,[1,1]],"services":["s"],
        "occurrences":{"2":[[[1,2,[1],"c",[["w",1,1,0,0]],[]],[0,3,[]]],[[0,0,[]]]]}})";
    JobState valid;
    REQUIRE(JobRecordCodec::readDescription(description, valid));
    REQUIRE(JobRecordCodec::readProgress(progress, valid, TimePoint()));
    for (const auto &text : withOddValues(description)) {
        INFO(text.substr(0, 400));
        JobState job;
        if (JobRecordCodec::readDescription(text, job)) {
            CHECK(job.spec.taskCount() <= 1'000'000);
            CHECK(job.criticalPathTime() <= maxDuration * 2);
            job.addOccurrence(0, TimePoint());
            CHECK(job.dueAt(0, TimePoint(), Milliseconds(0)) <= TimePoint() + maxDuration);
        }
    }
    for (const auto &text : withOddValues(progress)) {
        INFO(text.substr(0, 400));
        JobState job;
        REQUIRE(JobRecordCodec::readDescription(description, job));
        JobRecordCodec::readProgress(text, job, TimePoint());
        CHECK(job.occurrences.size() <= 3);
    }
    for (const auto &text : withOddValues(R"({"tasks":[[1,2,[1],"c",[["w",1,1,0,0]],[]],[0,3,[]]]})")) {
        StepState step;
        step.tasks.resize(2);
        JobRecordCodec::readPart(text, 0, step);
        CHECK(step.doneCount <= 2);
    }
    for (const auto &text : withOddValues(R"({"service":"s","address":"10.0.0.1:80","born":5,"earlier":["t"]})")) {
        const auto entry = RosterRecordCodec::read("w", text);
        CHECK((!entry || entry->address.hasPort()));
    }
}

TEST_CASE("odd messages of other entry processes are refused or have usable figures")
{
    OwnerHeartbeat heartbeat;
    heartbeat.owner = "n";
    heartbeat.members = { { "10.0.0.1", 80 } };
    for (const auto &text : withOddValues(PeerCodec::heartbeatReply(heartbeat).body)) {
        const auto read = PeerCodec::readHeartbeat({ 200, text, {} });
        CHECK((!read || read->nextDelay <= maxDuration));
        CHECK((!read || read->members.empty() || read->members.front().hasPort()));
    }
    for (const auto &text : withOddValues(PeerCodec::callReply({}).body)) {
        const auto read = PeerCodec::readCallReply({ 200, text, {} });
        CHECK((!read || read->retryAfter <= maxDuration));
    }
    AdviceResult advice;
    advice.permits = { { "w1", "t" } };
    for (const auto &text : withOddValues(PeerCodec::adviceReply(advice).body)) {
        const auto read = PeerCodec::readAdviceReply({ 200, text, {} });
        CHECK((!read || read->validity <= maxDuration));
    }
    RelayBatch batch;
    WorkerEntry worker;
    worker.id = "w1";
    batch.workers = { worker };
    std::string error;
    CHECK_FALSE(WorkerRelayCodec::decodeBatch(WorkerRelayCodec::encodeBatch(batch), error));
    // 0x91 begins an array of one element in MessagePack.
    CHECK_FALSE(WorkerRelayCodec::decodeBatch(std::string(100'000, '\x91'), error));
    CHECK_FALSE(WorkerRelayCodec::decodeReplies(std::string(100'000, '\x91') + '\x01', error));
}

TEST_CASE("a text that is nested more deeply than any message is discarded")
{
    CHECK(parseBoundedJson(R"({"a":[{"b":[1]}]})").is_object());
    CHECK(parseBoundedJson(deepArray()).is_discarded());
    CHECK(parseBoundedJson("[1").is_discarded());
    CHECK(parseBoundedJson("1e999").is_discarded());
}

// Guards against a message of legal size whose values take many times its memory.
TEST_CASE("a text of more values than allowed is discarded")
{
    CHECK(parseBoundedJson(R"({"a":[1,null]})", 5).is_object());
    CHECK(parseBoundedJson(R"({"a":[1,null]})", 4).is_discarded());
    std::string error;
    std::string manyValues = R"({"taskGroups":[{"count":1}],"x":[0)";
    for (int number = 0; number < 70'000; ++number) {
        manyValues += ",0";
    }
    CHECK_FALSE(platform::readJob(manyValues + "]}", error));
    CHECK(error.find("65536 values") != std::string::npos);
}

// Guards against limits that would leave a process without connections.
TEST_CASE("limits of the machine that are out of range are refused")
{
    const auto makeText = [](const std::string &limits) {
        return R"({"nodeName":"n","zone":"z","ip":"10.0.0.1","listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
            "portRange":[7380,7395],"platform":{"address":"10.0.0.1:3"},"limits":)"
               + limits + "}";
    };
    std::string error;
    const auto read = platform::readNodeFile(makeText(R"({"memoryMb":160,"maxFds":1024})"), error);
    REQUIRE(read);
    CHECK(read->memoryMiB == 160);
    CHECK(read->maxDescriptors == 1024);
    CHECK(platform::readNodeFile(makeText("{}"), error)->memoryMiB == 120);
    CHECK(platform::readNodeFile(makeText(R"({"memoryMb":0})"), error)->memoryMiB == 120);
    CHECK_FALSE(platform::readNodeFile(makeText(R"({"memoryMb":15})"), error));
    CHECK(error.find("limits.memoryMb") != std::string::npos);
    CHECK_FALSE(platform::readNodeFile(makeText(R"({"maxFds":200})"), error));
    CHECK_FALSE(platform::readNodeFile(makeText(R"({"maxFds":"x"})"), error));
}
