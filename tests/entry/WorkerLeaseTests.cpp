#include "fakes/ManualTimers.h"
#include "workload/ConfirmingWorkerChannel.h"
#include "workload/WorkerConnection.h"
#include "workload/WorkerLease.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

Milliseconds timeSinceEpoch(const Timers &timers)
{
    return std::chrono::duration_cast<Milliseconds>(timers.bootNow().time_since_epoch());
}

/** A worker that records the acknowledgements which reach it. */
struct RecordingWorker
{
    std::vector<std::int64_t> acknowledgements;
    std::int64_t incarnation = 1;
    bool isFailing = false;
    ConnectionNumber lastConnection = 0;
};

/** A connection to a RecordingWorker; a request that fails closes it. */
class RecordingConnection : public WorkerConnection
{
public:
    explicit RecordingConnection(RecordingWorker &worker) : worker_(worker)
    {
    }

    void start(const StartCommand &, Milliseconds, ConnectionNumber, CommandCallback) override
    {
    }
    void stop(const TaskName &, std::int64_t, CommandCallback) override
    {
    }
    void throttle(const TaskName &, std::int64_t, int, CommandCallback) override
    {
    }
    void readReport(const ReportRequest &request, ConnectionNumber boundTo, ReportCallback callback) override
    {
        if (boundTo != 0 && boundTo != number_) {
            callback({ { CommandOutcome::NotSent, {} }, 0, true }, {});
            return;
        }
        number_ = number_ == 0 ? ++worker_.lastConnection : number_;
        worker_.acknowledgements.push_back(request.acknowledged);
        if (worker_.isFailing) {
            number_ = 0;
            callback({ { CommandOutcome::Unknown, {} } }, {});
            return;
        }
        TaskReport report;
        report.incarnation = worker_.incarnation;
        callback({ { CommandOutcome::Accepted, {} }, number_ }, report);
    }
    void update(const WorkerEntry &) override
    {
    }

private:
    RecordingWorker &worker_;
    ConnectionNumber number_ = 0;
};

/** Creates connections to a RecordingWorker. */
class RecordingConnectionFactory : public WorkerConnectionFactory
{
public:
    explicit RecordingConnectionFactory(RecordingWorker &worker) : worker_(worker)
    {
    }

    std::unique_ptr<WorkerConnection> create(const WorkerEntry &, std::int64_t) override
    {
        return std::make_unique<RecordingConnection>(worker_);
    }

private:
    RecordingWorker &worker_;
};

} // namespace

// Guards against an acknowledgement that makes a restarted worker forget ends that no owner has read.
TEST_CASE("a channel acknowledges only what is known to be of the worker's incarnation at its other end")
{
    RecordingWorker worker;
    RecordingConnectionFactory connections(worker);
    ManualTimers timers;
    ConfirmingWorkerChannel channel(timers, connections, WorkerEntry(), 1);
    const auto &sent = worker.acknowledgements;
    const auto acknowledge = [&channel](std::int64_t acknowledged, std::int64_t knownIncarnation) {
        channel.readReport({ acknowledged, knownIncarnation, std::nullopt, Milliseconds(1) }, [](const auto &, const auto &) {});
    };
    acknowledge(4, 1);
    CHECK(sent == std::vector<std::int64_t> { 0, 4 });
    acknowledge(5, 1);
    CHECK(sent == std::vector<std::int64_t> { 0, 4, 5 });
    worker.isFailing = true;
    acknowledge(0, 1);
    worker.isFailing = false;
    worker.incarnation = 2;
    acknowledge(6, 1);
    CHECK(sent == std::vector<std::int64_t> { 0, 4, 5, 0, 0 });
}

// Guards against a lease that outlasts what the owner assumes: the clock of a restarted worker begins anew, and a deadline on the
// former clock would give its tasks the longest lease that it accepts.
TEST_CASE("a lease that is granted after a restart, before the clock is read, ends in time on the new clock")
{
    ManualTimers timers;
    WorkerLease lease(timers, Milliseconds(10000));
    lease.updateClock(Milliseconds(480000));
    timers.advance(Milliseconds(2000));
    lease.resetClock();
    CHECK_FALSE(lease.isClockKnown());
    timers.advance(Milliseconds(300));
    CHECK(lease.grant(Milliseconds(5000)) == Milliseconds(5300));
    CHECK(lease.end() >= timers.now() + Milliseconds(5000));
}

// Guards against leases that outlast what the owner assumes because a relay was slow to pass a reading of the clock on.
TEST_CASE("a late reading of the worker's clock shortens a lease and does not extend it")
{
    ManualTimers timers;
    WorkerLease lease(timers, Milliseconds(10000));
    const auto readAt = timeSinceEpoch(timers);
    timers.advance(Milliseconds(3000));
    lease.updateClock(readAt);
    const auto deadline = lease.grant(Milliseconds(5000));
    CHECK(deadline <= timeSinceEpoch(timers) + Milliseconds(5000));
    CHECK(TimePoint() + deadline <= lease.end());
}

// Guards against leases that outlast the wait of a new owner: the clock of a worker that is not polled while it is idle was read
// long before the start, and has run slow since.
TEST_CASE("a lease that is granted long after the last reading of a slow clock does not last longer than one on a fresh reading")
{
    constexpr Milliseconds readAt { 480000 };
    constexpr Milliseconds granted { 5000 };
    constexpr double slowClockRate = 0.98;
    constexpr Milliseconds margin { 50 };
    const auto idleTime = GENERATE(Milliseconds(1000), Milliseconds(60000));
    CAPTURE(idleTime.count());
    ManualTimers timers;
    WorkerLease lease(timers, Milliseconds(10000));
    lease.updateClock(readAt);
    timers.advance(idleTime);
    const auto workerClock = static_cast<double>(readAt.count()) + static_cast<double>(idleTime.count()) * slowClockRate;
    const auto remaining = (static_cast<double>(lease.grant(granted).count()) - workerClock) / slowClockRate;
    CHECK(remaining <= static_cast<double>(granted.count()) / slowClockRate + static_cast<double>(margin.count()));
}
