#include "entry/DesiredStateRefresh.h"

#include "net/Timers.h"
#include "observability/EventLog.h"
#include "workload/StateStore.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace auburndoor {

namespace {

// A reply that is lost must not hold up the next request, and requests without replies must not take all connections to the store.
constexpr int maxUnanswered = 2;
constexpr Milliseconds lineInterval { 1000 };

} // namespace

struct DesiredStateRefresh::Impl : std::enable_shared_from_this<DesiredStateRefresh::Impl>
{
    struct Waiting
    {
        TimePoint arrivedAt;
        std::size_t bytes = 0;
        std::function<void()> action;
    };

    Impl(Timers &timers,
         StateStore &store,
         Key key,
         std::function<std::int64_t()> knownVersion,
         ReadCallback read,
         RefreshLimits limits)
        : timers(timers)
        , store(store)
        , key(std::move(key))
        , knownVersion(std::move(knownVersion))
        , read(std::move(read))
        , limits(limits)
    {
    }

    /** Schedules a request if actions wait for whom none is under way. */
    void scheduleRequest();
    void sendRequest();
    /** Reads the row itself. @param requestedAt when the row was asked for first */
    void readRow(TimePoint requestedAt);
    void onReply(const StoreResult &result, TimePoint requestedAt);
    /** Runs the actions that arrived until then. */
    void runUntil(TimePoint lastArrival);
    /** Runs an action without a new row, unless it has run. */
    void runUnconfirmed(std::uint64_t number);
    void reportUnconfirmed(const char *why);

    Timers &timers;
    StateStore &store;
    Key key;
    std::function<std::int64_t()> knownVersion;
    ReadCallback read;
    RefreshLimits limits;
    /** In the order of their arrival, by number. */
    std::map<std::uint64_t, Waiting> waiting;
    std::size_t waitingBytes = 0;
    std::uint64_t lastNumber = 0;
    /** When the last request was sent. */
    std::optional<TimePoint> sentAt;
    /** When the newest request with a reply was sent. */
    std::optional<TimePoint> freshAsOf;
    /** How the last request without a row failed. */
    std::string lastFailure;
    int unanswered = 0;
    TimePoint nextLineAt;
    bool isRequestScheduled = false;
    bool isClosed = false;
};

void DesiredStateRefresh::Impl::scheduleRequest()
{
    if (isRequestScheduled || waiting.empty() || unanswered >= maxUnanswered) {
        return;
    }
    const auto lastArrival = waiting.rbegin()->second.arrivedAt;
    if (unanswered > 0 && lastArrival <= *sentAt + limits.maxAge) {
        return;
    }
    const auto now = timers.now();
    const auto dueAt = sentAt ? std::max(now, *sentAt + limits.interval) : now;
    isRequestScheduled = true;
    timers.after(std::chrono::ceil<Milliseconds>(dueAt - now), [self = shared_from_this()] {
        self->isRequestScheduled = false;
        if (!self->isClosed && !self->waiting.empty()) {
            self->sendRequest();
        }
    });
}

void DesiredStateRefresh::Impl::sendRequest()
{
    sentAt = timers.now();
    ++unanswered;
    const auto version = knownVersion();
    if (version == 0) {
        readRow(*sentAt);
        return;
    }
    store.changes(
        key.table, version, Milliseconds(0), [self = shared_from_this(), requestedAt = *sentAt](const StoreResult &result) {
            if (self->isClosed) {
                return;
            }
            if (result.outcome == StoreOutcome::HistoryCompacted) {
                self->readRow(requestedAt);
            } else {
                self->onReply(result, requestedAt);
            }
        });
}

void DesiredStateRefresh::Impl::readRow(TimePoint requestedAt)
{
    store.readRow(key.table, key.key, [self = shared_from_this(), requestedAt](const StoreResult &result) {
        if (!self->isClosed) {
            self->onReply(result, requestedAt);
        }
    });
}

void DesiredStateRefresh::Impl::onReply(const StoreResult &result, TimePoint requestedAt)
{
    --unanswered;
    if (result.outcome == StoreOutcome::Done) {
        read(result);
        freshAsOf = std::max(freshAsOf.value_or(requestedAt), requestedAt);
        lastFailure.clear();
        runUntil(requestedAt + limits.maxAge);
    } else {
        lastFailure = result.detail;
    }
    scheduleRequest();
}

void DesiredStateRefresh::Impl::runUntil(TimePoint lastArrival)
{
    std::vector<std::function<void()>> actions;
    while (!waiting.empty() && waiting.begin()->second.arrivedAt <= lastArrival) {
        waitingBytes -= waiting.begin()->second.bytes;
        actions.push_back(std::move(waiting.begin()->second.action));
        waiting.erase(waiting.begin());
    }
    for (const auto &action : actions) {
        action();
    }
}

void DesiredStateRefresh::Impl::runUnconfirmed(std::uint64_t number)
{
    const auto found = waiting.find(number);
    if (isClosed || found == waiting.end()) {
        return;
    }
    reportUnconfirmed("no answer");
    waitingBytes -= found->second.bytes;
    const auto action = std::move(found->second.action);
    waiting.erase(found);
    action();
}

void DesiredStateRefresh::Impl::reportUnconfirmed(const char *why)
{
    const auto now = timers.now();
    if (now >= nextLineAt) {
        nextLineAt = now + lineInterval;
        EventLog::writeRateLimited(
            "desired.unconfirmed",
            { { "why", why }, { "waiting", waiting.size() }, { "bytes", waitingBytes }, { "detail", lastFailure } });
    }
}

DesiredStateRefresh::DesiredStateRefresh(Timers &timers,
                                         StateStore &store,
                                         Key key,
                                         std::function<std::int64_t()> knownVersion,
                                         ReadCallback read,
                                         RefreshLimits limits)
    : impl_(std::make_shared<Impl>(timers, store, std::move(key), std::move(knownVersion), std::move(read), limits))
{
}

DesiredStateRefresh::~DesiredStateRefresh()
{
    impl_->isClosed = true;
}

void DesiredStateRefresh::runWhenFresh(std::size_t bytes, std::function<void()> action)
{
    auto &impl = *impl_;
    const auto now = impl.timers.now();
    if (impl.freshAsOf && now <= *impl.freshAsOf + impl.limits.maxAge) {
        action();
        return;
    }
    if (impl.waiting.size() >= impl.limits.maxWaiting || impl.waitingBytes + bytes > impl.limits.maxWaitingBytes) {
        impl.reportUnconfirmed("too many calls wait");
        action();
        return;
    }
    const auto number = ++impl.lastNumber;
    impl.waiting.emplace(number, Impl::Waiting { now, bytes, std::move(action) });
    impl.waitingBytes += bytes;
    impl.timers.after(impl.limits.timeout, [impl = impl_, number] { impl->runUnconfirmed(number); });
    impl.scheduleRequest();
}

} // namespace auburndoor
