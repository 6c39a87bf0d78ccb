#include "core/Failure.h"
#include "core/SystemClock.h"
#include "fakes/WorkerServer.h"
#include "http/HttpClient.h"
#include "observability/Metrics.h"
#include "worker/HttpWorkerConnection.h"
#include "worker/WorkerMessages.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <future>

using namespace auburndoor;

namespace {

constexpr Resources capacity { 4000, 4096, 2, 8, 64 };
constexpr Milliseconds longTimeout { 10'000 };

/** An HTTP server with a fake worker on this machine, and a connection to it. */
struct Fixture
{
    Fixture() : server(WorkerId("worker-1"), capacity, clock)
    {
        const auto port = server.start("127.0.0.1", 0);
        REQUIRE(port > 0);
        address = "127.0.0.1:" + std::to_string(port);
        connection = std::make_unique<HttpWorkerConnection>(WorkerId("worker-1"), address, clock, metrics);
    }

    TaskStart task(const std::string &id, const std::string &body = R"({"runMs": 0, "echo": "hello"})") const
    {
        return { TaskId(id),  1,   TeamId("red"), ServiceId("s"), { 1000, 512, 0, 1, 1 }, clock.wallNow() + longTimeout,
                 longTimeout, body };
    }

    TimePoint deadline() const
    {
        return clock.now() + longTimeout;
    }

    void setFaults(const std::string &json) const
    {
        HttpClient client(address, 1);
        Failure failure;
        Delivery delivery = Delivery::NotSent;
        const auto reply = client.exchange("PUT", "/v1/faults", json, {}, longTimeout, true, delivery, failure);
        REQUIRE(reply);
        REQUIRE(reply->status == 200);
    }

    SystemClock clock;
    Metrics metrics;
    WorkerServer server;
    std::string address;
    std::unique_ptr<HttpWorkerConnection> connection;
    Failure failure;
};

} // namespace

TEST_CASE("the protocol's messages have the documented form", "[worker]")
{
    // Guards against a change of the shared codec, which a test between a connection and a worker server would not notice.
    const auto order = decodeCommand(R"({"worker": "w", "task": "t/1", "epoch": 7, "team": "red", "service": "s",
        "need": {"milliCores": 500, "memoryMiB": 64, "accelerators": 1, "slots": 1, "connections": 2},
        "latestStartMs": 1000, "leaseMs": 30000, "waitMs": 5000, "bodyBase64": "/w=="})");
    REQUIRE(order);
    CHECK(order->task.need == Resources { 500, 64, 1, 1, 2 });
    CHECK(order->task.latestStart == WallTime(Milliseconds(1000)));
    CHECK(order->task.body == "\xFF");
    CHECK_FALSE(decodeCommand(R"({"task": "t"})"));
    CHECK_FALSE(decodeTask(R"({"task": "t", "state": "asleep"})"));
    WorkerCommand renewal;
    renewal.worker = WorkerId("w");
    renewal.task.epoch = 7;
    renewal.task.lease = Milliseconds(30'000);
    CHECK(encode(renewal) == R"({"epoch":7,"leaseMs":30000,"worker":"w"})");
    const TaskStatus task { TaskId("t"), TaskState::Running, { 500, 64, 0, 1, 0 }, TeamId("red"), "answer", { 400, 0, 0, 0, 0 } };
    const MarkedReport report { WorkerId("w"), { { 1000, 0, 0, 8, 0 }, { task } }, 3 };
    CHECK(encode(report, ReportKind::Renewal)
          == R"({"capacity":{"milliCores":1000,"slots":8},"mark":3,)"
             R"("tasks":[{"measuredUse":{"milliCores":400},"state":"running","task":"t"}],"worker":"w"})");
    const auto claimReport = decodeReport(encode(report, ReportKind::Claim));
    REQUIRE(claimReport);
    CHECK(claimReport->report.tasks.at(0).need == task.need);
    CHECK(claimReport->report.tasks.at(0).team == task.team);
    CHECK(encode(WorkerRefusal { TaskId("t"), FailureReason::StaleEpoch, "m" })
          == R"({"message":"m","reason":"stale-epoch","task":"t"})");
}

TEST_CASE("a task body of any bytes is encoded and decoded without change", "[worker]")
{
    // Guards against answers that are damaged or refused because they are not UTF-8.
    const auto isOk = rc::check("task answers round-trip", [](const std::string &bytes, Epoch epoch) {
        WorkerCommand order;
        order.worker = WorkerId("w");
        order.task.body = bytes;
        order.task.epoch = epoch;
        const auto read = decodeCommand(encode(order));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->task.body == bytes);
        RC_ASSERT(read->task.epoch == epoch);
    });
    CHECK(isOk);
}

TEST_CASE("a call returns the task's own answer, and refusals are definite", "[worker]")
{
    // Guards against refusals that are reported as unknown, and against a refused start that runs.
    Fixture fixture;
    const auto result = fixture.connection->call(fixture.task("t1"), fixture.deadline(), fixture.failure);
    CHECK(result.status == CallStatus::Answered);
    CHECK(result.answer == R"({"echo":"hello","task":"t1"})");
    const auto bytes = fixture.connection->call(fixture.task("t0", "\xFFz"), fixture.deadline(), fixture.failure);
    CHECK(bytes.answer == R"({"echoBase64":"/3o=","task":"t0"})");
    REQUIRE(fixture.connection->claim(5, InstanceId("i"), fixture.deadline(), fixture.failure));
    const auto refused = [&](const TaskStart &order) {
        CHECK(fixture.connection->call(order, fixture.deadline(), fixture.failure).status == CallStatus::NotRun);
        return fixture.failure.reason;
    };
    CHECK(refused(fixture.task("t2")) == FailureReason::StaleEpoch);
    auto order = fixture.task("t1");
    order.epoch = 5;
    CHECK(refused(order) == FailureReason::DuplicateKey);
    order = fixture.task("t3");
    order.epoch = 5;
    order.need.accelerators = 3;
    CHECK(refused(order) == FailureReason::NoCapacity);
    order.need.accelerators = 0;
    order.latestStart = fixture.clock.wallNow() - Milliseconds(1);
    CHECK(refused(order) == FailureReason::DeadlinePassed);
    const auto cancelled = fixture.connection->cancel(TaskId("t3"), 5, fixture.deadline(), fixture.failure);
    REQUIRE(cancelled);
    CHECK(cancelled->state == TaskState::NeverStarted);
    CHECK(refused(order) == FailureReason::Cancelled);
    CHECK(fixture.server.worker().startCount(TaskId("t3")) == 0);
    {
        HttpWorkerConnection other(WorkerId("worker-2"), fixture.address, fixture.clock, fixture.metrics);
        CHECK(other.start(fixture.task("t4"), fixture.deadline(), fixture.failure).status == CallStatus::NotRun);
    }
    // The server stops at once when no idle connection is open.
    fixture.connection.reset();
    fixture.server.stop();
    fixture.connection = std::make_unique<HttpWorkerConnection>(
        WorkerId("worker-1"), fixture.address, fixture.clock, fixture.metrics);
    CHECK(fixture.connection->start(fixture.task("t5"), fixture.deadline(), fixture.failure).status == CallStatus::NotRun);
}

TEST_CASE("after a lost answer a start is unknown and a query is repeated", "[worker]")
{
    // Guards against a start that is sent twice, and against a lost answer taken for a refusal.
    Fixture fixture;
    fixture.setFaults(R"({"cutAnswers": 1})");
    const auto cut = fixture.connection->start(fixture.task("t1", R"({"runMs": -1})"), fixture.deadline(), fixture.failure);
    CHECK(cut.status == CallStatus::Unknown);
    CHECK(fixture.server.worker().startCount(TaskId("t1")) == 1);
    fixture.setFaults(R"({"cutAnswers": 2})");
    const auto state = fixture.connection->query(TaskId("t1"), fixture.deadline(), fixture.failure);
    REQUIRE(state);
    CHECK(state->state == TaskState::Running);
    const auto ended = fixture.connection->cancel(TaskId("t1"), 1, fixture.deadline(), fixture.failure);
    REQUIRE(ended);
    CHECK(ended->state == TaskState::Stopped);
    // The end is reported until the answer of a renewal has arrived, and not again.
    fixture.setFaults(R"({"cutAnswers": 1})");
    const auto renewed = fixture.connection->renew(1, longTimeout, fixture.deadline(), fixture.failure);
    REQUIRE(renewed);
    CHECK(renewed->tasks.size() == 1);
    CHECK(fixture.connection->renew(1, longTimeout, fixture.deadline(), fixture.failure)->tasks.empty());
}

TEST_CASE("swapped answers reach no caller", "[worker]")
{
    // Guards against a caller that receives the answer to another request.
    Fixture fixture;
    fixture.setFaults(R"({"crossAnswers": 1})");
    auto other = std::async(std::launch::async, [&] {
        Failure failure;
        return fixture.connection->call(fixture.task("t1"), fixture.deadline(), failure);
    });
    const auto one = fixture.connection->call(fixture.task("t2"), fixture.deadline(), fixture.failure);
    CHECK(one.status == CallStatus::Unknown);
    CHECK(other.get().status == CallStatus::Unknown);
    CHECK(fixture.metrics.counter("crossed_answers_total") == 2);
    const auto state = fixture.connection->query(TaskId("t1"), fixture.deadline(), fixture.failure);
    REQUIRE(state);
    CHECK(state->answer == R"({"echo":"hello","task":"t1"})");
}
