#include "workload/ConfirmingWorkerChannel.h"

#include "workload/ConfirmedConnection.h"

#include <algorithm>

namespace auburndoor {

ConfirmingWorkerChannel::ConfirmingWorkerChannel(WorkerConnectionFactory &connections,
                                                 const WorkerEntry &entry,
                                                 std::int64_t fencingToken)
{
    const auto create = [&] { return std::make_shared<ConfirmedConnection>(entry.id, connections.create(entry, fencingToken)); };
    std::generate(commandConnections_.begin(), commandConnections_.end(), create);
    reportConnection_ = create();
}

ConfirmingWorkerChannel::~ConfirmingWorkerChannel()
{
    for (const auto &connection : commandConnections_) {
        connection->close();
    }
    reportConnection_->close();
}

void ConfirmingWorkerChannel::start(const StartCommand &command,
                                    const LeaseDeadline &deadline,
                                    WorkerClient::CommandCallback callback)
{
    commandConnectionFor(deadline.incarnation).start(command, deadline, std::move(callback));
}

void ConfirmingWorkerChannel::stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback)
{
    idlestCommandConnection().stop(task, attempt, std::move(callback));
}

void ConfirmingWorkerChannel::throttle(const TaskName &task,
                                       std::int64_t attempt,
                                       int percent,
                                       WorkerClient::CommandCallback callback)
{
    idlestCommandConnection().throttle(task, attempt, percent, std::move(callback));
}

void ConfirmingWorkerChannel::readReport(const ReportRequest &request, WorkerClient::ReportCallback callback)
{
    // A request that waits would hold up commands on their connections.
    auto &connection = request.maxWait > Milliseconds(0) ? *reportConnection_ : commandConnectionFor(request.incarnation);
    connection.readReport(request, std::move(callback));
}

void ConfirmingWorkerChannel::update(const WorkerEntry &entry)
{
    for (const auto &connection : commandConnections_) {
        connection->update(entry);
    }
    reportConnection_->update(entry);
}

ConfirmedConnection &ConfirmingWorkerChannel::idlestCommandConnection()
{
    return **std::min_element(commandConnections_.begin(), commandConnections_.end(), [](const auto &left, const auto &right) {
        return left->pendingCount() < right->pendingCount();
    });
}

ConfirmedConnection &ConfirmingWorkerChannel::commandConnectionFor(std::int64_t incarnation)
{
    // A connection that is not confirmed costs one more round trip.
    const auto roundTripsBefore = [incarnation](const ConfirmedConnection &connection) {
        return connection.pendingCount() + (connection.isConfirmedFor(incarnation) ? 0 : 1);
    };
    auto &first = *commandConnections_.front();
    auto &second = *commandConnections_.back();
    const auto difference = roundTripsBefore(first) - roundTripsBefore(second);
    const bool isSecondBetter = difference > 0 || (difference == 0 && second.isConfirmedFor(incarnation) && !first.isConfirmedFor(incarnation));
    return isSecondBetter ? second : first;
}

} // namespace auburndoor
