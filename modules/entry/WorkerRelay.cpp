#include "entry/WorkerRelay.h"

#include "entry/WorkerRelayCodec.h"
#include "net/Timers.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <utility>

namespace auburndoor {

namespace {

// Replies that arrive close to each other share an answer: at the owner, messages cost more than what is in them.
constexpr Milliseconds gatherDelay { 10 };
// A command older than this has ended as unanswered at the owner, or is about to.
constexpr Milliseconds maxBatchAge { 400 };
// Connections to a worker are closed after this time without a command, and what was kept for an owner after its last message.
constexpr Milliseconds workerIdleTimeout { 30000 };
constexpr Milliseconds sessionIdleTimeout { 10000 };
constexpr Milliseconds cleanupInterval { 2000 };
// Two clocks drift apart by far less than maxBatchAge in this time.
constexpr Milliseconds differenceWindow { 10000 };
// A deposed owner and its successor, and one more.
constexpr std::size_t maxSessions = 3;

} // namespace

struct WorkerRelay::Impl : std::enable_shared_from_this<WorkerRelay::Impl>
{
    struct Worker
    {
        WorkerEntry entry;
        std::unique_ptr<WorkerChannel> channel;
        TimePoint lastUsedAt;
    };
    /** What is kept for one owner. */
    struct Session
    {
        /** RelayReplies::session. */
        std::int64_t id = 0;
        std::map<std::string, Worker> workers;
        std::vector<RelayReply> replies;
        /** The answer to the owner's last message; empty if it was given. */
        Answer answer;
        /** Counts the messages, so that a timer can tell whether its message was answered. */
        std::uint64_t round = 0;
        bool isAnswerScheduled = false;
        TimePoint lastMessageAt;
        /**
            The smallest differences between this process's clock and the owner's time of sending, in the present and the previous
            window, so that a slow drift of the clocks does not add up.
        */
        Milliseconds smallestDifference = Milliseconds::max();
        Milliseconds previousSmallestDifference = Milliseconds::max();
        TimePoint differenceWindowBegan;
    };

    Impl(Timers &timers, WorkerChannelFactory &channels, std::function<double()> processorShare, std::string failureDomain)
        : timers(timers), channels(channels), processorShare(std::move(processorShare)), failureDomain(std::move(failureDomain))
    {
    }

    Session &session(std::int64_t fencingToken);
    /** True if the batch has been on its way for too long, as after a suspension of this process. */
    bool isOutdated(Session &session, const RelayBatch &batch) const;
    void carryOut(std::int64_t fencingToken, const RelayBatch &batch);
    /** Replies that the commands of a batch were not carried out. */
    void refuse(const RelayBatch &batch);
    void execute(WorkerChannel &channel, std::int64_t fencingToken, const RelayCommand &command);
    /** Keeps a reply for the owner, and schedules the answer. */
    void addReply(std::int64_t fencingToken, RelayReply reply);
    void giveAnswer(Session &session);
    void holdAnswer(std::int64_t fencingToken, Answer answer);
    /** Gives up the sessions of the earliest owners if there are too many. */
    void limitSessions();
    /** Drops what was not used for a while, and schedules itself while anything is left. */
    void cleanUp();

    Timers &timers;
    WorkerChannelFactory &channels;
    std::function<double()> processorShare;
    std::string failureDomain;
    std::mt19937_64 random { std::random_device()() };
    /** By fencing token. */
    std::map<std::int64_t, Session> sessions;
    bool isCleanupScheduled = false;
    bool isClosed = false;
    long long batchCount = 0;
    long long commandCount = 0;
    long long outdatedCount = 0;
};

WorkerRelay::Impl::Session &WorkerRelay::Impl::session(std::int64_t fencingToken)
{
    auto &found = sessions[fencingToken];
    if (found.id == 0) {
        found.id = std::uniform_int_distribution<std::int64_t>(1, std::numeric_limits<std::int64_t>::max())(random);
    }
    found.lastMessageAt = timers.now();
    return found;
}

bool WorkerRelay::Impl::isOutdated(Session &session, const RelayBatch &batch) const
{
    // The epochs of the two clocks differ, so only the growth of their difference tells the time on the way. Both clocks advance
    // while a machine is suspended.
    const auto bootNow = std::chrono::duration_cast<Milliseconds>(timers.bootNow().time_since_epoch());
    const auto difference = bootNow - batch.sentAt;
    if (timers.now() - session.differenceWindowBegan > differenceWindow) {
        session.differenceWindowBegan = timers.now();
        session.previousSmallestDifference = std::exchange(session.smallestDifference, Milliseconds::max());
    }
    session.smallestDifference = std::min(session.smallestDifference, difference);
    return difference - std::min(session.smallestDifference, session.previousSmallestDifference) > maxBatchAge;
}

void WorkerRelay::Impl::execute(WorkerChannel &channel, std::int64_t fencingToken, const RelayCommand &command)
{
    ++commandCount;
    const auto onReply = [self = shared_from_this(), fencingToken, number = command.number](const WorkerClient::Reply &reply) {
        self->addReply(fencingToken, { number, reply });
    };
    switch (command.kind) {
    case RelayCommand::Kind::Start:
        channel.start(command.task, command.deadline, onReply);
        break;
    case RelayCommand::Kind::Stop:
        channel.stop(command.task.task, command.task.attempt, onReply);
        break;
    case RelayCommand::Kind::Throttle:
        channel.throttle(command.task.task, command.task.attempt, command.percent, onReply);
        break;
    case RelayCommand::Kind::Report:
        channel.readReport(command.report,
                           [self = shared_from_this(), fencingToken, number = command.number](const WorkerClient::Reply &reply,
                                                                                              const TaskReport &report) {
                               const bool isAccepted = reply.outcome == CommandOutcome::Accepted;
                               self->addReply(fencingToken, { number, reply, isAccepted ? std::optional(report) : std::nullopt });
                           });
        break;
    }
}

void WorkerRelay::Impl::carryOut(std::int64_t fencingToken, const RelayBatch &batch)
{
    auto &workers = session(fencingToken).workers;
    for (const auto &entry : batch.workers) {
        auto &worker = workers[entry.id];
        if (!worker.channel) {
            worker.channel = channels.create(entry, fencingToken);
        } else if (worker.entry.address != entry.address || worker.entry.incarnation != entry.incarnation) {
            worker.channel->update(entry);
        }
        worker.entry = entry;
        worker.lastUsedAt = timers.now();
    }
    for (const auto &command : batch.commands) {
        execute(*workers.at(command.worker).channel, fencingToken, command);
    }
}

void WorkerRelay::Impl::refuse(const RelayBatch &batch)
{
    if (batch.commands.empty()) {
        return;
    }
    outdatedCount += static_cast<long long>(batch.commands.size());
    EventLog::write("relay.outdated", { { "token", batch.fencingToken }, { "commands", batch.commands.size() } });
    for (const auto &command : batch.commands) {
        addReply(batch.fencingToken, { command.number, { CommandOutcome::NotSent, "the batch arrived late" } });
    }
}

void WorkerRelay::Impl::addReply(std::int64_t fencingToken, RelayReply reply)
{
    const auto found = sessions.find(fencingToken);
    if (isClosed || found == sessions.end()) {
        return;
    }
    auto &session = found->second;
    session.replies.push_back(std::move(reply));
    if (!session.answer || std::exchange(session.isAnswerScheduled, true)) {
        return;
    }
    timers.after(gatherDelay, [self = shared_from_this(), fencingToken] {
        if (const auto scheduled = self->sessions.find(fencingToken); scheduled != self->sessions.end()) {
            scheduled->second.isAnswerScheduled = false;
            self->giveAnswer(scheduled->second);
        }
    });
}

void WorkerRelay::Impl::giveAnswer(Session &session)
{
    if (!session.answer) {
        return;
    }
    const auto answer = std::exchange(session.answer, nullptr);
    answer(200,
           WorkerRelayCodec::encodeReplies({ session.id, processorShare(), failureDomain, std::exchange(session.replies, {}) }));
}

void WorkerRelay::Impl::holdAnswer(std::int64_t fencingToken, Answer answer)
{
    auto &held = session(fencingToken);
    giveAnswer(held);
    held.answer = std::move(answer);
    const auto round = ++held.round;
    const auto delay = held.replies.empty() ? maxAnswerDelay : gatherDelay;
    timers.after(delay, [self = shared_from_this(), fencingToken, round] {
        const auto found = self->sessions.find(fencingToken);
        if (found != self->sessions.end() && found->second.round == round) {
            self->giveAnswer(found->second);
        }
    });
}

void WorkerRelay::Impl::limitSessions()
{
    while (sessions.size() > maxSessions) {
        // The lowest token belongs to the earliest owner.
        giveAnswer(sessions.begin()->second);
        sessions.erase(sessions.begin());
    }
}

void WorkerRelay::Impl::cleanUp()
{
    const auto now = timers.now();
    std::erase_if(sessions, [now](const auto &entry) { return now - entry.second.lastMessageAt > sessionIdleTimeout; });
    for (auto &[token, session] : sessions) {
        std::erase_if(session.workers, [now](const auto &entry) { return now - entry.second.lastUsedAt > workerIdleTimeout; });
    }
    isCleanupScheduled = !sessions.empty() && !isClosed;
    if (isCleanupScheduled) {
        timers.after(cleanupInterval, [self = shared_from_this()] { self->cleanUp(); });
    }
}

WorkerRelay::WorkerRelay(Timers &timers,
                         WorkerChannelFactory &channels,
                         std::function<double()> processorShare,
                         std::string failureDomain)
    : impl_(std::make_shared<Impl>(timers, channels, std::move(processorShare), std::move(failureDomain)))
{
}

WorkerRelay::~WorkerRelay()
{
    impl_->isClosed = true;
    impl_->sessions.clear();
}

void WorkerRelay::serve(const std::string &message, Answer answer)
{
    std::string error;
    const auto batch = WorkerRelayCodec::decodeBatch(message, error);
    if (!batch) {
        EventLog::write("relay.malformed", { { "bytes", message.size() }, { "detail", error } });
        answer(400, {});
        return;
    }
    ++impl_->batchCount;
    auto &session = impl_->session(batch->fencingToken);
    const bool isOutdated = impl_->isOutdated(session, *batch);
    if (isOutdated || batch->session != session.id) {
        impl_->refuse(*batch);
    } else {
        impl_->carryOut(batch->fencingToken, *batch);
    }
    impl_->holdAnswer(batch->fencingToken, std::move(answer));
    impl_->limitSessions();
    if (!impl_->isCleanupScheduled) {
        impl_->cleanUp();
    }
}

void WorkerRelay::updateMetrics(Metrics &metrics) const
{
    std::size_t workerCount = 0;
    for (const auto &[token, session] : impl_->sessions) {
        workerCount += session.workers.size();
    }
    metrics.setGauge("relay_workers", static_cast<double>(workerCount));
    metrics.setGauge("relay_batches", static_cast<double>(impl_->batchCount));
    metrics.setGauge("relay_commands", static_cast<double>(impl_->commandCount));
    metrics.setGauge("relay_commands_outdated", static_cast<double>(impl_->outdatedCount));
}

} // namespace auburndoor
