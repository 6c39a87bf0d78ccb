#include "entry/TableReading.h"

#include "net/Timers.h"
#include "observability/EventLog.h"

#include <optional>
#include <set>
#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds readRetryDelay { 150 };
constexpr Milliseconds reportInterval { 1000 };

} // namespace

struct TableReading::Impl : std::enable_shared_from_this<TableReading::Impl>
{
    Impl(Timers &timers, StateStore &store, std::int64_t token, std::function<void(Tables)> done)
        : timers(timers), store(store), token(token), done(std::move(done))
    {
    }

    void read(const std::string &table);
    void onResult(const std::string &table, const StoreResult &result);
    void report();

    Timers &timers;
    StateStore &store;
    std::int64_t token;
    std::function<void(Tables)> done;
    std::optional<TimePoint> startedAt;
    std::set<std::string> unread;
    Tables tables;
    /** The outcome and the detail of the last reading that failed. */
    std::string lastOutcome;
    std::string lastDetail;
    bool isClosed = false;
};

void TableReading::Impl::read(const std::string &table)
{
    store.readAll(table, {}, [self = shared_from_this(), table](const StoreResult &result) { self->onResult(table, result); });
}

void TableReading::Impl::onResult(const std::string &table, const StoreResult &result)
{
    if (isClosed) {
        return;
    }
    if (result.outcome != StoreOutcome::Done) {
        lastOutcome = name(result.outcome);
        lastDetail = result.detail;
        timers.after(readRetryDelay, [self = shared_from_this(), table] {
            if (!self->isClosed) {
                self->read(table);
            }
        });
        return;
    }
    tables[table] = result.rows;
    unread.erase(table);
    if (unread.empty()) {
        done(std::move(tables));
    }
}

void TableReading::Impl::report()
{
    timers.after(reportInterval, [self = shared_from_this()] {
        if (self->isClosed || self->unread.empty()) {
            return;
        }
        std::string names;
        for (const auto &table : self->unread) {
            names += (names.empty() ? "" : ",") + table;
        }
        EventLog::write("owner.reading",
                        { { "token", self->token },
                          { "for_ms", std::chrono::duration_cast<Milliseconds>(self->timers.now() - *self->startedAt).count() },
                          { "tables", names },
                          { "outcome", self->lastOutcome },
                          { "detail", self->lastDetail } });
        self->report();
    });
}

TableReading::TableReading(Timers &timers, StateStore &store, std::int64_t token, std::function<void(Tables)> done)
    : impl_(std::make_shared<Impl>(timers, store, token, std::move(done)))
{
}

TableReading::~TableReading()
{
    impl_->isClosed = true;
}

void TableReading::start(const std::vector<std::string> &tables)
{
    impl_->startedAt = impl_->timers.now();
    impl_->unread.insert(tables.begin(), tables.end());
    // No earlier owner can write any more, so the tables can be read in parallel.
    for (const auto &table : tables) {
        impl_->read(table);
    }
    impl_->report();
}

Milliseconds TableReading::age() const
{
    return impl_->startedAt ? std::chrono::duration_cast<Milliseconds>(impl_->timers.now() - *impl_->startedAt) : Milliseconds(0);
}

} // namespace auburndoor
