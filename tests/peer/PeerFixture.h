#pragma once

#include "core/Failure.h"
#include "core/ManualClock.h"
#include "observability/Metrics.h"
#include "peer/PeerHandler.h"
#include "peer/PeerServer.h"
#include "peer/ThriftPeer.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace auburndoor {

/** A handler whose execute() a test replaces; everything else gives fixed answers and keeps what it was given. */
class StubHandler : public PeerHandler
{
public:
    Member heartbeat(const Member &sender) override
    {
        const std::lock_guard lock(mutex);
        lastSender = sender;
        return self;
    }

    Outcome execute(const Request &request) override
    {
        ++executions;
        return onExecute(request);
    }

    long long announce(const ConfigurationAnnouncement &announcement) override
    {
        lastAnnouncement = announcement;
        return announcement.version + 1;
    }

    ConfigurationAnnouncement fetchConfiguration() override
    {
        return { 9, "digest", "text" };
    }

    std::vector<Hold> hold(const HoldRequest &request) override
    {
        lastHoldRequest = request;
        return { { WorkerId("w1"), "h1" }, { WorkerId("w2"), "h2" } };
    }

    void release(const std::vector<Hold> &holds) override
    {
        lastReleased = holds;
    }

    CallResult startHeld(const Hold &hold, const TaskStart &start, Failure &failure) override
    {
        lastReleased = { hold };
        lastStart = start;
        failure = { Step::Start, "w1", Reason::StaleEpoch, "the epoch is old" };
        return { CallStatus::NotRun, "answer" };
    }

    std::optional<WorkerTask> queryTask(const WorkerId &, const TaskId &task, Failure &) override
    {
        return WorkerTask {
            task, TaskState::Done, { 1, 2, 3, 4, 5 }, TeamId("team"), std::string("\0binary", 7), { 6, 7, 8, 9, 10 }
        };
    }

    std::vector<TaskId> runningTasks(const JobId &job) override
    {
        return { TaskId(job.text() + "/0/1"), TaskId(job.text() + "/12/3") };
    }

    std::optional<WorkerTask> cancelTask(const WorkerId &worker, const TaskId &, Failure &failure) override
    {
        failure = { Step::Cancel, worker.text(), Reason::NotOwner, "the worker is not owned here" };
        return std::nullopt;
    }

    void notifyJob(const ShardId &shard, const JobId &job) override
    {
        lastJob = shard.text() + ' ' + job.text();
    }

    static Outcome answer(const Request &request)
    {
        Outcome outcome;
        outcome.status = OutcomeStatus::Answered;
        outcome.answer = "answer to " + request.id.text();
        return outcome;
    }

    std::function<Outcome(const Request &)> onExecute = answer;
    std::atomic<int> executions { 0 };
    std::mutex mutex;
    Member self;
    Member lastSender;
    ConfigurationAnnouncement lastAnnouncement;
    HoldRequest lastHoldRequest;
    std::vector<Hold> lastReleased;
    TaskStart lastStart;
    std::string lastJob;
};

/** A server on a free port with a client; both sides have clocks of their own, set differently. */
struct PeerFixture
{
    explicit PeerFixture(PeerServerOptions options = {})
    {
        serverClock.advance(std::chrono::hours(5));
        handler.self.id = InstanceId("server");
        handler.self.summary.sequence = 1;
        options.secret = secret;
        options.drainTime = Milliseconds(50);
        server = std::make_unique<PeerServer>(options, handler, serverClock, serverMetrics);
        Failure failure;
        const auto port = server->bind(failure);
        if (!port) {
            throw std::runtime_error(failure.text());
        }
        address = "127.0.0.1:" + std::to_string(*port);
        server->start();
        client = connect(secret);
    }

    std::unique_ptr<ThriftPeer> connect(const std::string &withSecret, std::size_t connectionLimit = 64)
    {
        ThriftPeerOptions options;
        options.peer = InstanceId("server");
        options.address = address;
        options.secret = withSecret;
        options.connectionLimit = connectionLimit;
        return std::make_unique<ThriftPeer>(options, clientClock, clientMetrics);
    }

    Request request(const std::string &id = "r1") const
    {
        Request result;
        result.id = RequestId(id);
        result.deadline = clientClock.now() + Milliseconds(700);
        result.arrival = clientClock.now() - Milliseconds(30);
        return result;
    }

    /** Makes execute() wait until the returned promise is fulfilled. */
    std::shared_ptr<std::promise<void>> blockExecute()
    {
        auto gate = std::make_shared<std::promise<void>>();
        handler.onExecute = [gate, future = gate->get_future().share()](const Request &request) {
            future.wait();
            return StubHandler::answer(request);
        };
        return gate;
    }

    void waitForExecutions(int count) const
    {
        while (handler.executions < count) {
            std::this_thread::yield();
        }
    }

    long long refused(std::string_view reason) const
    {
        return serverMetrics.counter("peer_refused_total", reason);
    }

    const std::string secret = "the secret of the peers";
    ManualClock serverClock;
    ManualClock clientClock;
    Metrics serverMetrics;
    Metrics clientMetrics;
    StubHandler handler;
    std::unique_ptr<PeerServer> server;
    std::string address;
    std::unique_ptr<ThriftPeer> client;
};

} // namespace auburndoor
