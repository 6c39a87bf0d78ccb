#include "dispatch/CommitQueue.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace auburndoor {

namespace {

// The store takes 100 entries in a transaction; two expectations and the sequence row are among them.
constexpr std::size_t maxRowsInTransaction = 90;
// While more urgent rows wait than that, some room is left to the others.
constexpr std::size_t maxUrgentRows = 75;
// The store takes 1 MB; values grow by a third in base64.
constexpr std::size_t maxBytesInTransaction = std::size_t(600) * 1024;
// The pause that gathers rows: an end costs its job this much at most, and the store sees at most 60 transactions a second.
constexpr Milliseconds gatherTime { 12 };
constexpr Milliseconds retryPause { 120 };
constexpr Milliseconds longestRetryPause { 500 };
// Without success for so long and with failures since, the store counts as away.
constexpr Milliseconds stallTime { 300 };

using RowName = std::pair<std::string, std::string>;

} // namespace

struct CommitQueue::Impl : std::enable_shared_from_this<CommitQueue::Impl>
{
    struct Entry
    {
        Value value;
        std::vector<Callback> durable;
    };
    /** A transaction that was put together; it is repeated as it is until its fate is known. */
    struct Transaction
    {
        StoreChange change;
        std::vector<Callback> durable;
        std::set<RowName> rows;
        std::string mark;
        TimePoint firstSentAt;
    };

    Impl(Timers &timers, StateStore &store) : timers(timers), store(store)
    {
    }

    void schedule(Milliseconds delay);
    void sendNext();
    void build();
    /** Takes the name of the next row for a transaction that holds some already. */
    RowName nextRow(std::size_t taken);
    void transmit();
    void onResult(StoreResult result);
    void onConflict(const StoreResult &result);
    void onApplied(std::int64_t sequence);
    void retry();

    Timers &timers;
    StateStore &store;
    std::string writer;
    std::int64_t epochVersion = 0;
    std::int64_t sequenceVersion = 0;
    Callback deposed;
    std::map<RowName, Entry> waiting;
    /** The names of what waits, in the order in which it was put. */
    std::deque<RowName> urgent;
    std::deque<RowName> routine;
    std::optional<Transaction> current;
    long long nextNumber = 1;
    long long sent = 0;
    Milliseconds pause = retryPause;
    TimePoint lastSuccess;
    bool hasFailed = false;
    bool isScheduled = false;
    bool isClosed = false;
};

void CommitQueue::Impl::schedule(Milliseconds delay)
{
    if (isScheduled || isClosed) {
        return;
    }
    isScheduled = true;
    timers.after(delay, [self = shared_from_this()] {
        self->isScheduled = false;
        self->sendNext();
    });
}

void CommitQueue::Impl::sendNext()
{
    if (isClosed || current || waiting.empty()) {
        return;
    }
    build();
    transmit();
}

void CommitQueue::Impl::build()
{
    Transaction transaction;
    transaction.mark = writer + "/" + std::to_string(nextNumber++);
    transaction.change.expected = { { FencingRows::table, FencingRows::epochKey, epochVersion },
                                    { FencingRows::table, FencingRows::sequenceKey, sequenceVersion } };
    transaction.change.writes.push_back({ FencingRows::table, FencingRows::sequenceKey, transaction.mark });
    transaction.firstSentAt = timers.now();
    std::size_t bytes = 0;
    while (!waiting.empty() && transaction.rows.size() < maxRowsInTransaction && bytes < maxBytesInTransaction) {
        const auto rowName = nextRow(transaction.rows.size());
        auto entry = std::move(waiting.at(rowName));
        waiting.erase(rowName);
        if (auto value = entry.value()) {
            bytes += value->size();
            transaction.change.writes.push_back({ rowName.first, rowName.second, std::move(*value) });
        } else {
            transaction.change.removals.push_back({ rowName.first, rowName.second, {} });
        }
        transaction.rows.insert(rowName);
        std::move(entry.durable.begin(), entry.durable.end(), std::back_inserter(transaction.durable));
    }
    current = std::move(transaction);
}

RowName CommitQueue::Impl::nextRow(std::size_t taken)
{
    const bool isUrgent = !urgent.empty() && (taken < maxUrgentRows || routine.empty());
    auto &order = isUrgent ? urgent : routine;
    auto rowName = std::move(order.front());
    order.pop_front();
    return rowName;
}

void CommitQueue::Impl::transmit()
{
    ++sent;
    store.commit(current->change, [self = shared_from_this()](StoreResult result) {
        if (!self->isClosed) {
            self->onResult(std::move(result));
        }
    });
}

void CommitQueue::Impl::onResult(StoreResult result)
{
    switch (result.outcome) {
    case StoreOutcome::Done:
        onApplied(result.version);
        return;
    case StoreOutcome::Conflict:
        onConflict(result);
        return;
    default:
        break;
    }
    if (!hasFailed) {
        EventLog::write("store.lost",
                        { { "outcome", name(result.outcome) }, { "detail", result.detail }, { "waiting", waiting.size() } });
    }
    hasFailed = true;
    retry();
}

void CommitQueue::Impl::retry()
{
    timers.after(pause, [self = shared_from_this()] {
        if (!self->isClosed && self->current) {
            self->transmit();
        }
    });
    pause = std::min(pause * 2, longestRetryPause);
}

void CommitQueue::Impl::onConflict(const StoreResult &result)
{
    for (const auto &row : result.rows) {
        if (row.key == FencingRows::sequenceKey && row.value == current->mark) {
            // An earlier sending of this transaction was applied and its answer lost.
            onApplied(row.version);
            return;
        }
    }
    EventLog::write("owner.deposed", { { "writer", writer }, { "by", "store conflict" } });
    isClosed = true;
    deposed();
}

void CommitQueue::Impl::onApplied(std::int64_t sequence)
{
    if (hasFailed) {
        EventLog::write("store.regained",
                        { { "away_ms", std::chrono::duration_cast<Milliseconds>(timers.now() - lastSuccess).count() } });
    }
    hasFailed = false;
    pause = retryPause;
    lastSuccess = timers.now();
    sequenceVersion = sequence;
    auto durable = std::move(current->durable);
    current.reset();
    for (const auto &callback : durable) {
        if (callback && !isClosed) {
            callback();
        }
    }
    if (!waiting.empty()) {
        schedule(gatherTime);
    }
}

CommitQueue::CommitQueue(Timers &timers,
                         StateStore &store,
                         std::string writer,
                         std::int64_t epochVersion,
                         std::int64_t sequenceVersion,
                         Callback deposed)
    : impl_(std::make_shared<Impl>(timers, store))
{
    impl_->writer = std::move(writer);
    impl_->epochVersion = epochVersion;
    impl_->sequenceVersion = sequenceVersion;
    impl_->deposed = std::move(deposed);
    impl_->lastSuccess = timers.now();
}

CommitQueue::~CommitQueue()
{
    close();
}

void CommitQueue::put(const std::string &table, const std::string &key, Value value, Callback durable, Urgency urgency)
{
    const RowName rowName { table, key };
    auto [found, isNew] = impl_->waiting.try_emplace(rowName);
    if (isNew) {
        (urgency == Urgency::Urgent ? impl_->urgent : impl_->routine).push_back(rowName);
    } else if (urgency == Urgency::Urgent && std::erase(impl_->routine, rowName) != 0) {
        impl_->urgent.push_back(rowName);
    }
    found->second.value = std::move(value);
    if (durable) {
        found->second.durable.push_back(std::move(durable));
    }
    if (!impl_->current) {
        impl_->schedule(gatherTime);
    }
}

bool CommitQueue::withdraw(const std::string &table, const std::string &key)
{
    const RowName rowName { table, key };
    if (impl_->waiting.erase(rowName) != 0) {
        std::erase(impl_->urgent, rowName);
        std::erase(impl_->routine, rowName);
        return !impl_->current || !impl_->current->rows.contains(rowName);
    }
    return false;
}

Milliseconds CommitQueue::stallDuration() const
{
    // A queue of rows that the store takes one transaction after the other is no silence.
    const auto now = impl_->timers.now();
    return std::chrono::duration_cast<Milliseconds>(now - (impl_->current ? impl_->current->firstSentAt : now));
}

bool CommitQueue::isStalled() const
{
    return impl_->hasFailed || stallDuration() > stallTime;
}

void CommitQueue::close()
{
    impl_->isClosed = true;
}

bool CommitQueue::isIdle() const
{
    return !impl_->current && impl_->waiting.empty();
}

long long CommitQueue::sentCount() const
{
    return impl_->sent;
}

} // namespace auburndoor
