#include "peer/PeerFixture.h"

#include "peer/FramedSocket.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr Milliseconds timeout { 5000 };

/** Accepts one connection, reads one whole frame, and closes the connection without an answer. */
std::thread serveWithoutAnswer(int listener)
{
    return std::thread([listener] {
        FramedSocket socket(::accept(listener, nullptr, nullptr));
        Failure failure;
        socket.receive(1 << 20, timeout, failure);
        ::close(listener);
    });
}

} // namespace

TEST_CASE("a request and its outcome arrive with all fields, and the deadline as remaining time", "[peer]")
{
    // Guards against a conversion that leaves out a field, and against deadlines that depend on equal clocks on two machines.
    PeerFixture fixture;
    Request received;
    fixture.handler.onExecute = [&](const Request &request) {
        received = request;
        return Outcome {
            OutcomeStatus::NotRun, std::string("a\0b", 3), { FailureStep::ClaimWorker, "w7", FailureReason::NoCapacity, "full" },
            Milliseconds(40),      WorkerId("w7"),         Milliseconds(3)
        };
    };
    auto request = fixture.request();
    request.team = TeamId("team");
    request.service = ServiceId("service");
    request.kind = "kind";
    request.priority = Priority::Background;
    request.need = { 1, 2, 3, 4, 5 };
    request.idempotencyKey = "key";
    request.isRepeatable = false;
    request.hopCount = 1;
    request.body = std::string("\xff\0body", 6);
    const auto outcome = fixture.client->execute(request, timeout);

    CHECK(received.id == request.id);
    CHECK(received.team == request.team);
    CHECK(received.service == request.service);
    CHECK(received.kind == request.kind);
    CHECK(received.priority == request.priority);
    CHECK(received.need == request.need);
    CHECK(received.idempotencyKey == request.idempotencyKey);
    CHECK(received.isRepeatable == request.isRepeatable);
    CHECK(received.hopCount == request.hopCount);
    CHECK(received.body == request.body);
    CHECK(received.deadline - fixture.serverClock.now() == 700ms);
    CHECK(fixture.serverClock.now() - received.arrival == 30ms);
    CHECK(outcome.status == OutcomeStatus::NotRun);
    CHECK(outcome.answer == std::string("a\0b", 3));
    CHECK(outcome.failure.text() == "seize no-capacity at w7: full");
    CHECK(outcome.retryAfter == 40ms);
    CHECK(outcome.worker == WorkerId("w7"));
    CHECK(outcome.waited == 3ms);
}

TEST_CASE("all other calls carry their parameters and answers", "[peer]")
{
    // Guards against a conversion that leaves out a field.
    PeerFixture fixture;
    Failure failure;
    CHECK(fixture.client->announce({ 4, "d", "t" }, timeout, failure) == 5);
    CHECK(fixture.handler.lastAnnouncement.digest == "d");
    CHECK(fixture.handler.lastAnnouncement.text == "t");
    CHECK(fixture.client->fetchConfiguration(timeout, failure)->text == "text");

    const HoldRequest holdRequest { JobId("job"), TeamId("team"), ServiceId("service"), { 1, 2, 3, 4, 5 }, 7, 1234ms };
    const auto holds = fixture.client->hold(holdRequest, timeout, failure);
    REQUIRE(holds);
    CHECK(holds->at(1).worker == WorkerId("w2"));
    const auto &receivedHold = fixture.handler.lastHoldRequest;
    CHECK(std::tie(receivedHold.job,
                   receivedHold.team,
                   receivedHold.service,
                   receivedHold.need,
                   receivedHold.count,
                   receivedHold.timeLimit)
          == std::tie(
              holdRequest.job, holdRequest.team, holdRequest.service, holdRequest.need, holdRequest.count, holdRequest.timeLimit));
    CHECK(fixture.client->release(*holds, timeout, failure));
    CHECK(fixture.handler.lastReleased.at(1).holdId == "h2");

    TaskStart start { TaskId("t"), 12, TeamId("team"), ServiceId("s"), { 5, 4, 3, 2, 1 }, fixture.clientClock.wallNow() + 800ms,
                      20s,         "b" };
    CHECK(fixture.client->startHeld(holds->at(0), start, timeout, failure).status == CallStatus::NotRun);
    CHECK(failure.text() == "start stale-epoch at w1: the epoch is old");
    const auto &receivedStart = fixture.handler.lastStart;
    CHECK(std::tie(receivedStart.id,
                   receivedStart.epoch,
                   receivedStart.team,
                   receivedStart.service,
                   receivedStart.need,
                   receivedStart.lease,
                   receivedStart.body)
          == std::tie(start.id, start.epoch, start.team, start.service, start.need, start.lease, start.body));
    CHECK(receivedStart.latestStart - fixture.serverClock.wallNow() == 800ms);

    const auto task = fixture.client->queryTask(WorkerId("w"), TaskId("t"), timeout, failure);
    REQUIRE(task);
    CHECK(task->state == TaskState::Done);
    CHECK(task->answer == std::string("\0binary", 7));
    CHECK(task->measuredUse == Resources { 6, 7, 8, 9, 10 });
    CHECK_FALSE(fixture.client->cancelTask(WorkerId("w"), TaskId("t"), timeout, failure));
    CHECK(failure.reason == FailureReason::NotOwner);
    const auto running = fixture.client->runningTasks(JobId("j"), timeout, failure);
    CHECK(running == std::vector { TaskId("j/0/1"), TaskId("j/12/3") });
    CHECK(fixture.client->notifyJob(ShardId("east/1"), JobId("j"), timeout, failure));
    CHECK(fixture.handler.lastJob == "east/1 j");
}

TEST_CASE("a wrong secret is refused before anything is done", "[peer]")
{
    // Guards against a process without the secret that starts tasks or joins the cell.
    PeerFixture fixture;
    const auto secret = GENERATE(as<std::string> {}, "", "the secret of the peerS", "the secret of the peers and more");
    const auto unauthenticatedClient = fixture.connect(secret);
    const auto outcome = unauthenticatedClient->execute(fixture.request(), timeout);
    CHECK(outcome.status == OutcomeStatus::NotRun);
    CHECK(outcome.failure.reason == FailureReason::BadCredentials);
    CHECK(outcome.failure.text().find(fixture.secret) == std::string::npos);
    Failure failure;
    CHECK_FALSE(unauthenticatedClient->heartbeat(Member(), timeout, failure));
    CHECK(failure.reason == FailureReason::BadCredentials);
    CHECK(fixture.countRefused("bad-credentials") == 2);
    CHECK(fixture.handler.executions == 0);
}

TEST_CASE("heartbeats are answered while the limit on calls is reached", "[peer]")
{
    // Guards against an instance that is suspected as failed because long requests use up its limit on calls.
    PeerServerOptions options;
    options.callLimit = 2;
    PeerFixture fixture(options);
    const auto unblock = fixture.blockExecute();
    auto first = std::async(std::launch::async, [&] { return fixture.client->execute(fixture.request("a"), timeout); });
    auto second = std::async(std::launch::async, [&] { return fixture.client->execute(fixture.request("b"), timeout); });
    fixture.waitForExecutions(2);
    const auto third = fixture.client->execute(fixture.request("c"), timeout);
    CHECK(third.status == OutcomeStatus::NotRun);
    CHECK(third.failure.reason == FailureReason::Throttled);
    Failure failure;
    Member self;
    self.id = InstanceId("client");
    for (int round = 0; round < 3; ++round) {
        CHECK(fixture.client->heartbeat(self, timeout, failure));
    }
    unblock->set_value();
    CHECK(first.get().answer == "answer to a");
    CHECK(second.get().answer == "answer to b");
}

TEST_CASE("a call that was never sent gives NotRun", "[peer]")
{
    // Guards against the status Unknown for a call that the caller may safely repeat at another peer.
    PeerFixture fixture;
    SECTION("nobody listens")
    {
        fixture.server->stop();
        const auto outcome = fixture.client->execute(fixture.request(), timeout);
        CHECK(outcome.status == OutcomeStatus::NotRun);
        CHECK(outcome.failure.reason == FailureReason::ConnectionFailed);
        Failure failure;
        CHECK(fixture.client->startHeld({}, {}, timeout, failure).status == CallStatus::NotRun);
    }
    SECTION("the message is too large")
    {
        auto request = fixture.request();
        request.body.resize(9 << 20);
        const auto outcome = fixture.client->execute(request, timeout);
        CHECK(outcome.status == OutcomeStatus::NotRun);
        CHECK(outcome.failure.reason == FailureReason::TooLarge);
    }
    SECTION("all connections are in use")
    {
        const auto singleConnectionClient = fixture.connect(fixture.secret, 1);
        const auto unblock = fixture.blockExecute();
        auto first = std::async(std::launch::async, [&] { return singleConnectionClient->execute(fixture.request(), timeout); });
        fixture.waitForExecutions(1);
        const auto outcome = singleConnectionClient->execute(fixture.request(), 20ms);
        CHECK(outcome.status == OutcomeStatus::NotRun);
        CHECK(outcome.failure.reason == FailureReason::Throttled);
        unblock->set_value();
        CHECK(first.get().status == OutcomeStatus::Answered);
    }
    CHECK(fixture.handler.executions <= 1);
}

TEST_CASE("a call whose answer is lost gives Unknown", "[peer]")
{
    // Guards against NotRun for work that may have run: the caller would repeat it, and a repeated vetting run bills a client
    // twice.
    PeerFixture fixture;
    Failure failure;
    int port = 0;
    const int listener = FramedSocket::listen("127.0.0.1", port, failure);
    REQUIRE(listener >= 0);
    fixture.address = "127.0.0.1:" + std::to_string(port);
    const auto client = fixture.connect(fixture.secret);
    ::fcntl(listener, F_SETFL, 0);
    auto thread = serveWithoutAnswer(listener);
    if (GENERATE(true, false)) {
        CHECK(client->execute(fixture.request(), timeout).status == OutcomeStatus::Unknown);
    } else {
        CHECK(client->startHeld({}, {}, timeout, failure).status == CallStatus::Unknown);
    }
    thread.join();
}

TEST_CASE("an answer that cannot be decoded gives Unknown", "[peer]")
{
    // Guards against treating an unknown status from a newer release, or an exception of the handler, as a refusal.
    PeerFixture fixture;
    fixture.handler.onExecute = [throwsException = GENERATE(true, false)](const Request &) {
        if (throwsException) {
            throw std::runtime_error("the handler failed after the start");
        }
        Outcome outcome;
        outcome.status = static_cast<OutcomeStatus>(17);
        return outcome;
    };
    CHECK(fixture.client->execute(fixture.request(), timeout).status == OutcomeStatus::Unknown);
}

TEST_CASE("a late answer is never returned to the next call", "[peer]")
{
    // Guards against a caller that receives the answer to another request.
    PeerFixture fixture;
    const auto unblock = fixture.blockExecute();
    CHECK(fixture.client->execute(fixture.request("late"), 50ms).status == OutcomeStatus::Unknown);
    unblock->set_value();
    for (int round = 0; round < 20; ++round) {
        const auto id = "next-" + std::to_string(round);
        CHECK(fixture.client->execute(fixture.request(id), timeout).answer == "answer to " + id);
    }
}

TEST_CASE("a graceful stop finishes calls in flight and refuses new ones", "[peer]")
{
    // Guards against a planned restart that interrupts a call or leaves its outcome unknown.
    PeerFixture fixture;
    CHECK(fixture.client->execute(fixture.request("warm"), timeout).status == OutcomeStatus::Answered);
    const auto unblock = fixture.blockExecute();
    auto inFlight = std::async(std::launch::async, [&] { return fixture.client->execute(fixture.request("a"), timeout); });
    fixture.waitForExecutions(2);
    auto stopped = std::async(std::launch::async, [&] { fixture.server->stop(); });
    Outcome refusedOutcome;
    Failure failure;
    do {
        // Calls are still answered until the stop has begun.
        fixture.client->announce({}, timeout, failure);
    } while (failure.reason == FailureReason::None);
    refusedOutcome = fixture.client->execute(fixture.request("b"), timeout);
    CHECK(refusedOutcome.status == OutcomeStatus::NotRun);
    CHECK(refusedOutcome.failure.reason == FailureReason::ShuttingDown);
    unblock->set_value();
    CHECK(inFlight.get().answer == "answer to a");
    stopped.get();
    CHECK(fixture.handler.executions == 2);
}

TEST_CASE("calls sent all the time through a stop have a definite outcome", "[peer]")
{
    // Guards against connections that are reset in the listen backlog or closed after a refusal: the call's outcome is then
    // Unknown.
    constexpr int rounds = 4;
    constexpr int clientCount = 24;
    std::atomic<int> unknown = 0;
    for (int round = 0; round < rounds; ++round) {
        PeerFixture fixture;
        std::vector<std::thread> clients;
        for (int index = 0; index < clientCount; ++index) {
            clients.emplace_back([&, index] {
                const auto client = fixture.connect(fixture.secret);
                Outcome outcome;
                for (int number = 0; outcome.failure.reason != FailureReason::ConnectionFailed; ++number) {
                    outcome = client->execute(fixture.request(std::to_string(index) + "-" + std::to_string(number)), timeout);
                    unknown += outcome.status == OutcomeStatus::Unknown ? 1 : 0;
                }
            });
        }
        fixture.waitForExecutions(10 * clientCount);
        fixture.server->stop();
        for (auto &client : clients) {
            client.join();
        }
    }
    CHECK(unknown == 0);
}

TEST_CASE("calls succeed after the server was replaced on the same port", "[peer]")
{
    // Guards against a client that keeps using connections to a process that has ended.
    PeerServerOptions options;
    PeerFixture fixture;
    CHECK(fixture.client->execute(fixture.request(), timeout).status == OutcomeStatus::Answered);
    Failure failure;
    Member self;
    self.id = InstanceId("client");
    CHECK(fixture.client->heartbeat(self, timeout, failure));
    fixture.server->stop();
    options.secret = fixture.secret;
    options.port = std::stoi(fixture.address.substr(fixture.address.rfind(':') + 1));
    PeerServer replacement(options, fixture.handler, fixture.serverClock, fixture.serverMetrics);
    REQUIRE(replacement.bind(failure));
    replacement.start();
    CHECK(fixture.client->execute(fixture.request(), timeout).status == OutcomeStatus::Answered);
    CHECK(fixture.client->heartbeat(self, timeout, failure));
    CHECK(fixture.handler.lastSender.id == self.id);
}
