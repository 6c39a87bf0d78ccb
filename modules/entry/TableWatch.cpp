#include "entry/TableWatch.h"

#include "observability/EventLog.h"

namespace auburndoor {

namespace {

// The history may be lost unnoticed: from time to time the whole table is compared.
constexpr int failuresBeforeReread = 3;

} // namespace

struct TableWatch::Impl : std::enable_shared_from_this<TableWatch::Impl>
{
    Impl(Timers &timers, StateStore &store, std::string table, WatchTimes times, Callback callback)
        : timers(timers), store(store), table(std::move(table)), times(times), callback(std::move(callback))
    {
    }

    void readTable();
    void readChanges();
    void fail(const StoreResult &result);
    void later(Milliseconds delay, void (Impl::*action)())
    {
        timers.after(delay, [self = shared_from_this(), action] {
            if (!self->isClosed) {
                ((*self).*action)();
            }
        });
    }

    Timers &timers;
    StateStore &store;
    std::string table;
    WatchTimes times;
    Callback callback;
    std::int64_t version = 0;
    TimePoint freshAt;
    int failures = 0;
    bool isClosed = false;
};

void TableWatch::Impl::readTable()
{
    store.readAll(table, {}, [self = shared_from_this(), askedAt = timers.now()](const StoreResult &result) {
        if (self->isClosed) {
            return;
        }
        if (result.outcome != StoreOutcome::Done) {
            self->fail(result);
            self->later(self->times.retry, &Impl::readTable);
            return;
        }
        if (self->failures > 0) {
            EventLog::write("watch.regained", { { "table", self->table }, { "version", result.version } });
        }
        self->failures = 0;
        self->version = result.version;
        self->freshAt = askedAt;
        self->callback(result.rows, true);
        self->later(self->times.pause, &Impl::readChanges);
    });
}

void TableWatch::Impl::readChanges()
{
    store.changes(table, version, times.wait, [self = shared_from_this(), askedAt = timers.now()](const StoreResult &result) {
        if (self->isClosed) {
            return;
        }
        if (result.outcome == StoreOutcome::HistoryCompacted) {
            EventLog::write("watch.history_lost", { { "table", self->table }, { "version", self->version } });
            self->readTable();
            return;
        }
        if (result.outcome != StoreOutcome::Done) {
            self->fail(result);
            self->later(self->times.retry, self->failures % failuresBeforeReread == 0 ? &Impl::readTable : &Impl::readChanges);
            return;
        }
        if (self->failures > 0) {
            EventLog::write("watch.regained", { { "table", self->table }, { "version", result.version } });
        }
        self->failures = 0;
        self->version = std::max(self->version, result.version);
        self->freshAt = askedAt;
        if (!result.rows.empty()) {
            self->callback(result.rows, false);
        }
        self->later(self->times.pause, &Impl::readChanges);
    });
}

void TableWatch::Impl::fail(const StoreResult &result)
{
    if (++failures == 1) {
        EventLog::write("watch.lost", { { "table", table }, { "outcome", name(result.outcome) }, { "detail", result.detail } });
    }
}

TableWatch::TableWatch(Timers &timers, StateStore &store, std::string table, WatchTimes times, Callback callback)
    : impl_(std::make_shared<Impl>(timers, store, std::move(table), times, std::move(callback)))
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

Milliseconds TableWatch::age() const
{
    return std::chrono::duration_cast<Milliseconds>(impl_->timers.now() - impl_->freshAt);
}

} // namespace auburndoor
