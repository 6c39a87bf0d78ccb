#include "dispatch/CommitQueue.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace auburndoor {

namespace {

// The store accepts 100 entries in a transaction, and the two expected rows and the sequence row count too.
constexpr std::size_t maxRowsInTransaction = 90;
// A transaction takes at most this many urgent rows while routine rows wait, so that these are not starved.
constexpr std::size_t maxUrgentRows = 75;
// The store accepts 1 MB in a transaction, and base64 makes values a third longer.
constexpr std::size_t maxBytesInTransaction = std::size_t(600) * 1024;
// The delay that gathers rows into one transaction. The end of a task delays its job by at most this, and the store gets at most 60
// transactions a second.
constexpr Milliseconds batchDelay { 12 };
// Routine rows wait this long, so that the ends of a job's tasks that come close to each other are written as one row. Workers are
// asked for the next ends after 120 ms, by when these should be stored.
constexpr Milliseconds routineDelay { 40 };
constexpr Milliseconds minRetryDelay { 120 };
constexpr Milliseconds maxRetryDelay { 500 };
// A transaction without success for longer than this counts as stalled.
constexpr Milliseconds stallThreshold { 300 };

using RowName = std::pair<std::string, std::string>;

} // namespace

struct CommitQueue::Impl : std::enable_shared_from_this<CommitQueue::Impl>
{
    /** A row that no transaction holds yet. */
    struct WaitingRow
    {
        Value value;
        std::vector<Callback> durable;
    };
    /** A transaction in flight; it is sent again unchanged until its outcome is known. */
    struct Transaction
    {
        StoreChange change;
        std::vector<Callback> durable;
        std::set<RowName> rows;
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
    /** True if a row is to be sent. */
    bool hasDueRows() const
    {
        return !urgent.empty() || !dueRoutine.empty();
    }
    /** Builds and sends a transaction if rows are waiting and none is in flight. */
    void sendNext();
    void buildTransaction();
    /** Takes the name of the next row out of the waiting ones. @param rowsTaken the rows that the transaction holds already */
    RowName nextRow(std::size_t rowsTaken);
    void sendTransaction();
    void onResult(StoreResult result);
    /** Tells an applied transaction whose answer was lost from one that another owner has fenced off. */
    void onConflict(const StoreResult &result);
    /** @param sequence the new version of the sequence row */
    void onApplied(std::int64_t sequence);
    /** Sends the transaction in flight again after a growing delay. */
    void retry();

    Timers &timers;
    StateStore &store;
    std::string writer;
    std::int64_t epochVersion = 0;
    std::int64_t sequenceVersion = 0;
    Callback deposed;
    std::map<RowName, WaitingRow> waitingRows;
    /** The names of the waiting rows by urgency, in the order of their put() calls. */
    std::deque<RowName> urgent;
    std::deque<RowName> routine;
    /** The routine rows that have waited long enough. */
    std::deque<RowName> dueRoutine;
    std::optional<Transaction> inFlight;
    long long nextTransactionNumber = 1;
    long long sentTransactions = 0;
    Milliseconds retryDelay = minRetryDelay;
    TimePoint lastSuccess;
    bool hasFailed = false;
    bool isScheduled = false;
    bool isRoutineScheduled = false;
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
        std::move(self->routine.begin(), self->routine.end(), std::back_inserter(self->dueRoutine));
        self->routine.clear();
        if (!self->inFlight) {
            self->sendNext();
        }
    });
}

void CommitQueue::Impl::sendNext()
{
    if (isClosed || inFlight || !hasDueRows()) {
        return;
    }
    buildTransaction();
    sendTransaction();
}

void CommitQueue::Impl::buildTransaction()
{
    Transaction transaction;
    transaction.sequenceValue = writer + "/" + std::to_string(nextTransactionNumber++);
    transaction.change.expected = { { FencingRows::table, FencingRows::epochKey, epochVersion },
                                    { FencingRows::table, FencingRows::sequenceKey, sequenceVersion } };
    transaction.change.writes.push_back({ FencingRows::table, FencingRows::sequenceKey, transaction.sequenceValue });
    transaction.firstSentAt = timers.now();
    std::size_t bytes = 0;
    while (hasDueRows() && transaction.rows.size() < maxRowsInTransaction && bytes < maxBytesInTransaction) {
        const auto rowName = nextRow(transaction.rows.size());
        auto waitingRow = std::move(waitingRows.at(rowName));
        waitingRows.erase(rowName);
        if (auto value = waitingRow.value()) {
            bytes += value->size();
            transaction.change.writes.push_back({ rowName.first, rowName.second, std::move(*value) });
        } else {
            transaction.change.removals.push_back({ rowName.first, rowName.second, {} });
        }
        transaction.rows.insert(rowName);
        std::move(waitingRow.durable.begin(), waitingRow.durable.end(), std::back_inserter(transaction.durable));
    }
    inFlight = std::move(transaction);
}

RowName CommitQueue::Impl::nextRow(std::size_t rowsTaken)
{
    const bool isUrgent = !urgent.empty() && (rowsTaken < maxUrgentRows || dueRoutine.empty());
    auto &names = isUrgent ? urgent : dueRoutine;
    auto rowName = std::move(names.front());
    names.pop_front();
    return rowName;
}

void CommitQueue::Impl::sendTransaction()
{
    ++sentTransactions;
    store.commit(inFlight->change, [self = shared_from_this()](StoreResult result) {
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
                        { { "outcome", name(result.outcome) }, { "detail", result.detail }, { "waiting", waitingRows.size() } });
    }
    hasFailed = true;
    retry();
}

void CommitQueue::Impl::retry()
{
    timers.after(retryDelay, [self = shared_from_this()] {
        if (!self->isClosed && self->inFlight) {
            self->sendTransaction();
        }
    });
    retryDelay = std::min(retryDelay * 2, maxRetryDelay);
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
    retryDelay = minRetryDelay;
    lastSuccess = timers.now();
    sequenceVersion = sequence;
    auto durable = std::move(inFlight->durable);
    inFlight.reset();
    for (const auto &callback : durable) {
        if (callback && !isClosed) {
            callback();
        }
    }
    if (hasDueRows()) {
        schedule(batchDelay);
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
    if (impl_->isClosed) {
        return;
    }
    const RowName rowName { table, key };
    auto [found, isNew] = impl_->waitingRows.try_emplace(rowName);
    if (isNew) {
        (urgency == Urgency::Urgent ? impl_->urgent : impl_->routine).push_back(rowName);
    } else if (urgency == Urgency::Urgent && std::erase(impl_->routine, rowName) + std::erase(impl_->dueRoutine, rowName) != 0) {
        impl_->urgent.push_back(rowName);
    }
    found->second.value = std::move(value);
    if (durable) {
        found->second.durable.push_back(std::move(durable));
    }
    if (urgency == Urgency::Routine) {
        impl_->scheduleRoutine();
    } else if (!impl_->inFlight) {
        impl_->schedule(batchDelay);
    }
}

bool CommitQueue::withdraw(const std::string &table, const std::string &key)
{
    const RowName rowName { table, key };
    if (impl_->waitingRows.erase(rowName) != 0) {
        std::erase(impl_->urgent, rowName);
        std::erase(impl_->routine, rowName);
        std::erase(impl_->dueRoutine, rowName);
        return !impl_->inFlight || !impl_->inFlight->rows.contains(rowName);
    }
    return false;
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
    // The callbacks may keep the owner of this queue alive.
    const auto waitingRows = std::exchange(impl_->waitingRows, {});
    impl_->urgent.clear();
    impl_->routine.clear();
    impl_->dueRoutine.clear();
    const auto durable = impl_->inFlight ? std::exchange(impl_->inFlight->durable, {}) : std::vector<Callback>();
}

bool CommitQueue::isIdle() const
{
    return !impl_->inFlight && impl_->waitingRows.empty();
}

long long CommitQueue::sentCount() const
{
    return impl_->sentTransactions;
}

} // namespace auburndoor
