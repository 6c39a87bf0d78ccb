#include "entry/WorkerRelayLink.h"

#include "entry/RelayTransport.h"
#include "entry/WorkerRelay.h"
#include "entry/WorkerRelayCodec.h"
#include "net/Timers.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>
#include <utility>

namespace auburndoor {

namespace {

// A round of placement sends its starts within about a millisecond; they and what came before them share a message.
constexpr Milliseconds urgentFlushDelay { 3 };
// Requests for reports wait at the worker anyway, so that a short delay costs little.
constexpr Milliseconds reportFlushDelay { 15 };
// One message waits at the relay for replies while the next one is on its way.
constexpr int maxOpenMessages = 2;
constexpr std::size_t maxCommandsInMessage = 400;
// Well below the size of a request that a listener accepts.
constexpr std::size_t maxPayloadBytesInMessage = std::size_t(256) * 1024;
// Beyond the time that the relay holds a message: a retransmission and a relay whose processor share is used up.
constexpr Milliseconds answerMargin { 400 };
// How long a relay waits for the worker's reply to a command, or to a request for a report beyond the worker's own wait.
constexpr Milliseconds workerReplyTime { 400 };
// Gathering at both ends, and the way there and back.
constexpr Milliseconds hopAllowance { 300 };
constexpr Milliseconds expiryCheckInterval { 100 };
// After this time a relay that has failed is introduced again; one that does not know the message is of an earlier release.
constexpr Milliseconds failureBackoff { 2000 };
constexpr Milliseconds refusalBackoff { 30000 };

/** Numbers are not used again: a relay sends replies to the commands of a former link with the answers to the next one. */
std::int64_t nextCommandNumber()
{
    static std::atomic<std::int64_t> last { 0 };
    return ++last;
}

} // namespace

struct WorkerRelayLink::Impl : std::enable_shared_from_this<WorkerRelayLink::Impl>
{
    struct WaitingCommand
    {
        RelayCommand command;
        WorkerEntry worker;
    };
    /** A command without a reply. */
    struct OpenCommand
    {
        Callback callback;
        TimePoint givenAt;
        TimePoint deadline;
        bool isReport = false;
    };

    Impl(Timers &timers, RelayTransport &transport, Address relay, std::int64_t fencingToken)
        : timers(timers), transport(transport), relay(std::move(relay)), fencingToken(fencingToken)
    {
    }

    /** Sends a message no later than after this delay. */
    void scheduleFlush(Milliseconds delay);
    void flush();
    /** Takes the first waiting commands, as many as one message may have. */
    RelayBatch takeBatch();
    void onAnswer(const SendResult &sent, const std::vector<std::int64_t> &numbers);
    void onReplies(RelayReplies replies);
    /** Ends all commands. @param refused the numbers of commands that the relay has not received or has refused */
    void fail(const std::string &detail, Milliseconds backoff, const std::set<std::int64_t> &refused);
    void scheduleExpiryCheck();
    void checkExpiry();
    /** Ends the commands whose deadline has passed by this time. */
    void expire(TimePoint now);

    Timers &timers;
    RelayTransport &transport;
    Address relay;
    std::int64_t fencingToken;
    /** RelayReplies::session of the last answer. */
    std::int64_t session = 0;
    double processorShare = 0;
    std::string failureDomain;
    RelayLinkStatistics statistics;
    std::vector<WaitingCommand> waiting;
    /** By number, with those that wait. */
    std::map<std::int64_t, OpenCommand> openCommands;
    int openMessages = 0;
    /** When the next message is to be sent; TimePoint() if none is scheduled. */
    TimePoint flushAt;
    TimePoint avoidUntil;
    /** Answers to messages of an earlier round are ignored; it begins anew with each failure. */
    std::uint64_t round = 0;
    bool isIntroduced = false;
    bool isExpiryCheckScheduled = false;
};

void WorkerRelayLink::Impl::scheduleFlush(Milliseconds delay)
{
    const auto target = timers.now() + delay;
    if (flushAt != TimePoint() && flushAt <= target) {
        return;
    }
    flushAt = target;
    timers.after(delay, [self = shared_from_this(), target] {
        if (self->flushAt == target) {
            self->flush();
        }
    });
}

RelayBatch WorkerRelayLink::Impl::takeBatch()
{
    RelayBatch batch;
    batch.fencingToken = fencingToken;
    batch.session = session;
    batch.sentAt = std::chrono::duration_cast<Milliseconds>(timers.bootNow().time_since_epoch());
    std::set<std::string> named;
    std::size_t taken = 0;
    std::size_t payloadBytes = 0;
    while (taken < waiting.size() && taken < maxCommandsInMessage && payloadBytes < maxPayloadBytesInMessage) {
        auto &next = waiting[taken++];
        payloadBytes += next.command.task.payload.size() + next.command.task.checkpoint.size();
        if (named.insert(next.worker.id).second) {
            batch.workers.push_back(std::move(next.worker));
        }
        batch.commands.push_back(std::move(next.command));
    }
    waiting.erase(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(taken));
    return batch;
}

void WorkerRelayLink::Impl::flush()
{
    flushAt = TimePoint();
    if (openMessages >= maxOpenMessages) {
        // The next answer sends what waits.
        return;
    }
    const auto batch = takeBatch();
    std::vector<std::int64_t> numbers;
    for (const auto &command : batch.commands) {
        numbers.push_back(command.number);
    }
    ++openMessages;
    ++statistics.batches;
    statistics.commands += static_cast<long long>(numbers.size());
    transport.send(relay,
                   WorkerRelayCodec::encodeBatch(batch),
                   WorkerRelay::maxAnswerDelay + answerMargin,
                   [self = shared_from_this(), sentRound = round, numbers = std::move(numbers)](const SendResult &sent) {
                       if (self->round == sentRound) {
                           self->onAnswer(sent, numbers);
                       }
                   });
    if (!waiting.empty()) {
        scheduleFlush(Milliseconds(0));
    }
}

void WorkerRelayLink::Impl::onAnswer(const SendResult &sent, const std::vector<std::int64_t> &numbers)
{
    --openMessages;
    const std::set<std::int64_t> sentNumbers(numbers.begin(), numbers.end());
    if (sent.outcome != SendOutcome::Answered) {
        fail(sent.error, failureBackoff, sent.outcome == SendOutcome::NotSent ? sentNumbers : std::set<std::int64_t>());
        return;
    }
    if (sent.reply.status != 200) {
        fail("status " + std::to_string(sent.reply.status), refusalBackoff, sentNumbers);
        return;
    }
    std::string error;
    auto replies = WorkerRelayCodec::decodeReplies(sent.reply.body, error);
    if (!replies) {
        fail(error, refusalBackoff, {});
        return;
    }
    onReplies(std::move(*replies));
}

void WorkerRelayLink::Impl::onReplies(RelayReplies replies)
{
    isIntroduced = true;
    session = replies.session;
    processorShare = replies.processorShare;
    failureDomain = std::move(replies.failureDomain);
    for (const auto &reply : replies.replies) {
        // Replies to commands that have ended as lost are ignored.
        const auto found = openCommands.find(reply.number);
        if (found == openCommands.end()) {
            continue;
        }
        const auto command = std::move(found->second);
        openCommands.erase(found);
        if (!command.isReport) {
            ++statistics.commandReplies;
            statistics.commandTime += std::chrono::duration_cast<Milliseconds>(timers.now() - command.givenAt);
        }
        command.callback(RelayOutcome::Answered, reply);
    }
    if (openMessages == 0 && !openCommands.empty()) {
        scheduleFlush(reportFlushDelay);
    } else if (!waiting.empty() && flushAt == TimePoint()) {
        scheduleFlush(Milliseconds(0));
    }
}

void WorkerRelayLink::Impl::fail(const std::string &detail, Milliseconds backoff, const std::set<std::int64_t> &refused)
{
    EventLog::write("relay.failed", { { "relay", relay.text() }, { "commands", openCommands.size() }, { "detail", detail } });
    ++statistics.failures;
    ++round;
    openMessages = 0;
    isIntroduced = false;
    avoidUntil = timers.now() + backoff;
    flushAt = TimePoint();
    auto unsent = refused;
    for (const auto &command : std::exchange(waiting, {})) {
        unsent.insert(command.command.number);
    }
    for (const auto &[number, command] : std::exchange(openCommands, {})) {
        command.callback(unsent.contains(number) ? RelayOutcome::NotSent : RelayOutcome::Lost, {});
    }
}

void WorkerRelayLink::Impl::scheduleExpiryCheck()
{
    if (!std::exchange(isExpiryCheckScheduled, true)) {
        timers.after(expiryCheckInterval, [self = shared_from_this()] { self->checkExpiry(); });
    }
}

void WorkerRelayLink::Impl::checkExpiry()
{
    isExpiryCheckScheduled = false;
    if (openCommands.empty()) {
        return;
    }
    scheduleExpiryCheck();
    // After a stall of this process, answers that have arrived meanwhile are handled before commands expire.
    timers.after(Milliseconds(0), [self = shared_from_this(), now = timers.now()] { self->expire(now); });
}

void WorkerRelayLink::Impl::expire(TimePoint now)
{
    std::vector<Callback> expired;
    for (auto &[number, command] : openCommands) {
        if (command.deadline <= now) {
            expired.push_back(std::move(command.callback));
        }
    }
    if (expired.empty()) {
        return;
    }
    std::erase_if(openCommands, [now](const auto &entry) { return entry.second.deadline <= now; });
    EventLog::writeRateLimited("relay.late", { { "relay", relay.text() }, { "commands", expired.size() } });
    for (const auto &callback : expired) {
        callback(RelayOutcome::Lost, {});
    }
}

WorkerRelayLink::WorkerRelayLink(Timers &timers, RelayTransport &transport, Address relay, std::int64_t fencingToken)
    : impl_(std::make_shared<Impl>(timers, transport, std::move(relay), fencingToken))
{
}

// Timers and messages keep what is needed to end the open commands.
WorkerRelayLink::~WorkerRelayLink() = default;

bool WorkerRelayLink::introduce()
{
    if (impl_->openMessages > 0 || impl_->avoidUntil > impl_->timers.now()) {
        return false;
    }
    impl_->flush();
    return true;
}

bool WorkerRelayLink::isUsable() const
{
    return impl_->isIntroduced;
}

void WorkerRelayLink::send(RelayCommand command, const WorkerEntry &worker, Callback callback)
{
    const auto now = impl_->timers.now();
    const bool isReport = command.kind == RelayCommand::Kind::Report;
    command.number = nextCommandNumber();
    command.worker = worker.id;
    const auto deadline = now + (isReport ? command.report.maxWait : Milliseconds(0)) + workerReplyTime + hopAllowance;
    impl_->openCommands.emplace(command.number, Impl::OpenCommand { std::move(callback), now, deadline, isReport });
    impl_->waiting.push_back({ std::move(command), worker });
    impl_->scheduleFlush(isReport ? reportFlushDelay : urgentFlushDelay);
    impl_->scheduleExpiryCheck();
}

const Address &WorkerRelayLink::relay() const
{
    return impl_->relay;
}

double WorkerRelayLink::processorShare() const
{
    return impl_->processorShare;
}

const std::string &WorkerRelayLink::failureDomain() const
{
    return impl_->failureDomain;
}

const RelayLinkStatistics &WorkerRelayLink::statistics() const
{
    return impl_->statistics;
}

} // namespace auburndoor
