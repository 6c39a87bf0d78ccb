#include "workload/ConfirmingWorkerChannel.h"

#include "net/Timers.h"
#include "workload/ConfirmedConnection.h"

#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace auburndoor {

/** Shared with the callbacks of commands in flight. */
struct ConfirmingWorkerChannel::State : std::enable_shared_from_this<ConfirmingWorkerChannel::State>
{
    /** A command that waits for a free connection. */
    struct WaitingCommand
    {
        std::int64_t incarnation = 0;
        /** On Timers::bootNow(). */
        TimePoint sendBy;
        std::function<void(ConfirmedConnection &connection)> send;
        /** Ends the command as not sent. */
        std::function<void()> giveUp;
    };

    State(Timers &timers,
          WorkerConnectionFactory &connections,
          const WorkerEntry &entry,
          std::int64_t fencingToken,
          std::size_t maxCommandConnections)
        : timers(timers)
        , connections(connections)
        , entry(entry)
        , fencingToken(fencingToken)
        , maxCommandConnections(maxCommandConnections)
        , reportConnection(createConnection())
    {
    }

    std::shared_ptr<ConfirmedConnection> createConnection() const
    {
        return std::make_shared<ConfirmedConnection>(timers, entry.id, connections.create(entry, fencingToken));
    }

    /** Sends waiting commands in order while a connection is free. */
    void dispatch();
    /** A connection that is confirmed for the incarnation, or another one; null if all are in use. */
    ConfirmedConnection *freeConnectionFor(std::int64_t incarnation);
    /** Sends a command over a free connection, or when one becomes free. */
    template<typename... Results, typename Send>
    void sendWhenFree(std::int64_t incarnation, std::function<void(const WorkerClient::Reply &, Results...)> callback, Send send)
    {
        const auto onReply = [self = shared_from_this(), callback](const WorkerClient::Reply &reply, Results... results) {
            callback(reply, results...);
            self->dispatch();
        };
        const auto giveUp = [callback] {
            callback({ CommandOutcome::NotSent, "no connection became free in time" }, std::remove_cvref_t<Results>()...);
        };
        waiting.push_back({ incarnation,
                            timers.bootNow() + ConfirmedConnection::maxDelayBeforeSending,
                            [send, onReply](ConfirmedConnection &connection) { send(connection, onReply); },
                            giveUp });
        dispatch();
    }

    Timers &timers;
    WorkerConnectionFactory &connections;
    WorkerEntry entry;
    std::int64_t fencingToken;
    std::size_t maxCommandConnections;
    /** For commands, and for reports that do not wait. */
    std::vector<std::shared_ptr<ConfirmedConnection>> commandConnections;
    std::shared_ptr<ConfirmedConnection> reportConnection;
    std::deque<WaitingCommand> waiting;
    bool isClosed = false;
};

ConfirmedConnection *ConfirmingWorkerChannel::State::freeConnectionFor(std::int64_t incarnation)
{
    ConfirmedConnection *found = nullptr;
    for (const auto &connection : commandConnections) {
        const bool isBetter = found == nullptr || (!found->isConfirmedFor(incarnation) && connection->isConfirmedFor(incarnation));
        if (connection->isIdle() && isBetter) {
            found = connection.get();
        }
    }
    if (found == nullptr && commandConnections.size() < maxCommandConnections) {
        found = commandConnections.emplace_back(createConnection()).get();
    }
    return found;
}

void ConfirmingWorkerChannel::State::dispatch()
{
    while (!waiting.empty()) {
        if (isClosed || waiting.front().sendBy <= timers.bootNow()) {
            timers.after(Milliseconds(0), std::move(waiting.front().giveUp));
            waiting.pop_front();
            continue;
        }
        auto *connection = freeConnectionFor(waiting.front().incarnation);
        if (connection == nullptr) {
            return;
        }
        const auto command = std::move(waiting.front());
        waiting.pop_front();
        command.send(*connection);
    }
}

ConfirmingWorkerChannel::ConfirmingWorkerChannel(Timers &timers,
                                                 WorkerConnectionFactory &connections,
                                                 const WorkerEntry &entry,
                                                 std::int64_t fencingToken,
                                                 std::size_t maxCommandConnections)
    : state_(std::make_shared<State>(timers, connections, entry, fencingToken, maxCommandConnections))
{
}

ConfirmingWorkerChannel::~ConfirmingWorkerChannel()
{
    state_->isClosed = true;
    for (const auto &connection : state_->commandConnections) {
        connection->close();
    }
    state_->reportConnection->close();
    state_->dispatch();
}

void ConfirmingWorkerChannel::start(const StartCommand &command,
                                    const LeaseDeadline &deadline,
                                    WorkerClient::CommandCallback callback)
{
    state_->sendWhenFree(deadline.incarnation,
                         std::move(callback),
                         [command, deadline](ConfirmedConnection &connection, const WorkerClient::CommandCallback &onReply) {
                             connection.start(command, deadline, onReply);
                         });
}

void ConfirmingWorkerChannel::stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback)
{
    state_->sendWhenFree(ConfirmedConnection::anyIncarnation,
                         std::move(callback),
                         [task, attempt](ConfirmedConnection &connection, const WorkerClient::CommandCallback &onReply) {
                             connection.stop(task, attempt, onReply);
                         });
}

void ConfirmingWorkerChannel::throttle(const TaskName &task,
                                       std::int64_t attempt,
                                       int percent,
                                       WorkerClient::CommandCallback callback)
{
    state_->sendWhenFree(ConfirmedConnection::anyIncarnation,
                         std::move(callback),
                         [task, attempt, percent](ConfirmedConnection &connection, const WorkerClient::CommandCallback &onReply) {
                             connection.throttle(task, attempt, percent, onReply);
                         });
}

void ConfirmingWorkerChannel::readReport(const ReportRequest &request, WorkerClient::ReportCallback callback)
{
    if (request.maxWait > Milliseconds(0)) {
        state_->reportConnection->readReport(request, std::move(callback));
        return;
    }
    state_->sendWhenFree(request.incarnation,
                         std::move(callback),
                         [request](ConfirmedConnection &connection, const WorkerClient::ReportCallback &onReply) {
                             connection.readReport(request, onReply);
                         });
}

void ConfirmingWorkerChannel::update(const WorkerEntry &entry)
{
    state_->entry = entry;
    for (const auto &connection : state_->commandConnections) {
        connection->update(entry);
    }
    state_->reportConnection->update(entry);
}

} // namespace auburndoor
