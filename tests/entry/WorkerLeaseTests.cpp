#include "fakes/ManualTimers.h"
#include "workload/ConfirmingWorkerChannel.h"
#include "workload/WorkerLease.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

Milliseconds timeSinceEpoch(const Timers &timers)
{
    return std::chrono::duration_cast<Milliseconds>(timers.bootNow().time_since_epoch());
}

/** The channel of a worker that records the requests for reports, and answers with this incarnation. */
class RecordingChannel : public WorkerChannel
{
public:
    explicit RecordingChannel(std::vector<std::int64_t> &acknowledgements, std::int64_t &incarnation, bool &isFailing)
        : acknowledgements_(acknowledgements), incarnation_(incarnation), isFailing_(isFailing)
    {
    }

    void start(const StartCommand &, Milliseconds, WorkerClient::CommandCallback) override
    {
    }
    void stop(const TaskName &, std::int64_t, WorkerClient::CommandCallback) override
    {
    }
    void throttle(const TaskName &, std::int64_t, int, WorkerClient::CommandCallback) override
    {
    }
    void readReport(const ReportRequest &request, WorkerClient::ReportCallback callback) override
    {
        acknowledgements_.push_back(request.acknowledged);
        TaskReport report;
        report.incarnation = incarnation_;
        callback({ isFailing_ ? CommandOutcome::Unknown : CommandOutcome::Accepted, {} }, report);
    }
    void update(const WorkerEntry &) override
    {
    }

private:
    std::vector<std::int64_t> &acknowledgements_;
    std::int64_t &incarnation_;
    bool &isFailing_;
};

} // namespace

// Guards against an acknowledgement that makes a restarted worker forget ends that no owner has read.
TEST_CASE("a channel acknowledges only what is known to be of the worker's incarnation at its other end")
{
    std::vector<std::int64_t> sent;
    struct
    {
        std::int64_t incarnation = 1;
        bool isFailing = false;
    } worker;
    ConfirmingWorkerChannel channel(std::make_unique<RecordingChannel>(sent, worker.incarnation, worker.isFailing));
    const auto acknowledge = [&channel](std::int64_t acknowledged, std::int64_t knownIncarnation) {
        channel.readReport({ acknowledged, knownIncarnation, std::nullopt, Milliseconds(0) }, [](const auto &, const auto &) {});
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
