#include "DirectoryCodec.h"
#include "JobCodec.h"
#include "NodeFile.h"
#include "PlatformProtocol.h"
#include "WorkerReportCodec.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
#include <random>

using namespace auburndoor;

namespace {

DesiredState makeTwoQueues()
{
    DesiredState desiredState;
    desiredState.version = 1;
    desiredState.queues.push_back({ .name = "outer", .host = "host.example", .pathPrefix = "/a/", .service = "s" });
    desiredState.queues.push_back({ .name = "inner", .host = "host.example", .pathPrefix = "/a/b/", .service = "s" });
    return desiredState;
}

ClientCall routeCall(const std::string &method, const std::string &target, std::optional<ClientResult> &result)
{
    WebRequest request { method, target, { { "host", "host.example:80" }, { "deadline-ms", "1200" } }, "{}" };
    return platform::PlatformProtocol().readCall(request, makeTwoQueues(), result);
}

} // namespace

TEST_CASE("a submitted job is read with all members of its steps")
{
    std::string error;
    const auto job = platform::readJob(R"({"spec":"text","repeatCount":3,"startAtMs":1000,"intervalMs":50,"taskGroups":[
        {"count":4,"cpu":500,"memMb":256,"gpu":2,"estimateMs":900,"affinity":"r1","gang":true},
        {"count":2,"cpu":100,"dependsOn":[0],"checkpoints":true,"longRunning":true,"maxUnavailable":1,"targetMs":80,"antiAffinity":2,
         "speculative":true,"constraints":"b","colocate":true,"fillCount":1,"image":"i"}]})",
                                       error);
    REQUIRE(job);
    CHECK(job->payload == "text");
    CHECK(job->occurrences == 3);
    CHECK(job->isScheduled);
    REQUIRE(job->steps.size() == 2);
    CHECK(job->steps[0].need == Resources { 500, 256, 2, 0, 0 });
    CHECK(job->steps[0].isGang);
    CHECK(job->steps[0].dataRack == "r1");
    CHECK(job->steps[0].maxUnavailable == -1);
    const auto &second = job->steps[1];
    CHECK(second.dependsOn == std::vector<int> { 0 });
    CHECK((second.savesProgress && second.isService && second.allowsCopies && second.prefersOneRack && second.fillsIdleCapacity));
    CHECK(second.maxTasksPerWorker == 2);
    CHECK(second.requiredLabel == "b");
    CHECK(second.maxUnavailable == 1);
    CHECK(second.latencyTarget == Milliseconds(80));
}

// Guards against crashes and partly read jobs: input that no client should send is rejected as a whole.
TEST_CASE("a malformed job is rejected with a reason")
{
    const auto body = GENERATE(as<std::string>(),
                               "",
                               "[]",
                               "{",
                               R"({"spec":"x"})",
                               R"({"spec":"x","taskGroups":[]})",
                               R"({"spec":"x","taskGroups":[{"count":0}]})",
                               R"({"spec":"x","taskGroups":[{"cpu":1}]})",
                               R"({"spec":"x","taskGroups":[{"count":1,"cpu":-1}]})",
                               R"({"spec":"x","taskGroups":[{"count":1,"dependsOn":[0]}]})",
                               R"({"spec":"x","taskGroups":[{"count":1},{"count":1,"dependsOn":[1]}]})",
                               R"({"spec":"x","taskGroups":[{"count":1,"dependsOn":["0"]}]})",
                               R"({"spec":"x","taskGroups":[{"count":1e300}]})",
                               R"({"spec":7,"taskGroups":[{"count":1}]})",
                               R"({"spec":"x","repeatCount":-1,"taskGroups":[{"count":1}]})");
    std::string error;
    CHECK_FALSE(platform::readJob(body, error));
    CHECK_FALSE(error.empty());
}

TEST_CASE("a payload over its limit is rejected")
{
    std::string error;
    CHECK(platform::readJob(R"({"spec":")" + std::string(4000, 'x') + R"(","taskGroups":[{"count":1}]})", error));
    CHECK_FALSE(platform::readJob(R"({"spec":")" + std::string(4001, 'x') + R"(","taskGroups":[{"count":1}]})", error));
}

TEST_CASE("task names are written and read back")
{
    const TaskName task { "5c0e7a21d94b36f8", 3, 1, 17 };
    CHECK(platform::taskText(task) == "5c0e7a21d94b36f8.3.1.17");
    CHECK(platform::readTaskText("5c0e7a21d94b36f8.3.1.17") == task);
    for (const char *text : { "", "a", "a.1.2", "a.1.2.3.4", "a.1.2.x", "a.-1.2.3", "a.1.2." }) {
        CHECK_FALSE(platform::readTaskText(text));
    }
}

// Guards against rows of other writers that are mistaken for workers.
TEST_CASE("an unusable worker registration is ignored")
{
    const std::string validText
        = R"({"service":"s","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":1,"memMb":2,"gpu":3},)"
          R"("labels":["a","r1"],"born":5})";
    const auto worker = platform::readWorkerEntry({ "servers", "i-1", validText, 1 });
    REQUIRE(worker);
    CHECK(worker->capacity == Resources { 1, 2, 3, 0, 0 });
    CHECK(worker->rack() == "r1");
    CHECK(worker->incarnation == 5);
    const auto invalidText = GENERATE(as<std::string>(),
                                      "",
                                      "no json",
                                      "[1]",
                                      R"({"service":"s"})",
                                      R"({"service":7,"address":"10.0.0.1:80","state":"ready","capacity":{}})",
                                      R"({"service":"s","address":"nowhere","state":"ready","capacity":{}})",
                                      R"({"service":"s","address":"10.0.0.1:80","state":"gone","capacity":{}})",
                                      R"({"service":"s","address":"10.0.0.1:80","state":"ready","capacity":[]})",
                                      R"({"service":"s","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":"1"}})",
                                      R"({"service":"s","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":-1}})",
                                      R"({"service":"s","address":"10.0.0.1:80","state":"ready","capacity":{},"labels":[1]})");
    CHECK_FALSE(platform::readWorkerEntry({ "servers", "i-1", invalidText, 1 }));
}

TEST_CASE("a desired state is read, and an unreadable one is rejected")
{
    const auto desiredState = platform::readDesiredState(
        R"({"version":7,"routes":[{"name":"q","host":"h","pathPrefix":"/p/","service":"s","priority":2,"maxAttempts":3,)"
        R"("slackFactor":4.0,"targetLatencyMs":3000,"advisor":{"decisionMs":150.0,"periodMs":2.2,"validityMs":2000}},{"name":7}],)"
        R"("services":[{"name":"s","enforceCapacity":false,"standby":true}],"limits":{"maxBodyBytes":1000,"headerTimeoutMs":2000,"idleTimeoutMs":0}})");
    REQUIRE(desiredState);
    CHECK(desiredState->version == 7);
    REQUIRE(desiredState->queues.size() == 1);
    CHECK(desiredState->queues[0].advice->permitValidity == Milliseconds(2000));
    CHECK(desiredState->services.at(0).isStandby);
    CHECK(desiredState->maxBodyBytes == 1000);
    CHECK(desiredState->headerTimeout == Milliseconds(2000));
    CHECK(desiredState->idleTimeout == Milliseconds(15000));
    CHECK_FALSE(platform::readDesiredState("{}"));
    CHECK_FALSE(platform::readDesiredState("x"));
}

TEST_CASE("a request is routed by host and longest prefix")
{
    std::optional<ClientResult> result;
    const auto call = routeCall("POST", "/a/b/5c0e7a21d94b36f8", result);
    CHECK_FALSE(result);
    CHECK(call.kind == ClientCall::Kind::Submit);
    CHECK(call.queue == "inner");
    CHECK(call.job == "5c0e7a21d94b36f8");
    CHECK(call.timeout == Milliseconds(1200));
    CHECK(routeCall("GET", "/a/", result).kind == ClientCall::Kind::CountPending);
    CHECK(routeCall("DELETE", "/a/5c0e7a21d94b36f8", result).kind == ClientCall::Kind::Cancel);
    routeCall("GET", "/c/5c0e7a21d94b36f8", result);
    CHECK(result->outcome == ClientResult::Outcome::NoSuchQueue);
    result.reset();
    routeCall("POST", "/a/not-an-id", result);
    CHECK(result->outcome == ClientResult::Outcome::Malformed);
}

// Guards against an index that finds another queue than a comparison with all of them.
TEST_CASE("an index of the queues changes no decision")
{
    std::mt19937 random(1);
    const auto letter = [&random] { return std::string(1, static_cast<char>('a' + random() % 5)); };
    DesiredState state;
    for (int i = 0; i < 60; ++i) {
        QueueSpec queue;
        queue.name = letter() + letter();
        queue.host = letter();
        queue.pathPrefix = "/" + letter() + "/" + (random() % 2 == 0 ? letter() + "/" : std::string());
        queue.service = std::to_string(i);
        state.queues.push_back(queue);
    }
    auto indexed = state;
    indexed.indexQueues();
    const auto serviceOf = [](const QueueSpec *queue) { return queue == nullptr ? std::string("none") : queue->service; };
    for (int i = 0; i < 2000; ++i) {
        const auto host = letter();
        const auto path = "/" + letter() + "/" + letter() + "/x";
        CHECK(serviceOf(indexed.route(host, path)) == serviceOf(state.route(host, path)));
        const auto name = letter() + letter();
        CHECK(serviceOf(indexed.queue(name)) == serviceOf(state.queue(name)));
    }
}

TEST_CASE("a refusal tells the client when to retry")
{
    const ClientResult refused { .outcome = ClientResult::Outcome::Refused, .retryAfter = Milliseconds(1200) };
    const auto reply = platform::PlatformProtocol().writeResult({}, refused);
    CHECK(reply.status == 503);
    CHECK(reply.body.find("\"retryAfterMs\":1200") != std::string::npos);
    CHECK(reply.headers.at(0) == HttpHeader { "Retry-After", "2" });
}

TEST_CASE("the settings file is read, and a missing member is reported")
{
    const std::string validText
        = R"({"nodeName":"n1","ip":"10.1.0.30","zone":"z","listen":{"front":"10.1.0.30:1","ready":"10.1.0.30:2"},)"
          R"("portRange":[7380,7395],"limits":{"cpuShare":0.25,"linkMbps":2.0},"bounds":{"maxHoldMs":6000,"killGraceMs":200,"graceS":1.5},)"
          R"("advisor":"10.2.0.9:8","platform":{"address":"10.2.0.7:8"},"cloud":{"address":"10.2.0.1:8"},"new":1})";
    std::string error;
    const auto settings = platform::readNodeFile(validText, error);
    REQUIRE(settings);
    CHECK(settings->peers == Address { "10.1.0.30", 7380 });
    CHECK(settings->linkMbps == 2.0);
    CHECK(settings->maxLease == Milliseconds(6000));
    CHECK(settings->killGrace == Milliseconds(200));
    CHECK(settings->shutdownGrace == Milliseconds(1500));
    CHECK(settings->advisor == Address { "10.2.0.9", 8 });
    for (const char *name : { "nodeName", "listen", "portRange", "platform" }) {
        auto incompleteText = validText;
        incompleteText.replace(incompleteText.find(name), 4, "gone");
        error.clear();
        CHECK_FALSE(platform::readNodeFile(incompleteText, error));
        CHECK_FALSE(error.empty());
    }
}

// Guards against a report that is taken for whole although the worker may have more ended runs than it lists.
TEST_CASE("a report with as many ended runs as a worker lists at a time is cut off")
{
    const int ends = GENERATE(0, 499, 500);
    CAPTURE(ends);
    nlohmann::json root { { "born", 7 }, { "running", nlohmann::json::array() }, { "finished", nlohmann::json::array() } };
    for (int number = 1; number <= ends; ++number) {
        root["finished"].push_back({ number, "00000000000000aa.0.0." + std::to_string(number), 1, "done", "" });
    }
    const auto report = platform::readTaskReport(root);
    CHECK(report.ended.size() == static_cast<std::size_t>(ends));
    CHECK(report.isCutOff == (ends == 500));
}

// Guards against an end that is never acknowledged since it cannot be read, and that keeps those behind it from being listed.
TEST_CASE("malformed rows of a report are no running tasks, and their ends can be acknowledged")
{
    const auto root = nlohmann::json::parse(R"({"born":7,
        "running":[["00000000000000aa.0.0.1",1,"",40],["x",1,"",40],["00000000000000aa.0.0.2",1e300,"",40],7,
                   ["00000000000000aa.0.0.3",2,"",1e300],["00000000000000aa.0.0.4",2,"",50,-1e300]],
        "finished":[[1,"00000000000000aa.0.0.5",1,"done",""],[2,"00000000000000aa.0.0.6",1,"vanished",""],[3],
                    [4,"00000000000000aa.0.0.99999999999",1,"done",""],[1e300,"00000000000000aa.0.0.7",1,"done",""],{"a":[]}]})");
    const auto report = platform::readTaskReport(root);
    REQUIRE(report.running.size() == 2);
    CHECK(report.running[0].task.index == 1);
    CHECK(report.running[1].task.index == 4);
    CHECK(report.running[1].latencyOrProcessorUse == -1);
    REQUIRE(report.ended.size() == 4);
    for (std::size_t index = 0; index < report.ended.size(); ++index) {
        CHECK(report.ended[index].number == static_cast<std::int64_t>(index) + 1);
        // The row with the unknown outcome names its task.
        CHECK(report.ended[index].task.job.empty() == (index > 1));
    }
    CHECK(report.ended[0].end == RunOutcome::Done);
    CHECK(report.ended[1].end == RunOutcome::Stopped);
}

// Guards against a run that is taken for absent, and started a second time, because its row or the list cannot be read.
TEST_CASE("a report that may leave out runs says what is malformed")
{
    const auto read = [](const char *text) { return platform::readTaskReport(nlohmann::json::parse(text)).omission; };
    CHECK(read(R"({"born":7,"running":[["00000000000000aa.0.0.1",1,"",40]],"finished":[]})").empty());
    CHECK(read(R"({"born":7,"running":[["00000000000000aa.0.0.1",1,"",40],["x",1,"",40]],"finished":[]})")
          == R"(malformed running task ["x",1,"",40])");
    CHECK_FALSE(read(R"({"born":7,"running":[["00000000000000aa.0.0.1",null,"",40]],"finished":[]})").empty());
    CHECK_FALSE(read(R"({"born":7,"running":[["00000000000000aa.0.0.1",1,"",null]],"finished":[]})").empty());
    CHECK_FALSE(read(R"({"born":7,"running":[["00000000000000aa.0.0.1",1,""]],"finished":[]})").empty());
    CHECK_FALSE(read(R"({"born":7,"running":[7],"finished":[]})").empty());
    CHECK(read(R"({"born":7,"running":{},"finished":[]})") == "no list of running tasks");
    CHECK(read(R"({"born":7,"finished":[]})") == "no list of running tasks");
    CHECK(read(R"({"born":7,"running":[],"finished":7})") == "no list of ended tasks");
    CHECK(read(R"({"born":7,"running":[]})") == "no list of ended tasks");
}
