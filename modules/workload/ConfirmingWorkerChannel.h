#pragma once

#include "workload/WorkerChannel.h"

#include <memory>

namespace auburndoor {

class Timers;
class WorkerConnectionFactory;

/**
    A channel whose deadlines and acknowledgements reach only the incarnation of the worker that they name.

    A worker that restarts under its id takes commands that were meant for its earlier incarnation: it has the same address and id,
    has seen no fencing token, and its clock and the numbers of its ends begin anew. It would take a deadline for one far in the
    future, and grant the longest lease, and would forget ends that nobody has read. What tells the incarnations apart is the
    connection, which ends with the incarnation that it leads to (ConfirmedConnection).

    Commands wait together for the first connection that is free. Reports that wait for an end have a connection of their own.
*/
class ConfirmingWorkerChannel : public WorkerChannel
{
public:
    /** The number of connections for commands. */
    static constexpr std::size_t defaultCommandConnections = 2;

    /** @param connections must exist for as long as this does; connections are created when they are needed */
    ConfirmingWorkerChannel(Timers &timers,
                            WorkerConnectionFactory &connections,
                            const WorkerEntry &entry,
                            std::int64_t fencingToken,
                            std::size_t maxCommandConnections = defaultCommandConnections);
    ~ConfirmingWorkerChannel() override;

    void start(const StartCommand &command, const LeaseDeadline &deadline, WorkerClient::CommandCallback callback) override;
    void stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback) override;
    void throttle(const TaskName &task, std::int64_t attempt, int percent, WorkerClient::CommandCallback callback) override;
    void readReport(const ReportRequest &request, WorkerClient::ReportCallback callback) override;
    void update(const WorkerEntry &entry) override;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace auburndoor
