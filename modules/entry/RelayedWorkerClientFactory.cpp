#include "entry/RelayedWorkerClientFactory.h"

#include "entry/WorkerRelayLink.h"
#include "entry/WorkerRelayPool.h"
#include "net/Timers.h"
#include "workload/LeasedWorkerClient.h"
#include "workload/WorkerChannel.h"

namespace auburndoor {

namespace {

// How long a worker that has not answered its relay is reached directly.
constexpr Milliseconds directAfterSilence { 5000 };
// Direct connections that were not used for this time are closed while a relay leads to the worker. Longer than any request.
constexpr Milliseconds directIdleTimeout { 5000 };

/** Sends each command through the worker's relay or directly. */
class RoutedWorkerChannel : public WorkerChannel
{
public:
    RoutedWorkerChannel(Timers &timers,
                        std::shared_ptr<WorkerRoute> route,
                        WorkerChannelFactory &directChannels,
                        const WorkerEntry &entry,
                        std::int64_t fencingToken)
        : state_(std::make_shared<State>(timers, std::move(route), directChannels, entry, fencingToken))
    {
    }

    ~RoutedWorkerChannel() override
    {
        state_->isClosed = true;
        state_->directChannel.reset();
    }

    void start(const StartCommand &command, const LeaseDeadline &deadline, WorkerClient::CommandCallback callback) override
    {
        RelayCommand relayed;
        relayed.kind = RelayCommand::Kind::Start;
        relayed.task = command;
        relayed.deadline = deadline;
        state_->sendCommand(std::move(relayed), std::move(callback));
    }

    void stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback) override
    {
        RelayCommand relayed;
        relayed.kind = RelayCommand::Kind::Stop;
        relayed.task.task = task;
        relayed.task.attempt = attempt;
        state_->sendCommand(std::move(relayed), std::move(callback));
    }

    void throttle(const TaskName &task, std::int64_t attempt, int percent, WorkerClient::CommandCallback callback) override
    {
        RelayCommand relayed;
        relayed.kind = RelayCommand::Kind::Throttle;
        relayed.task.task = task;
        relayed.task.attempt = attempt;
        relayed.percent = percent;
        state_->sendCommand(std::move(relayed), std::move(callback));
    }

    void readReport(const ReportRequest &request, WorkerClient::ReportCallback callback) override
    {
        state_->sendReportRequest(request, std::move(callback));
    }

    void update(const WorkerEntry &entry) override
    {
        state_->entry = entry;
        if (state_->directChannel) {
            state_->directChannel->update(entry);
        }
    }

private:
    /** Shared with the callbacks of commands in flight. */
    struct State : std::enable_shared_from_this<State>
    {
        State(Timers &timers,
              std::shared_ptr<WorkerRoute> route,
              WorkerChannelFactory &directChannels,
              const WorkerEntry &entry,
              std::int64_t fencingToken)
            : timers(timers), route(std::move(route)), directChannels(directChannels), entry(entry), fencingToken(fencingToken)
        {
        }

        /** Null if the command is to be sent directly. */
        std::shared_ptr<WorkerRelayLink> usableLink()
        {
            const auto now = timers.now();
            if (!route->link || !route->link->isUsable() || now < directUntil) {
                return nullptr;
            }
            if (directChannel && now - directUsedAt > directIdleTimeout) {
                directChannel.reset();
            }
            return route->link;
        }

        WorkerChannel &direct()
        {
            directUsedAt = timers.now();
            if (!directChannel) {
                directChannel = directChannels.create(entry, fencingToken);
            }
            return *directChannel;
        }

        void sendCommand(RelayCommand command, WorkerClient::CommandCallback callback);
        void sendDirectly(const RelayCommand &command, WorkerClient::CommandCallback callback);
        void sendReportRequest(const ReportRequest &request, WorkerClient::ReportCallback callback);
        /** Reaches the worker directly for a while unless it has answered, or the relay failed as a whole. */
        void recordOutcome(const std::weak_ptr<WorkerRelayLink> &sentOver, RelayOutcome outcome, const RelayReply &reply)
        {
            const bool isAnswered = outcome == RelayOutcome::Answered && reply.reply.outcome != CommandOutcome::Unknown
                                    && reply.reply.outcome != CommandOutcome::NotSent;
            const auto link = sentOver.lock();
            if (!isAnswered && link && link->isUsable()) {
                directUntil = timers.now() + directAfterSilence;
            }
        }
        /** True if the command has not reached the worker and cannot reach it any more. */
        static bool isUnsent(RelayOutcome outcome, const RelayReply &reply)
        {
            return outcome == RelayOutcome::NotSent
                   || (outcome == RelayOutcome::Answered && reply.reply.outcome == CommandOutcome::NotSent);
        }

        Timers &timers;
        std::shared_ptr<WorkerRoute> route;
        WorkerChannelFactory &directChannels;
        WorkerEntry entry;
        std::int64_t fencingToken;
        /** Created by its first use. */
        std::unique_ptr<WorkerChannel> directChannel;
        TimePoint directUsedAt;
        /** No relay is used before this time. */
        TimePoint directUntil;
        bool isClosed = false;
    };

    std::shared_ptr<State> state_;
};

void RoutedWorkerChannel::State::sendDirectly(const RelayCommand &command, WorkerClient::CommandCallback callback)
{
    switch (command.kind) {
    case RelayCommand::Kind::Start:
        direct().start(command.task, command.deadline, std::move(callback));
        break;
    case RelayCommand::Kind::Stop:
        direct().stop(command.task.task, command.task.attempt, std::move(callback));
        break;
    case RelayCommand::Kind::Throttle:
        direct().throttle(command.task.task, command.task.attempt, command.percent, std::move(callback));
        break;
    case RelayCommand::Kind::Report:
        // Sent by sendReportRequest().
        break;
    }
}

void RoutedWorkerChannel::State::sendCommand(RelayCommand command, WorkerClient::CommandCallback callback)
{
    const auto link = usableLink();
    if (!link) {
        sendDirectly(command, std::move(callback));
        return;
    }
    link->send(command,
               entry,
               [self = shared_from_this(),
                sentOver = std::weak_ptr(link),
                incarnation = entry.incarnation,
                command,
                callback = std::move(callback)](RelayOutcome outcome, const RelayReply &reply) {
                   self->recordOutcome(sentOver, outcome, reply);
                   if (self->isClosed) {
                       callback({ CommandOutcome::Unknown, "the client was closed" });
                   } else if (isUnsent(outcome, reply) && incarnation != self->entry.incarnation) {
                       // It was meant for the earlier incarnation of the worker.
                       callback({ CommandOutcome::NotSent, "the worker has restarted" });
                   } else if (isUnsent(outcome, reply)) {
                       self->sendDirectly(command, callback);
                   } else if (outcome == RelayOutcome::Lost) {
                       callback({ CommandOutcome::Unknown, "no reply from the relay" });
                   } else {
                       callback(reply.reply);
                   }
               });
}

void RoutedWorkerChannel::State::sendReportRequest(const ReportRequest &request, WorkerClient::ReportCallback callback)
{
    const auto link = usableLink();
    if (!link) {
        direct().readReport(request, std::move(callback));
        return;
    }
    RelayCommand command;
    command.kind = RelayCommand::Kind::Report;
    command.report = request;
    link->send(std::move(command),
               entry,
               [self = shared_from_this(), sentOver = std::weak_ptr(link), request, callback = std::move(callback)](
                   RelayOutcome outcome, const RelayReply &reply) {
                   self->recordOutcome(sentOver, outcome, reply);
                   if (self->isClosed) {
                       callback({ CommandOutcome::Unknown, "the client was closed" }, {});
                   } else if (outcome == RelayOutcome::Lost || isUnsent(outcome, reply)) {
                       self->direct().readReport(request, callback);
                   } else if (reply.reply.outcome == CommandOutcome::Accepted && !reply.report) {
                       callback({ CommandOutcome::Unknown, "the relay has sent no report" }, {});
                   } else {
                       callback(reply.reply, reply.report.value_or(TaskReport()));
                   }
               });
}

} // namespace

RelayedWorkerClientFactory::RelayedWorkerClientFactory(Timers &timers,
                                                       WorkerRelayPool &pool,
                                                       WorkerChannelFactory &directChannels,
                                                       Milliseconds maxLease)
    : timers_(timers), pool_(pool), directChannels_(directChannels), maxLease_(maxLease)
{
}

std::unique_ptr<WorkerClient> RelayedWorkerClientFactory::create(const WorkerEntry &entry, std::int64_t fencingToken)
{
    pool_.setFencingToken(fencingToken);
    auto channel = std::make_unique<RoutedWorkerChannel>(
        timers_, pool_.addWorker(entry.id, entry.failureDomain), directChannels_, entry, fencingToken);
    return std::make_unique<LeasedWorkerClient>(timers_, entry, std::move(channel), maxLease_);
}

} // namespace auburndoor
