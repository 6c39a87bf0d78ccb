#include "entry/HttpRelayTransport.h"
#include "entry/PeerCodec.h"
#include "entry/WorkerRelay.h"
#include "entry/WorkerRelayCodec.h"
#include "entry/WorkerRelayLink.h"
#include "fakes/ManualTimers.h"
#include "fakes/RelayedFleet.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <map>

using namespace auburndoor;

namespace {

const Address relayAddress { "10.0.0.9", 7000 };

WorkerEntry makeWorker(const std::string &id)
{
    WorkerEntry entry;
    entry.id = id;
    entry.address = { "10.0.0.1", 80 };
    entry.capacity = { 8000, 1 << 20, 0, 0, 0 };
    entry.incarnation = 1;
    return entry;
}

RelayCommand makeStart(std::int64_t number, const std::string &worker, int index)
{
    RelayCommand command;
    command.number = number;
    command.kind = RelayCommand::Kind::Start;
    command.worker = worker;
    command.task = { { "job", 0, 0, index }, 1001, "payload", "", "permit" };
    command.deadline = { 1, Milliseconds(1'000'000'000) };
    return command;
}

Milliseconds sinceEpoch(const Timers &timers)
{
    return std::chrono::duration_cast<Milliseconds>(timers.bootNow().time_since_epoch());
}

RelayBatch makeBatch(const Timers &timers, std::int64_t session, std::vector<RelayCommand> commands)
{
    return { 5, session, sinceEpoch(timers), { makeWorker("w1") }, std::move(commands) };
}

/** A relay with one simulated worker, in simulated time. */
struct RelayFixture
{
    RelayFixture()
        : fleet(timers)
        , channels(timers, fleet)
        , relay(
              timers,
              channels,
              [] { return 0.5; },
              "zone-a")
    {
        fleet.add(makeWorker("w1"), [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(5000) }; });
    }

    /** Serves a message; the answer is added to answers. */
    void serve(const std::string &message)
    {
        relay.serve(message, [this](int status, const std::string &text) {
            std::string error;
            answers.emplace_back(status, WorkerRelayCodec::decodeReplies(text, error).value_or(RelayReplies()));
        });
    }

    /** Begins a session, as an owner does before it sends commands. */
    void introduce()
    {
        serve(WorkerRelayCodec::encodeBatch(makeBatch(timers, 0, {})));
        timers.advance(WorkerRelay::maxAnswerDelay);
        REQUIRE(answers.size() == 1);
        session = answers.front().second.session;
        answers.clear();
    }

    ManualTimers timers;
    SimulatedFleet fleet;
    SimulatedChannels channels;
    WorkerRelay relay;
    std::int64_t session = 0;
    std::vector<std::pair<int, RelayReplies>> answers;
};

/** Replaces, inserts and removes random bytes of a message. */
std::string withChangedBytes(std::string message)
{
    const auto changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes && !message.empty(); ++change) {
        const auto position = *rc::gen::inRange<std::size_t>(0, message.size());
        const auto byte = *rc::gen::arbitrary<char>();
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            message[position] = byte;
            break;
        case 1:
            message.insert(position, 1, byte);
            break;
        default:
            message.erase(position, 1);
            break;
        }
    }
    return message;
}

/** Rewrites a message as its sender of version 1 did: starts and report requests end before the incarnation. */
std::string inFirstVersion(const std::string &batch)
{
    auto json = nlohmann::json::from_msgpack(batch);
    json.at(0) = 1;
    for (auto &row : json.at(7)) {
        const auto kind = row.at(1).get<int>();
        if (kind == static_cast<int>(RelayCommand::Kind::Start) || kind == static_cast<int>(RelayCommand::Kind::Report)) {
            row.erase(row.size() - 1);
        }
    }
    std::string message;
    nlohmann::json::to_msgpack(json, nlohmann::detail::output_adapter<char>(message));
    return message;
}

RelayCommand makeRenewal(std::int64_t number, std::int64_t incarnation, Milliseconds deadline)
{
    RelayCommand command;
    command.number = number;
    command.worker = "w1";
    command.report = { 0, incarnation, deadline, Milliseconds(0) };
    return command;
}

TaskReport makeReport()
{
    TaskReport report;
    report.incarnation = 7;
    report.running = { { { "job", 1, 2, 3 }, 1001, "checkpoint", 42, 17 } };
    report.omission = "no list of ended tasks";
    report.ended = { { 9, { "other", 0, 0, 0 }, 1002, RunOutcome::Failed, "" } };
    return report;
}

} // namespace

// Guards against fields that one side writes and the other reads elsewhere.
TEST_CASE("messages between the owner and a relay are read as they were written")
{
    auto throttle = makeStart(3, "w1", 4);
    throttle.kind = RelayCommand::Kind::Throttle;
    throttle.percent = 40;
    RelayCommand report;
    report.number = 4;
    report.worker = "w1";
    report.report = { 12, 1, Milliseconds(99), Milliseconds(1000) };
    const RelayBatch batch { 5, 6, Milliseconds(77), { makeWorker("w1") }, { makeStart(2, "w1", 3), throttle, report } };
    std::string error;
    const auto read = WorkerRelayCodec::decodeBatch(WorkerRelayCodec::encodeBatch(batch), error);
    REQUIRE(read);
    CHECK(read->fencingToken == 5);
    CHECK(read->session == 6);
    CHECK(read->sentAt == Milliseconds(77));
    REQUIRE(read->workers.size() == 1);
    CHECK(read->workers.front().address == batch.workers.front().address);
    REQUIRE(read->commands.size() == 3);
    CHECK(read->commands[0].number == 2);
    CHECK(read->commands[0].task.task == TaskName { "job", 0, 0, 3 });
    CHECK(read->commands[0].task.attempt == 1001);
    CHECK(read->commands[0].task.payload == "payload");
    CHECK(read->commands[0].task.permit == "permit");
    CHECK(read->commands[0].deadline == batch.commands[0].deadline);
    CHECK(read->commands[1].kind == RelayCommand::Kind::Throttle);
    CHECK(read->commands[1].percent == 40);
    CHECK(read->commands[2].report.acknowledged == 12);
    CHECK(read->commands[2].report.incarnation == 1);
    CHECK(read->commands[2].report.deadline == Milliseconds(99));
    CHECK(read->commands[2].report.maxWait == Milliseconds(1000));

    const RelayReplies replies { 8,
                                 0.25,
                                 "zone-a",
                                 { { 4, { CommandOutcome::Accepted, "", Milliseconds(55) }, makeReport() },
                                   { 5, { CommandOutcome::Unknown, "lost" }, std::nullopt } } };
    const auto readReplies = WorkerRelayCodec::decodeReplies(WorkerRelayCodec::encodeReplies(replies), error);
    REQUIRE(readReplies);
    CHECK(readReplies->session == 8);
    CHECK(readReplies->processorShare == 0.25);
    CHECK(readReplies->failureDomain == "zone-a");
    REQUIRE(readReplies->replies.size() == 2);
    CHECK(readReplies->replies[0].reply.workerClock == Milliseconds(55));
    REQUIRE(readReplies->replies[0].report);
    const auto &reportRead = *readReplies->replies[0].report;
    CHECK(reportRead.incarnation == 7);
    REQUIRE(reportRead.running.size() == 1);
    CHECK(reportRead.running[0].task == TaskName { "job", 1, 2, 3 });
    CHECK(reportRead.running[0].checkpoint == "checkpoint");
    CHECK(reportRead.running[0].percent == 42);
    CHECK(reportRead.omission == "no list of ended tasks");
    CHECK(reportRead.running[0].latencyOrProcessorUse == 17);
    REQUIRE(reportRead.ended.size() == 1);
    CHECK(reportRead.ended[0].number == 9);
    CHECK(reportRead.ended[0].end == RunOutcome::Failed);
    CHECK(readReplies->replies[1].reply.outcome == CommandOutcome::Unknown);
    CHECK_FALSE(readReplies->replies[1].reply.workerClock);
    CHECK_FALSE(readReplies->replies[1].report);
}

// Guards against a command whose incarnation is taken from the list of workers, which names the latest one only.
TEST_CASE("each command of a batch has its own incarnation of the worker")
{
    auto entry = makeWorker("w1");
    entry.incarnation = 2;
    RelayBatch batch { 5, 6, Milliseconds(77), { entry }, {} };
    for (const std::int64_t incarnation : { 1, 2, 1 }) {
        const auto number = static_cast<std::int64_t>(batch.commands.size());
        auto start = makeStart(number, "w1", static_cast<int>(number));
        start.deadline.incarnation = incarnation;
        batch.commands.push_back(start);
        batch.commands.push_back(makeRenewal(number + 1, incarnation, Milliseconds(400)));
    }
    std::string error;
    const auto read = WorkerRelayCodec::decodeBatch(WorkerRelayCodec::encodeBatch(batch), error);
    REQUIRE(read);
    REQUIRE(read->workers.size() == 1);
    CHECK(read->workers.front().incarnation == 2);
    REQUIRE(read->commands.size() == batch.commands.size());
    for (std::size_t index = 0; index < batch.commands.size(); ++index) {
        CAPTURE(index);
        CHECK(read->commands[index].deadline == batch.commands[index].deadline);
        CHECK(read->commands[index].report.incarnation == batch.commands[index].report.incarnation);
        CHECK(read->commands[index].report.deadline == batch.commands[index].report.deadline);
    }
}

// Guards against a deadline of the former clock that takes effect on the restarted worker, since the relay has got it together with
// the entry of the new incarnation.
TEST_CASE("a relay carries out the commands of a batch only on the incarnation of each")
{
    const std::int64_t listed = GENERATE(1, 2);
    CAPTURE(listed);
    RelayFixture fixture;
    fixture.introduce();
    auto &worker = fixture.fleet.worker("w1");
    const auto formerDeadline = worker.clock() + Milliseconds(5000);
    worker.restart();
    int renewals = 0;
    fixture.fleet.onAccepted = [&renewals](SimulatedWorker &, std::int64_t, bool isStart) { renewals += isStart ? 0 : 1; };
    auto formerStart = makeStart(1, "w1", 0);
    formerStart.deadline = { 1, formerDeadline };
    auto start = makeStart(2, "w1", 1);
    start.deadline = { 2, worker.clock() + Milliseconds(5000) };
    auto batch = makeBatch(fixture.timers,
                           fixture.session,
                           { formerStart, start, makeRenewal(3, 1, formerDeadline), makeRenewal(4, 2, Milliseconds(5000)) });
    batch.workers.front().incarnation = listed;
    fixture.serve(WorkerRelayCodec::encodeBatch(batch));
    fixture.timers.advance(Milliseconds(300));
    REQUIRE_FALSE(fixture.answers.empty());
    std::map<std::int64_t, RelayReply> replies;
    for (const auto &[status, answer] : fixture.answers) {
        CHECK(status == 200);
        for (const auto &reply : answer.replies) {
            replies[reply.number] = reply;
        }
    }
    REQUIRE(replies.size() == 4);
    CHECK(replies[1].reply.outcome == CommandOutcome::OtherIncarnation);
    CHECK(replies[2].reply.outcome == CommandOutcome::Accepted);
    for (const std::int64_t number : { 3, 4 }) {
        CAPTURE(number);
        CHECK(replies[number].reply.outcome == CommandOutcome::Accepted);
        REQUIRE(replies[number].report);
        CHECK(replies[number].report->incarnation == 2);
    }
    CHECK(renewals == 1);
    REQUIRE(worker.runs().size() == 1);
    CHECK(worker.runs().begin()->first.first == start.task.task);
}

// Guards against a process of the former release, whose messages do not name the incarnation, that is obeyed during an upgrade.
TEST_CASE("messages of version 1 are refused and their commands not carried out")
{
    RelayFixture fixture;
    fixture.introduce();
    const auto sentBefore = fixture.channels.connections.sentCount;
    const std::vector<std::vector<RelayCommand>> batches {
        { makeStart(1, "w1", 0) },
        { makeRenewal(1, 1, Milliseconds(1'000'000'000)) },
        { makeStart(1, "w1", 0), makeRenewal(2, 1, Milliseconds(1'000'000'000)) },
    };
    std::string error;
    for (const auto &commands : batches) {
        const auto message = WorkerRelayCodec::encodeBatch(makeBatch(fixture.timers, fixture.session, commands));
        REQUIRE(WorkerRelayCodec::decodeBatch(message, error));
        const auto former = inFirstVersion(message);
        CHECK_FALSE(WorkerRelayCodec::decodeBatch(former, error));
        CHECK(error == "not a message of version 2");
        // The number of the version alone decides nothing: a row without the incarnation is malformed in the present one.
        auto renumbered = nlohmann::json::from_msgpack(former);
        renumbered.at(0) = 2;
        std::string shortRows;
        nlohmann::json::to_msgpack(renumbered, nlohmann::detail::output_adapter<char>(shortRows));
        CHECK_FALSE(WorkerRelayCodec::decodeBatch(shortRows, error));
        for (const auto &refused : { former, shortRows }) {
            fixture.answers.clear();
            fixture.serve(refused);
            fixture.timers.advance(Milliseconds(300));
            REQUIRE(fixture.answers.size() == 1);
            CHECK(fixture.answers.front().first == 400);
        }
    }
    CHECK(fixture.channels.connections.sentCount == sentBefore);
    CHECK(fixture.fleet.worker("w1").runs().empty());
    auto replies = nlohmann::json::from_msgpack(WorkerRelayCodec::encodeReplies({ 1, 0.5, "a", {} }));
    replies.at(0) = 1;
    std::string formerReplies;
    nlohmann::json::to_msgpack(replies, nlohmann::detail::output_adapter<char>(formerReplies));
    CHECK_FALSE(WorkerRelayCodec::decodeReplies(formerReplies, error));
}

// Guards against a message that ends the process: it costs only what it carries.
TEST_CASE("malformed messages of a relay are refused")
{
    RelayFixture fixture;
    RelayCommand report;
    report.worker = "w1";
    const auto batch = WorkerRelayCodec::encodeBatch(makeBatch(fixture.timers, fixture.session, { makeStart(1, "w1", 0), report }));
    const auto replies = WorkerRelayCodec::encodeReplies(
        { 1, 0.5, "a", { { 1, { CommandOutcome::Accepted, "" }, makeReport() } } });
    std::string error;
    CHECK(rc::check("batch", [&] { WorkerRelayCodec::decodeBatch(withChangedBytes(batch), error); }));
    CHECK(rc::check("replies", [&] { WorkerRelayCodec::decodeReplies(withChangedBytes(replies), error); }));
    for (const auto &message : { std::string(), std::string("{}"), std::string(1'000'000, '\x91'), std::string("\x91\x02", 2) }) {
        CHECK_FALSE(WorkerRelayCodec::decodeBatch(message, error));
        CHECK_FALSE(WorkerRelayCodec::decodeReplies(message, error));
    }
    fixture.serve(batch.substr(0, batch.size() / 2));
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers.front().first == 400);
    CHECK(fixture.channels.connections.sentCount == 0);
}

// Guards the owner against one message for each reply.
TEST_CASE("replies that arrive close to each other share an answer")
{
    RelayFixture fixture;
    fixture.introduce();
    fixture.serve(WorkerRelayCodec::encodeBatch(
        makeBatch(fixture.timers, fixture.session, { makeStart(1, "w1", 0), makeStart(2, "w1", 1), makeStart(3, "w1", 2) })));
    fixture.timers.advance(Milliseconds(50));
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers.front().second.replies.size() == 3);
    CHECK(fixture.answers.front().second.failureDomain == "zone-a");
    CHECK(fixture.fleet.worker("w1").runs().size() == 3);
}

// Guards against replies that are lost because no message of the owner was open when they arrived.
TEST_CASE("replies that arrive while no message is open are in the answer to the next one")
{
    RelayFixture fixture;
    fixture.introduce();
    RelayCommand report;
    report.number = 1;
    report.worker = "w1";
    report.report.maxWait = Milliseconds(1000);
    fixture.serve(WorkerRelayCodec::encodeBatch(makeBatch(fixture.timers, fixture.session, { report })));
    fixture.timers.advance(WorkerRelay::maxAnswerDelay);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].second.replies.empty());
    fixture.timers.advance(Milliseconds(1000));
    fixture.serve(WorkerRelayCodec::encodeBatch(makeBatch(fixture.timers, fixture.session, {})));
    fixture.timers.advance(Milliseconds(20));
    REQUIRE(fixture.answers.size() == 2);
    REQUIRE(fixture.answers[1].second.replies.size() == 1);
    CHECK(fixture.answers[1].second.replies[0].report);
}

// Guards against commands that waited at a suspended relay until the owner has decided otherwise.
TEST_CASE("a relay does not carry out the commands of a batch that was on its way for too long")
{
    RelayFixture fixture;
    fixture.introduce();
    const auto late = WorkerRelayCodec::encodeBatch(makeBatch(fixture.timers, fixture.session, { makeStart(1, "w1", 0) }));
    fixture.timers.advance(Milliseconds(1000));
    fixture.serve(late);
    fixture.timers.advance(Milliseconds(50));
    CHECK(fixture.fleet.worker("w1").runs().empty());
    REQUIRE(fixture.answers.size() == 1);
    REQUIRE(fixture.answers.front().second.replies.size() == 1);
    CHECK(fixture.answers.front().second.replies.front().reply.outcome == CommandOutcome::NotSent);
}

// Guards against commands that a relay gets after its restart: it has seen no earlier message that would tell how late they are.
TEST_CASE("a relay does not carry out the commands of a session that it does not know")
{
    RelayFixture fixture;
    fixture.introduce();
    fixture.session += 1;
    fixture.serve(WorkerRelayCodec::encodeBatch(makeBatch(fixture.timers, fixture.session, { makeStart(1, "w1", 0) })));
    fixture.timers.advance(Milliseconds(50));
    CHECK(fixture.fleet.worker("w1").runs().empty());
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers.front().second.replies.size() == 1);
}

// Guards against commands whose callback is never called, so that the worker is not polled any more.
TEST_CASE("each command given to a link ends, whatever the relay does")
{
    ManualTimers timers;
    SimulatedFleet fleet(timers);
    fleet.add(makeWorker("w1"), [](const TaskName &, std::int64_t) { return SimulatedWork(); });
    SimulatedRelays relays(timers, fleet);
    relays.add(relayAddress);
    auto link = std::make_unique<WorkerRelayLink>(timers, relays, relayAddress, 5);
    REQUIRE(link->introduce());
    timers.advance(Milliseconds(400));
    REQUIRE(link->isUsable());
    std::vector<RelayOutcome> outcomes;
    const auto record = [&outcomes](RelayOutcome outcome, const RelayReply &) { outcomes.push_back(outcome); };

    SECTION("it answers")
    {
        link->send(makeStart(0, "w1", 0), makeWorker("w1"), record);
        timers.advance(Milliseconds(60));
        CHECK(outcomes == std::vector { RelayOutcome::Answered });
        CHECK(link->isUsable());
    }
    SECTION("it ends before and after the command was sent")
    {
        link->send(makeStart(0, "w1", 0), makeWorker("w1"), record);
        timers.advance(Milliseconds(4));
        link->send(makeStart(0, "w1", 1), makeWorker("w1"), record);
        relays.kill(relayAddress);
        timers.advance(Milliseconds(100));
        CHECK(outcomes.size() == 2);
        CHECK(outcomes.front() == RelayOutcome::Lost);
        CHECK_FALSE(link->isUsable());
        CHECK_FALSE(link->introduce());
    }
    SECTION("it is suspended")
    {
        relays.pause(relayAddress);
        link->send(makeStart(0, "w1", 0), makeWorker("w1"), record);
        timers.advance(Milliseconds(1000));
        CHECK(outcomes == std::vector { RelayOutcome::Lost });
        CHECK_FALSE(link->isUsable());
    }
    SECTION("the link is dropped")
    {
        link->send(makeStart(0, "w1", 0), makeWorker("w1"), record);
        link.reset();
        timers.advance(Milliseconds(1000));
        CHECK(outcomes.size() == 1);
    }
}

// Guards against the report of one worker that is taken for that of another one: a link that is given up leaves commands at the
// relay, whose replies come with the answers to the next link of the same owner.
TEST_CASE("a link does not take replies to the commands of a former link for its own")
{
    // Both links go on asking, and either may get the replies: one that the other link gets is lost.
    const auto delay = Milliseconds(GENERATE(range(5, 200, 15)));
    CAPTURE(delay.count());
    ManualTimers timers;
    SimulatedFleet fleet(timers);
    SimulatedRelays relays(timers, fleet);
    relays.add(relayAddress);
    for (const std::int64_t incarnation : { 1, 2 }) {
        auto entry = makeWorker("w" + std::to_string(incarnation));
        entry.incarnation = incarnation;
        fleet.add(entry, [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(5000) }; });
    }
    const auto request = [&](WorkerRelayLink &link, std::int64_t incarnation, std::vector<std::int64_t> &incarnations) {
        RelayCommand command;
        command.report = { 0, incarnation, std::nullopt, Milliseconds(200) };
        const auto &entry = fleet.worker("w" + std::to_string(incarnation)).entry();
        link.send(command, entry, [&incarnations](RelayOutcome, const RelayReply &reply) {
            incarnations.push_back(reply.report ? reply.report->incarnation : 0);
        });
    };
    std::vector<std::int64_t> formerReports;
    std::vector<std::int64_t> reports;
    auto former = std::make_unique<WorkerRelayLink>(timers, relays, relayAddress, 5);
    former->introduce();
    timers.advance(Milliseconds(400));
    REQUIRE(former->isUsable());
    request(*former, 1, formerReports);
    timers.advance(Milliseconds(50));
    former.reset();
    WorkerRelayLink link(timers, relays, relayAddress, 5);
    link.introduce();
    timers.advance(delay);
    request(link, 2, reports);
    timers.advance(Milliseconds(3000));
    constexpr std::int64_t otherWorker = 1;
    REQUIRE(reports.size() == 1);
    CHECK(reports.front() != otherWorker);
    CHECK(formerReports.size() == 1);
}

// Guards the way over the network: path, status and body of the messages.
TEST_CASE("a link exchanges messages with a relay over HTTP")
{
    EventLoop loop;
    SimulatedFleet fleet(loop);
    fleet.add(makeWorker("w1"), [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(5000) }; });
    SimulatedChannels channels(loop, fleet);
    WorkerRelay relay(
        loop, channels, [] { return 0.5; }, "zone-a");
    HttpListener listener(loop, {}, [&relay](const WebRequest &request, HttpResponderPointer responder) {
        REQUIRE(request.target == PeerCodec::relayPath);
        relay.serve(request.body, [responder = std::move(responder)](int status, std::string message) {
            responder->reply({ status, std::move(message), {} });
        });
    });
    std::string error;
    REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
    HttpRelayTransport transport(loop);
    WorkerRelayLink link(loop, transport, { "127.0.0.1", listener.port() }, 5);
    link.introduce();
    loop.after(WorkerRelay::maxAnswerDelay + Milliseconds(100), [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(link.isUsable());
    std::vector<CommandOutcome> outcomes;
    for (int index = 0; index < 20; ++index) {
        auto command = makeStart(0, "w1", index);
        command.deadline = { 1, fleet.worker("w1").clock() + Milliseconds(5000) };
        link.send(command, makeWorker("w1"), [&outcomes](RelayOutcome, const RelayReply &reply) {
            outcomes.push_back(reply.reply.outcome);
        });
    }
    loop.after(Milliseconds(400), [&loop] { loop.stop(); });
    loop.run();
    CHECK(outcomes == std::vector<CommandOutcome>(20, CommandOutcome::Accepted));
    CHECK(link.statistics().batches < 6);
    CHECK(link.isUsable());
}
