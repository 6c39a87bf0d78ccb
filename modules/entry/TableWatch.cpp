#include "entry/TableWatch.h"

#include "entry/TableUpdate.h"
#include "observability/EventLog.h"
#include "workload/StoreTimeline.h"

namespace auburndoor {

namespace {

// After every third failure in a row the whole table is read, since the store may have lost its history without reporting it.
constexpr int failuresPerTableRead = 3;

} // namespace

struct TableWatch::Impl : std::enable_shared_from_this<TableWatch::Impl>
{
    Impl(Timers &timers, StateStore &store, StoreTimeline &timeline, std::string table, WatchTiming timing, Callback callback)
        : timers(timers), store(store), timeline(timeline), table(std::move(table)), timing(timing), callback(std::move(callback))
    {
    }

    void readTable();
    void readChanges();
    void onFailure(const StoreResult &result);
    /** False if this was closed, or if the requests of this round were abandoned. */
    bool isCurrent(std::uint64_t sentRound) const
    {
        return !isClosed && sentRound == round;
    }
    /** Calls the callback if there are rows to pass on. @param sentAt when the request was sent */
    void passOn(const StoreResult &result, bool isWholeTable, CallTime sentAt);
    void runAfter(Milliseconds delay, void (Impl::*action)())
    {
        timers.after(delay, [self = shared_from_this(), action, sentRound = round] {
            if (self->isCurrent(sentRound)) {
                ((*self).*action)();
            }
        });
    }

    Timers &timers;
    StateStore &store;
    StoreTimeline &timeline;
    std::string table;
    WatchTiming timing;
    Callback callback;
    /** Changes up to this version have been passed to the callback. */
    std::int64_t version = 0;
    /** When the request of the last successful answer was sent. */
    TimePoint currentAsOf;
    int consecutiveFailures = 0;
    /** Increased when requests are abandoned; what belongs to earlier rounds is ignored. */
    std::uint64_t round = 0;
    bool isClosed = false;
};

void TableWatch::Impl::readTable()
{
    store.readAll(
        table, {}, [self = shared_from_this(), sentRound = round, sentAt = CallTime::now(timers)](const StoreResult &result) {
            if (!self->isCurrent(sentRound)) {
                return;
            }
            if (result.outcome != StoreOutcome::Done) {
                self->onFailure(result);
                self->runAfter(self->timing.retryDelay, &Impl::readTable);
                return;
            }
            if (self->consecutiveFailures > 0) {
                EventLog::write("watch.regained", { { "table", self->table }, { "version", result.version } });
            }
            self->consecutiveFailures = 0;
            self->version = result.version;
            self->currentAsOf = sentAt.steady;
            self->passOn(result, true, sentAt);
            self->runAfter(self->timing.pollDelay, &Impl::readChanges);
        });
}

void TableWatch::Impl::readChanges()
{
    store.changes(table,
                  version,
                  timing.changeTimeout,
                  [self = shared_from_this(), sentRound = round, sentAt = CallTime::now(timers)](const StoreResult &result) {
                      if (!self->isCurrent(sentRound)) {
                          return;
                      }
                      if (result.outcome == StoreOutcome::HistoryCompacted) {
                          EventLog::write("watch.history_lost", { { "table", self->table }, { "version", self->version } });
                          self->readTable();
                          return;
                      }
                      if (result.outcome != StoreOutcome::Done) {
                          self->onFailure(result);
                          self->runAfter(self->timing.retryDelay,
                                         self->consecutiveFailures % failuresPerTableRead == 0 ? &Impl::readTable
                                                                                               : &Impl::readChanges);
                          return;
                      }
                      if (self->consecutiveFailures > 0) {
                          EventLog::write("watch.regained", { { "table", self->table }, { "version", result.version } });
                      }
                      self->consecutiveFailures = 0;
                      self->version = std::max(self->version, result.version);
                      self->currentAsOf = sentAt.steady;
                      self->passOn(result, false, sentAt);
                      self->runAfter(self->timing.pollDelay, &Impl::readChanges);
                  });
}

void TableWatch::Impl::passOn(const StoreResult &result, bool isWholeTable, CallTime sentAt)
{
    // Noted first, as it may show that earlier readings tell nothing of these rows.
    if (result.time) {
        timeline.note({ result.version, result.time->earliest, sentAt.boot, timers.bootNow() });
    }
    if (isWholeTable || !result.rows.empty()) {
        callback({ result.rows,
                   isWholeTable,
                   result.time ? std::optional(result.time->latest) : std::nullopt,
                   result.version,
                   sentAt,
                   result.receivedBytes,
                   result.receiveDuration });
    }
}

void TableWatch::Impl::onFailure(const StoreResult &result)
{
    if (++consecutiveFailures == 1) {
        EventLog::write("watch.lost",
                        { { "table", table },
                          { "outcome", name(result.outcome) },
                          { "detail", result.detail },
                          { "received_bytes", result.receivedBytes },
                          { "receive_ms", result.receiveDuration.count() } });
    }
}

TableWatch::TableWatch(Timers &timers,
                       StateStore &store,
                       StoreTimeline &timeline,
                       std::string table,
                       WatchTiming timing,
                       Callback callback)
    : impl_(std::make_shared<Impl>(timers, store, timeline, std::move(table), timing, std::move(callback)))
{
}

TableWatch::~TableWatch()
{
    impl_->isClosed = true;
}

void TableWatch::start()
{
    impl_->readTable();
}

bool TableWatch::isFailing() const
{
    return impl_->consecutiveFailures > 0;
}

Milliseconds TableWatch::age() const
{
    return std::chrono::duration_cast<Milliseconds>(impl_->timers.now() - impl_->currentAsOf);
}

std::int64_t TableWatch::version() const
{
    return impl_->version;
}

void TableWatch::skipTo(std::int64_t version)
{
    auto &impl = *impl_;
    if (version <= impl.version) {
        return;
    }
    impl.version = version;
    ++impl.round;
    impl.store.abandonReads(impl.table);
    impl.runAfter(impl.timing.pollDelay, &Impl::readChanges);
}

} // namespace auburndoor
