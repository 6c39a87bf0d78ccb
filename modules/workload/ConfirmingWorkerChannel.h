#pragma once

#include "workload/WorkerChannel.h"

#include <array>
#include <memory>

namespace auburndoor {

class ConfirmedConnection;
class WorkerConnectionFactory;

/**
    A channel whose deadlines and acknowledgements reach only the incarnation of the worker that they name.

    A worker that restarts under its id takes commands that were meant for its earlier incarnation: it has the same address and id,
    has seen no fencing token, and its clock and the numbers of its ends begin anew. It would take a deadline for one far in the
    future, and grant the longest lease, and would forget ends that nobody has read. What tells the incarnations apart is the
    connection, which ends with the incarnation that it leads to (ConfirmedConnection).
*/
class ConfirmingWorkerChannel : public WorkerChannel
{
public:
    /** @param connections must exist until the constructor has returned */
    ConfirmingWorkerChannel(WorkerConnectionFactory &connections, const WorkerEntry &entry, std::int64_t fencingToken);
    ~ConfirmingWorkerChannel() override;

    void start(const StartCommand &command, const LeaseDeadline &deadline, WorkerClient::CommandCallback callback) override;
    void stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback) override;
    void throttle(const TaskName &task, std::int64_t attempt, int percent, WorkerClient::CommandCallback callback) override;
    void readReport(const ReportRequest &request, WorkerClient::ReportCallback callback) override;
    void update(const WorkerEntry &entry) override;

private:
    /** The connection for a command to any incarnation: the one with the fewest commands without a reply. */
    ConfirmedConnection &idlestCommandConnection();
    /** The connection on which a command to this incarnation is expected to be sent first. */
    ConfirmedConnection &commandConnectionFor(std::int64_t incarnation);

    /** For commands, and for reports that do not wait. */
    std::array<std::shared_ptr<ConfirmedConnection>, 2> commandConnections_;
    /** For reports that wait until a task ends. */
    std::shared_ptr<ConfirmedConnection> reportConnection_;
};

} // namespace auburndoor
