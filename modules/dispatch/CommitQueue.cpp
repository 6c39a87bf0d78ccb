#include "dispatch/CommitQueue.h"

#include "dispatch/WaitingRows.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace auburndoor {

namespace {

// The store accepts 100 entries in a transaction, and the two expected rows and the sequence row count too.
constexpr std::size_t maxRowsInTransaction = 90;
// The store accepts 1 MB in a transaction, and base64 makes values a third longer.
constexpr std::size_t maxBytesInTransaction = std::size_t(600) * 1024;
// The delay that gathers rows into one transaction. The end of a task delays its job by at most this, and the store gets at most 60
// transactions a second.
constexpr Milliseconds batchDelay { 12 };
// Routine rows wait this long, so that the ends of a job's tasks that come close to each other are written as one row. Workers are
// asked for the next ends after 120 ms, by when these should be stored.
constexpr Milliseconds routineDelay { 40 };
// Other processes replace an owner that the store does not serve once it has answered two of their calls, some 250 ms apart. An
// owner that tried again later than that would be replaced at the end of every outage.
constexpr Milliseconds retryDelay { 120 };
// A transaction without success for longer than this counts as stalled.
constexpr Milliseconds stallThreshold { 300 };
// A row that the store does not take may shrink, as when its job ends.
constexpr Milliseconds setAsideDelay { 5000 };

} // namespace

struct CommitQueue::Impl : std::enable_shared_from_this<CommitQueue::Impl>
{
    /** A transaction in flight; it is sent again unchanged until its outcome is known. */
    struct Transaction
    {
        StoreChange change;
        std::vector<std::pair<RowName, WaitingRow>> rows;
        /** What it writes to the sequence row; identifies the transaction. */
        std::string sequenceValue;
        TimePoint firstSentAt;
    };

    Impl(Timers &timers, StateStore &store) : timers(timers), store(store)
    {
    }

    /** Calls sendNext() after the delay, unless a call is scheduled. */
    void schedule(Milliseconds delay);
    /** Makes the routine rows due after routineDelay, unless that is scheduled. */
    void scheduleRoutine();
    /** Builds and sends a transaction if rows are waiting and none is in flight. */
    void sendNext();
    /** Puts the due rows into a transaction, as many as it takes; it has none if the store takes none of them. */
    Transaction buildTransaction();
    /** Adds the value of a row to a transaction. @return its size; empty if the row is too large and was set aside */
    std::optional<std::size_t> addRow(Transaction &transaction, const RowName &rowName, WaitingRow &row);
    void sendTransaction();
    void onResult(StoreResult result, CallTime sentAt);
    /** Sends the rows of a transaction that the store does not take again in smaller ones, and sets aside a row that is alone. */
    void onRejected(const StoreResult &result);
    /** Keeps a row from holding up the others. @param detail why the store does not take it */
    void setAside(const RowName &rowName, WaitingRow row, const std::string &detail);
    /** Tells an applied transaction whose answer was lost from one that another owner has fenced off. */
    void onConflict(const StoreResult &result);
    /** @param sequence the new version of the sequence row */
    void onApplied(std::int64_t sequence);
    /** Sends the transaction in flight again after a delay. */
    void retry();

    Timers &timers;
    StateStore &store;
    std::string writer;
    std::int64_t epochVersion = 0;
    std::int64_t sequenceVersion = 0;
    Callback deposed;
    std::function<void(CallTime sentAt)> appliedCallback;
    std::size_t maxRowBytes = defaultMaxRowBytes;
    WaitingRows waitingRows;
    std::optional<Transaction> inFlight;
    long long nextTransactionNumber = 1;
    long long sentTransactions = 0;
    long long rejectedRows = 0;
    /** The most rows of the next transaction; fewer after one that the store has rejected. */
    std::size_t rowLimit = maxRowsInTransaction;
    TimePoint lastSuccess;
    bool hasFailed = false;
    bool isScheduled = false;
    bool isRoutineScheduled = false;
    bool isReleaseScheduled = false;
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

void CommitQueue::Impl::scheduleRoutine()
{
    if (std::exchange(isRoutineScheduled, true)) {
        return;
    }
    timers.after(routineDelay, [self = shared_from_this()] {
        self->isRoutineScheduled = false;
        self->waitingRows.releaseRoutine();
        self->sendNext();
    });
}

void CommitQueue::Impl::sendNext()
{
    if (isClosed || inFlight || !waitingRows.hasDue()) {
        return;
    }
    auto transaction = buildTransaction();
    if (!transaction.rows.empty()) {
        inFlight = std::move(transaction);
        sendTransaction();
    }
}

CommitQueue::Impl::Transaction CommitQueue::Impl::buildTransaction()
{
    Transaction transaction;
    transaction.sequenceValue = writer + "/" + std::to_string(nextTransactionNumber++);
    transaction.change.expected = { { FencingRows::table, FencingRows::epochKey, epochVersion },
                                    { FencingRows::table, FencingRows::sequenceKey, sequenceVersion } };
    transaction.change.writes.push_back({ FencingRows::table, FencingRows::sequenceKey, transaction.sequenceValue });
    transaction.firstSentAt = timers.now();
    std::size_t bytes = 0;
    while (waitingRows.hasDue() && transaction.rows.size() < rowLimit && bytes < maxBytesInTransaction) {
        auto [rowName, row] = waitingRows.takeNext(transaction.rows.size());
        if (const auto size = addRow(transaction, rowName, row)) {
            bytes += *size;
            transaction.rows.emplace_back(rowName, std::move(row));
        }
    }
    return transaction;
}

std::optional<std::size_t> CommitQueue::Impl::addRow(Transaction &transaction, const RowName &rowName, WaitingRow &row)
{
    auto value = row.value();
    if (!value) {
        transaction.change.removals.push_back({ rowName.first, rowName.second, {} });
        return 0;
    }
    const auto size = value->size();
    if (size > maxRowBytes) {
        setAside(rowName, std::move(row), std::to_string(size) + " bytes, limit " + std::to_string(maxRowBytes));
        return std::nullopt;
    }
    transaction.change.writes.push_back({ rowName.first, rowName.second, std::move(*value) });
    return size;
}

void CommitQueue::Impl::setAside(const RowName &rowName, WaitingRow row, const std::string &detail)
{
    ++rejectedRows;
    EventLog::write("store.row_rejected", { { "table", rowName.first }, { "key", rowName.second }, { "detail", detail } });
    waitingRows.setAside(rowName, std::move(row));
    if (std::exchange(isReleaseScheduled, true)) {
        return;
    }
    timers.after(setAsideDelay, [self = shared_from_this()] {
        self->isReleaseScheduled = false;
        self->waitingRows.releaseSetAside();
        self->sendNext();
    });
}

void CommitQueue::Impl::sendTransaction()
{
    ++sentTransactions;
    store.commit(inFlight->change, [self = shared_from_this(), sentAt = CallTime::now(timers)](StoreResult result) {
        if (!self->isClosed) {
            self->onResult(std::move(result), sentAt);
        }
    });
}

void CommitQueue::Impl::onResult(StoreResult result, CallTime sentAt)
{
    switch (result.outcome) {
    case StoreOutcome::Done:
        if (appliedCallback) {
            appliedCallback(sentAt);
        }
        onApplied(result.version);
        return;
    case StoreOutcome::Conflict:
        onConflict(result);
        return;
    case StoreOutcome::Rejected:
        onRejected(result);
        return;
    default:
        break;
    }
    if (!hasFailed) {
        EventLog::write("store.lost",
                        { { "outcome", name(result.outcome) }, { "detail", result.detail }, { "waiting", waitingRows.count() } });
    }
    hasFailed = true;
    retry();
}

void CommitQueue::Impl::onRejected(const StoreResult &result)
{
    auto rows = std::move(inFlight->rows);
    inFlight.reset();
    if (rows.size() == 1) {
        setAside(rows.front().first, std::move(rows.front().second), result.detail);
    } else {
        EventLog::writeRateLimited("store.transaction_rejected", { { "rows", rows.size() }, { "detail", result.detail } });
        rowLimit = rows.size() / 2;
        std::for_each(rows.rbegin(), rows.rend(), [this](auto &row) { waitingRows.putBack(row.first, std::move(row.second)); });
    }
    schedule(batchDelay);
}

void CommitQueue::Impl::retry()
{
    timers.after(retryDelay, [self = shared_from_this()] {
        if (!self->isClosed && self->inFlight) {
            self->sendTransaction();
        }
    });
}

void CommitQueue::Impl::onConflict(const StoreResult &result)
{
    for (const auto &row : result.rows) {
        if (row.key == FencingRows::sequenceKey && row.value == inFlight->sequenceValue) {
            // An earlier attempt to send this transaction was applied, and its answer was lost.
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
    lastSuccess = timers.now();
    sequenceVersion = sequence;
    rowLimit = std::min(rowLimit * 2, maxRowsInTransaction);
    const auto rows = std::move(inFlight->rows);
    inFlight.reset();
    for (const auto &[rowName, row] : rows) {
        for (const auto &callback : row.durable) {
            if (!isClosed) {
                callback();
            }
        }
    }
    if (waitingRows.hasDue()) {
        schedule(batchDelay);
    }
}

CommitQueue::CommitQueue(Timers &timers,
                         StateStore &store,
                         std::string writer,
                         std::int64_t epochVersion,
                         std::int64_t sequenceVersion,
                         Callback deposed,
                         std::size_t maxRowBytes)
    : impl_(std::make_shared<Impl>(timers, store))
{
    impl_->writer = std::move(writer);
    impl_->epochVersion = epochVersion;
    impl_->sequenceVersion = sequenceVersion;
    impl_->deposed = std::move(deposed);
    impl_->lastSuccess = timers.now();
    impl_->maxRowBytes = maxRowBytes;
}

CommitQueue::~CommitQueue()
{
    close();
}

void CommitQueue::setAppliedCallback(std::function<void(CallTime sentAt)> callback)
{
    impl_->appliedCallback = std::move(callback);
}

void CommitQueue::put(const std::string &table, const std::string &key, Value value, Callback durable, Urgency urgency)
{
    if (impl_->isClosed) {
        return;
    }
    impl_->waitingRows.put({ table, key }, std::move(value), std::move(durable), urgency);
    if (urgency == Urgency::Routine) {
        impl_->scheduleRoutine();
    } else if (!impl_->inFlight) {
        impl_->schedule(batchDelay);
    }
}

bool CommitQueue::withdraw(const std::string &table, const std::string &key)
{
    const RowName rowName { table, key };
    const auto isSent = [&rowName](const auto &row) { return row.first == rowName; };
    return impl_->waitingRows.remove(rowName)
           && (!impl_->inFlight || std::none_of(impl_->inFlight->rows.begin(), impl_->inFlight->rows.end(), isSent));
}

std::vector<CommitQueue::Callback> CommitQueue::take(const std::string &table, const std::string &key)
{
    return impl_->waitingRows.remove({ table, key }).value_or(std::vector<Callback>());
}

Milliseconds CommitQueue::stallDuration() const
{
    // Measured from the transaction in flight, not from the oldest row: a slow store that takes one transaction after another has
    // not stalled.
    const auto now = impl_->timers.now();
    return std::chrono::duration_cast<Milliseconds>(now - (impl_->inFlight ? impl_->inFlight->firstSentAt : now));
}

bool CommitQueue::isStalled() const
{
    return impl_->hasFailed || stallDuration() > stallThreshold;
}

void CommitQueue::close()
{
    impl_->isClosed = true;
    impl_->waitingRows.clear();
    // The callbacks may keep the owner of this queue alive.
    const auto rows = impl_->inFlight ? std::exchange(impl_->inFlight->rows, {}) : std::vector<std::pair<RowName, WaitingRow>>();
}

bool CommitQueue::isIdle() const
{
    return !impl_->inFlight && impl_->waitingRows.count() == 0;
}

std::uint64_t CommitQueue::mark() const
{
    return impl_->waitingRows.nextNumber();
}

bool CommitQueue::isStoredUpTo(std::uint64_t mark) const
{
    const auto isBefore = [mark](const auto &row) { return row.second.number < mark; };
    const bool isInFlight = impl_->inFlight && std::any_of(impl_->inFlight->rows.begin(), impl_->inFlight->rows.end(), isBefore);
    return !isInFlight && !impl_->waitingRows.hasRowBefore(mark);
}

long long CommitQueue::sentCount() const
{
    return impl_->sentTransactions;
}

long long CommitQueue::rejectedRowCount() const
{
    return impl_->rejectedRows;
}

std::size_t CommitQueue::maxRowBytes() const
{
    return impl_->maxRowBytes;
}

} // namespace auburndoor
