// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "PlatformWorkerChannelFactory.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"
#include "workload/LeasedWorkerClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

using namespace auburndoor;

namespace {

using Json = nlohmann::json;
using Tcp = boost::asio::ip::tcp;

constexpr Milliseconds maxLease { 6000 };
constexpr Milliseconds lease { 4500 };
/** How far a deadline may be ahead of the lease on the worker's clock, as WorkerLease allows for. */
constexpr Milliseconds maxClockError { 30 };
/** What the clock of the first incarnation shows first: it has run for a while. Those of the others begin at zero. */
constexpr Milliseconds firstUpTime { 480000 };
/** Ends a test that would otherwise wait forever. */
constexpr Milliseconds longTimeout { 20000 };
constexpr std::int64_t fencingToken = 5;

/** A request that an incarnation of the worker has received. */
struct ReceivedRequest
{
    std::int64_t incarnation = 0;
    bool isStart = false;
    /** The attempt of a start. */
    std::int64_t attempt = 0;
    std::optional<Milliseconds> deadline;
    /** The worker's clock when the request arrived. */
    Milliseconds clock { 0 };

    /** True if the deadline is further away on the worker's clock than any lease that was asked for. */
    bool isOnOtherClock() const
    {
        return deadline && *deadline > clock + lease + maxClockError;
    }
};

/** One incarnation of a worker: a thread with a listener, which ends like a process that was killed. */
class Incarnation
{
public:
    using Record = std::function<void(const ReceivedRequest &)>;

    Incarnation(std::uint16_t port, std::int64_t number, Milliseconds firstClock, Record record)
        : number_(number), firstClock_(firstClock), record_(std::move(record))
    {
        std::string error;
        REQUIRE(listener_->listen({ "127.0.0.1", port }, error));
        std::promise<void> running;
        loop_.after(Milliseconds(0), [&running] { running.set_value(); });
        thread_ = std::thread([this] { loop_.run(); });
        // A stop before the loop runs would be ignored.
        running.get_future().wait();
    }

    ~Incarnation()
    {
        loop_.stop();
        thread_.join();
    }

    Incarnation(const Incarnation &) = delete;
    Incarnation &operator=(const Incarnation &) = delete;

private:
    Milliseconds clock() const
    {
        return firstClock_ + std::chrono::duration_cast<Milliseconds>(loop_.now() - startedAt_);
    }

    void serve(const WebRequest &request, const HttpResponderPointer &responder)
    {
        const auto body = Json::parse(request.body);
        ReceivedRequest received {
            number_, request.target == "/api/run-start", body.value("attempt", std::int64_t(0)), {}, clock()
        };
        if (body.contains("deadlineMs")) {
            received.deadline = Milliseconds(body.at("deadlineMs").get<std::int64_t>());
        }
        record_(received);
        const Milliseconds wait(body.value("waitMs", std::int64_t(0)));
        if (wait > Milliseconds(0)) {
            loop_.after(wait, [this, responder] { reply(responder); });
        } else {
            reply(responder);
        }
    }

    void reply(const HttpResponderPointer &responder) const
    {
        const Json report {
            { "clockMs", clock().count() }, { "born", number_ }, { "running", Json::array() }, { "finished", Json::array() }
        };
        responder->reply({ 200, report.dump(), {} });
    }

    EventLoop loop_;
    TimePoint startedAt_ = loop_.now();
    std::int64_t number_;
    Milliseconds firstClock_;
    Record record_;
    std::unique_ptr<HttpListener> listener_ = std::make_unique<HttpListener>(
        loop_,
        HttpListenerLimits(),
        [this](const WebRequest &request, const HttpResponderPointer &responder) { serve(request, responder); });
    std::thread thread_;
};

/** A worker that restarts under its id at the same address, and records what each of its incarnations receives. */
class RestartingWorker
{
public:
    RestartingWorker()
    {
        // Keeps the port for the worker while it is down; connections are refused, as the socket doesn't listen.
        reserved_.open(Tcp::v4());
        reserved_.set_option(Tcp::acceptor::reuse_address(true));
        reserved_.bind({ boost::asio::ip::address_v4::loopback(), 0 });
        begin(firstUpTime);
    }

    void stop()
    {
        incarnation_.reset();
    }

    /** Starts the next incarnation. */
    void begin(Milliseconds firstClock = Milliseconds(0))
    {
        incarnation_ = std::make_unique<Incarnation>(
            reserved_.local_endpoint().port(), ++number_, firstClock, [this](const ReceivedRequest &request) {
                const std::lock_guard lock(mutex_);
                received_.push_back(request);
            });
    }

    void restart()
    {
        stop();
        begin();
    }

    WorkerEntry entry() const
    {
        WorkerEntry entry;
        entry.id = "w1";
        entry.address = { "127.0.0.1", reserved_.local_endpoint().port() };
        entry.incarnation = number_;
        return entry;
    }

    std::vector<ReceivedRequest> received() const
    {
        const std::lock_guard lock(mutex_);
        return received_;
    }

    bool hasReceived(std::int64_t incarnation, bool isStart) const
    {
        const auto all = received();
        return std::any_of(all.begin(), all.end(), [&](const ReceivedRequest &request) {
            return request.incarnation == incarnation && request.isStart == isStart && request.deadline;
        });
    }

private:
    mutable std::mutex mutex_;
    std::vector<ReceivedRequest> received_;
    boost::asio::io_context context_;
    Tcp::socket reserved_ { context_ };
    std::int64_t number_ = 0;
    std::unique_ptr<Incarnation> incarnation_;
};

/** A start, the incarnation that the client knew when it was sent, and how it has ended. */
struct SentStart
{
    std::int64_t knownIncarnation = 0;
    std::optional<CommandOutcome> outcome;
};

/** A renewal that has ended. */
struct EndedRenewal
{
    CommandOutcome outcome = CommandOutcome::Unknown;
    std::int64_t incarnation = 0;
};

/** An owner's client of the worker, which sends starts and renewals. */
class Client
{
public:
    explicit Client(RestartingWorker &worker)
        : worker_(worker)
        , client_(loop, worker.entry(), channels_.create(worker.entry(), fencingToken), maxLease)
        , known_(worker.entry().incarnation)
    {
    }

    /** Sends a start. @return its attempt */
    std::int64_t start()
    {
        const auto attempt = ++attempt_;
        starts[attempt].knownIncarnation = known_;
        client_.start({ { "0123456789abcdef", 0, 0, 0 }, attempt, "payload", "", "" }, lease, [this, attempt](const auto &reply) {
            starts[attempt].outcome = reply.outcome;
        });
        return attempt;
    }

    void renew(Milliseconds maxWait)
    {
        ++renewalsInFlight;
        client_.renewLeases(0, lease, maxWait, [this](const WorkerClient::Reply &reply, const TaskReport &report) {
            --renewalsInFlight;
            renewals.push_back({ reply.outcome, report.incarnation });
            if (isSending) {
                loop.after(Milliseconds(2), [this] { keepRenewing(); });
            }
        });
    }

    /** Sends a start every few milliseconds, and keeps a renewal that waits open, until isSending is false. */
    void keepSending()
    {
        isSending = true;
        keepRenewing();
        sendNext();
    }

    /** The directory has told of the present incarnation. */
    void update()
    {
        known_ = worker_.entry().incarnation;
        client_.update(worker_.entry());
    }

    void run(Milliseconds time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = loop.now() + longTimeout;
        while (!condition() && loop.now() < end) {
            run(Milliseconds(1));
        }
        return condition();
    }

    /** Runs until nothing is in flight. */
    void drain()
    {
        isSending = false;
        REQUIRE(runUntil([this] {
            return renewalsInFlight == 0
                   && std::all_of(starts.begin(), starts.end(), [](const auto &start) { return start.second.outcome.has_value(); });
        }));
    }

    CommandOutcome finishStart()
    {
        const auto attempt = start();
        REQUIRE(runUntil([&] { return starts[attempt].outcome.has_value(); }));
        return *starts[attempt].outcome;
    }

    EndedRenewal finishRenewal(Milliseconds maxWait = Milliseconds(0))
    {
        const auto before = renewals.size();
        renew(maxWait);
        REQUIRE(runUntil([&] { return renewals.size() > before; }));
        return renewals.back();
    }

    /** Checks that the present incarnation gets starts and renewals with deadlines on its clock. */
    void checkServed()
    {
        update();
        // Connections of the former incarnation may end with the first commands.
        REQUIRE(runUntil([this] { return finishStart() == CommandOutcome::Accepted; }));
        REQUIRE(runUntil([this] { return finishRenewal().outcome == CommandOutcome::Accepted; }));
        REQUIRE(runUntil([this] { return finishRenewal(Milliseconds(50)).outcome == CommandOutcome::Accepted; }));
        for (int round = 0; round < 5; ++round) {
            CHECK(finishStart() == CommandOutcome::Accepted);
            CHECK(finishRenewal().outcome == CommandOutcome::Accepted);
            CHECK(finishRenewal(Milliseconds(10)).outcome == CommandOutcome::Accepted);
        }
        CHECK(worker_.hasReceived(known_, true));
        CHECK(worker_.hasReceived(known_, false));
    }

    /** Checks all that the incarnations have received, and the outcomes of the starts. */
    void check()
    {
        for (const auto &request : worker_.received()) {
            CAPTURE(request.incarnation, request.isStart, request.attempt, request.clock.count());
            INFO("deadline " << (request.deadline ? request.deadline->count() : -1) << " ms");
            CHECK_FALSE(request.isOnOtherClock());
            if (request.isStart) {
                CHECK(request.incarnation == starts[request.attempt].knownIncarnation);
            }
        }
        for (const auto &[attempt, start] : starts) {
            CAPTURE(attempt, start.knownIncarnation);
            REQUIRE(start.outcome);
            const bool isListedOutcome = *start.outcome == CommandOutcome::Accepted || *start.outcome == CommandOutcome::NotSent
                                         || *start.outcome == CommandOutcome::Unknown
                                         || *start.outcome == CommandOutcome::OtherIncarnation;
            CHECK(isListedOutcome);
        }
    }

    long long countStarts(CommandOutcome outcome) const
    {
        return std::count_if(
            starts.begin(), starts.end(), [outcome](const auto &start) { return start.second.outcome == outcome; });
    }

    EventLoop loop;
    std::map<std::int64_t, SentStart> starts;
    std::vector<EndedRenewal> renewals;
    int renewalsInFlight = 0;
    bool isSending = false;

private:
    void keepRenewing()
    {
        if (isSending) {
            renew(renewalWait);
        }
    }

    void sendNext()
    {
        if (!isSending) {
            return;
        }
        start();
        loop.after(Milliseconds(5), [this] { sendNext(); });
    }

    static constexpr Milliseconds renewalWait { 300 };

    RestartingWorker &worker_;
    platform::PlatformWorkerChannelFactory channels_ { loop };
    LeasedWorkerClient client_;
    std::int64_t known_;
    std::int64_t attempt_ = 0;
};

/** A worker and a client that has read its clock and has open connections. */
struct Cell
{
    Cell()
    {
        REQUIRE(client.finishRenewal().outcome == CommandOutcome::Accepted);
        REQUIRE(client.finishRenewal(Milliseconds(1)).outcome == CommandOutcome::Accepted);
        REQUIRE(client.finishStart() == CommandOutcome::Accepted);
    }

    RestartingWorker worker;
    Client client { worker };
};

} // namespace

// Guards against a start with a deadline of the former clock on a connection that was opened after a restart between two commands.
TEST_CASE("a start after a restart does not reach the new incarnation until its entry is known", "[restarted-worker]")
{
    Cell cell;
    cell.worker.restart();
    for (int attempt = 0; attempt < 10; ++attempt) {
        CHECK(cell.client.finishStart() != CommandOutcome::Accepted);
    }
    CHECK_FALSE(cell.worker.hasReceived(2, true));
    CHECK(cell.client.countStarts(CommandOutcome::OtherIncarnation) > 0);
    cell.client.checkServed();
    cell.client.check();
}

// Guards against a renewal with a deadline of the former clock after a restart between two commands.
TEST_CASE("a renewal after a restart does not reach the new incarnation until its entry is known", "[restarted-worker]")
{
    const Milliseconds maxWait = GENERATE(Milliseconds(0), Milliseconds(20));
    CAPTURE(maxWait.count());
    Cell cell;
    cell.worker.restart();
    bool isRestartReported = false;
    for (int round = 0; round < 10; ++round) {
        const auto renewal = cell.client.finishRenewal(maxWait);
        isRestartReported = isRestartReported || renewal.incarnation == 2;
    }
    // The report tells of the restart, though the lease is not renewed.
    CHECK(isRestartReported);
    CHECK_FALSE(cell.worker.hasReceived(2, false));
    cell.client.checkServed();
    cell.client.check();
}

// Guards against a renewal that is repeated on a new connection to the restarted worker, since the restart has broken its own one.
TEST_CASE("a renewal that waits while its worker restarts is not repeated to the new incarnation", "[restarted-worker]")
{
    Cell cell;
    const auto countWaiting = [&cell] {
        const auto all = cell.worker.received();
        return std::count_if(all.begin(), all.end(), [](const auto &request) { return !request.isStart && request.deadline; });
    };
    const auto before = countWaiting();
    const auto ended = cell.client.renewals.size();
    cell.client.renew(Milliseconds(10000));
    REQUIRE(cell.client.runUntil([&] { return countWaiting() > before; }));
    cell.worker.restart();
    REQUIRE(cell.client.runUntil([&] { return cell.client.renewals.size() > ended || cell.worker.hasReceived(2, false); }));
    CHECK_FALSE(cell.worker.hasReceived(2, false));
    cell.client.drain();
    CHECK(cell.client.renewals.back().outcome == CommandOutcome::Unknown);
    cell.client.checkServed();
    cell.client.check();
}

// Guards against a start whose connection is opened only once the worker is back, after it was refused for a while.
TEST_CASE("a start to a worker that was down does not reach its next incarnation until its entry is known", "[restarted-worker]")
{
    Cell cell;
    cell.worker.stop();
    for (int attempt = 0; attempt < 10; ++attempt) {
        CHECK(cell.client.finishStart() != CommandOutcome::Accepted);
        CHECK(cell.client.finishRenewal().outcome != CommandOutcome::Accepted);
    }
    CHECK(cell.client.countStarts(CommandOutcome::NotSent) > 0);
    cell.worker.begin();
    CHECK(cell.client.finishStart() == CommandOutcome::OtherIncarnation);
    cell.client.finishRenewal();
    CHECK_FALSE(cell.worker.hasReceived(2, true));
    CHECK_FALSE(cell.worker.hasReceived(2, false));
    cell.client.checkServed();
    cell.client.check();
}

// Guards against all of these in combinations: restarts at random moments of a stream of starts and renewals, also twice before the
// entry is known, and entries that are known late.
TEST_CASE("no deadline reaches another incarnation than its own while starts and renewals go on", "[restarted-worker]")
{
    const unsigned seed = GENERATE(range(1U, 4U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto draw = [&random](int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); };
    Cell cell;
    cell.client.keepSending();
    for (int round = 0; round < 6; ++round) {
        // A deadline on the clock of this incarnation is too far in the future for the next one.
        cell.client.run(Milliseconds(draw(150, 350)));
        cell.worker.stop();
        cell.client.run(Milliseconds(draw(0, 1) * draw(1, 120)));
        cell.worker.begin();
        if (draw(0, 2) == 0) {
            cell.client.run(Milliseconds(draw(100, 200)));
            cell.worker.restart();
        }
        cell.client.run(Milliseconds(draw(0, 150)));
        cell.client.update();
    }
    cell.client.run(Milliseconds(200));
    cell.client.drain();
    CHECK(cell.client.countStarts(CommandOutcome::Accepted) > 0);
    cell.client.checkServed();
    cell.client.check();
}
