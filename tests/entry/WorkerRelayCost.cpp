#include "PlatformWorkerChannelFactory.h"
#include "entry/HttpRelayTransport.h"
#include "entry/PeerCodec.h"
#include "entry/RelayedWorkerClientFactory.h"
#include "entry/WorkerRelay.h"
#include "entry/WorkerRelayPool.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <ctime>
#include <thread>

using namespace auburndoor;

namespace {

constexpr int workerCount = 240;
constexpr Milliseconds pause { 150 };
constexpr Milliseconds measuredTime { 5000 };

/** An event loop on a thread of its own with one listener. */
class ServerThread
{
public:
    /** @param makeHandler called on the thread with its loop */
    explicit ServerThread(const std::function<HttpHandler(EventLoop &)> &makeHandler)
    {
        thread_ = std::thread([this, makeHandler] {
            EventLoop loop;
            HttpListener listener(loop, {}, makeHandler(loop));
            std::string error;
            listener.listen({ "127.0.0.1", 0 }, error);
            loop_ = &loop;
            port_ = listener.port();
            loop.run();
        });
        while (port_ == 0) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
    }

    ~ServerThread()
    {
        loop_.load()->stop();
        thread_.join();
    }

    Address address() const
    {
        return { "127.0.0.1", port_ };
    }

private:
    std::atomic<EventLoop *> loop_ = nullptr;
    std::atomic<std::uint16_t> port_ = 0;
    std::thread thread_;
};

/** Serves all workers: each start ends at once, and a report lists the last end and eight running tasks. */
HttpHandler makeWorkers(EventLoop &loop)
{
    using Json = nlohmann::json;
    struct Worker
    {
        std::int64_t ends = 0;
        Json lastStart;
    };
    return [&loop, workers = std::make_shared<std::map<std::string, Worker>>()](const WebRequest &request,
                                                                                const HttpResponderPointer &responder) {
        auto &worker = (*workers)[request.header("target-instance")];
        const auto clock = std::chrono::duration_cast<Milliseconds>(loop.now().time_since_epoch()).count();
        const auto body = Json::parse(request.body);
        if (request.target == "/api/run-start") {
            ++worker.ends;
            worker.lastStart = body;
            responder->reply({ 200, Json { { "clockMs", clock } }.dump(), {} });
            return;
        }
        auto running = Json::array();
        for (int index = 0; index < 8; ++index) {
            running.push_back({ "0123456789abcdef.0.0." + std::to_string(index), 1001, "", 50, 900 });
        }
        auto finished = Json::array();
        if (worker.ends > 0) {
            finished.push_back({ worker.ends, worker.lastStart.at("taskId"), worker.lastStart.at("attempt"), "done", "" });
        }
        const Json report { { "clockMs", clock }, { "born", 1 }, { "running", running }, { "finished", finished } };
        responder->reply({ 200, report.dump(), {} });
    };
}

/** Starts a task on one worker, reads its end, and begins again after a pause. */
class WorkerCycle
{
public:
    WorkerCycle(EventLoop &loop, WorkerClientFactory &factory, const WorkerEntry &entry, long long &cycles)
        : loop_(loop), client_(factory.create(entry, 5)), cycles_(cycles)
    {
    }

    void begin(Milliseconds delay)
    {
        loop_.after(delay, [this] {
            const StartCommand command { { "0123456789abcdef", 0, 0, 1 }, ++attempt_, std::string(200, 'x'), "", "" };
            client_->start(command, Milliseconds(5000), [this](const WorkerClient::Reply &) { readEnd(); });
        });
    }

private:
    void readEnd()
    {
        client_->renewLeases(
            0, Milliseconds(5000), Milliseconds(1000), [this](const WorkerClient::Reply &reply, const TaskReport &report) {
                cycles_ += reply.outcome == CommandOutcome::Accepted && !report.ended.empty() ? 1 : 0;
                begin(pause);
            });
    }

    EventLoop &loop_;
    std::unique_ptr<WorkerClient> client_;
    long long &cycles_;
    std::int64_t attempt_ = 0;
};

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/** Returns the owner's processor time for each start and end, in microseconds. */
double measure(std::size_t maxDirectWorkers, double &rate)
{
    ServerThread workers(makeWorkers);
    ServerThread relayServer([](EventLoop &loop) -> HttpHandler {
        const auto channels = std::make_shared<platform::PlatformWorkerChannelFactory>(loop);
        const auto relay = std::make_shared<WorkerRelay>(
            loop, *channels, [] { return 1.0; }, "zone");
        return [channels, relay](const WebRequest &request, HttpResponderPointer responder) {
            relay->serve(request.body, [responder = std::move(responder)](int status, std::string message) {
                responder->reply({ status, std::move(message), {} });
            });
        };
    });
    EventLoop loop;
    HttpRelayTransport transport(loop);
    WorkerRelayPool pool(
        loop, transport, [&] { return std::vector { relayServer.address() }; }, maxDirectWorkers);
    platform::PlatformWorkerChannelFactory channels(loop);
    RelayedWorkerClientFactory factory(loop, pool, channels, Milliseconds(10000));
    long long cycles = 0;
    std::vector<std::unique_ptr<WorkerCycle>> cycleList;
    for (int number = 0; number < workerCount; ++number) {
        WorkerEntry entry;
        entry.id = "w" + std::to_string(number);
        entry.address = workers.address();
        entry.incarnation = 1;
        entry.failureDomain = "zone";
        cycleList.push_back(std::make_unique<WorkerCycle>(loop, factory, entry, cycles));
        cycleList.back()->begin(Milliseconds(1000 + number % 150));
    }
    const auto run = [&loop](Milliseconds time) {
        loop.after(time, [&loop] { loop.stop(); });
        loop.run();
    };
    run(Milliseconds(3000));
    cycles = 0;
    const auto before = threadSeconds();
    run(measuredTime);
    const auto used = threadSeconds() - before;
    rate = static_cast<double>(cycles) * 1000.0 / static_cast<double>(measuredTime.count());
    return used * 1e6 / static_cast<double>(cycles);
}

} // namespace

// Not run by default: test-entry "[cost]" prints the processor time of the owner's thread for each start and end.
TEST_CASE("the cost of a start and an end at the owner, directly and through a relay", "[.][cost]")
{
    double directRate = 0;
    double relayedRate = 0;
    const auto direct = measure(workerCount, directRate);
    const auto relayed = measure(0, relayedRate);
    std::printf("direct: %.1f us at %.0f a second; relayed: %.1f us at %.0f a second\n", direct, directRate, relayed, relayedRate);
    CHECK(relayed < direct);
}
