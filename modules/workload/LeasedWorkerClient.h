#pragma once

#include "workload/WorkerClient.h"

#include <memory>

namespace auburndoor {

class Timers;
class WorkerChannel;

/** Sends the commands of a WorkerClient over a channel, and computes the deadlines of leases. */
class LeasedWorkerClient : public WorkerClient
{
public:
    /** @param maxLease the longest lease that a worker accepts; longer ones are shortened to it */
    LeasedWorkerClient(Timers &timers, const WorkerEntry &entry, std::unique_ptr<WorkerChannel> channel, Milliseconds maxLease);
    ~LeasedWorkerClient() override;

    void start(const StartCommand &command, Milliseconds lease, CommandCallback callback) override;
    void stop(const TaskName &task, std::int64_t attempt, CommandCallback callback) override;
    void throttle(const TaskName &task, std::int64_t attempt, int percent, CommandCallback callback) override;
    void renewLeases(std::int64_t acknowledged, Milliseconds lease, Milliseconds maxWait, ReportCallback callback) override;
    TimePoint leaseEnd() const override;
    void update(const WorkerEntry &entry) override;

private:
    struct State;

    /** Wraps a callback so that the reply's reading of the worker's clock is recorded first. */
    CommandCallback recordClock(CommandCallback callback) const;

    std::shared_ptr<State> state_;
    std::unique_ptr<WorkerChannel> channel_;
};

} // namespace auburndoor
