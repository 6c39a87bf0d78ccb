#include "entry/TableReading.h"

#include "net/Timers.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <optional>
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

    /** A table that is not read to its end yet. */
    struct UnreadTable
    {
        /** Where the next page begins; empty for the first one. */
        std::string nextPageKey;
        /** When the last page arrived, or when the reading was started. */
        TimePoint lastPageAt;
    };

    void readPage(const std::string &table);
    void onPage(const std::string &table, const StoreResult &page);
    /** The unread table with the oldest last page; the end if all are read. */
    std::map<std::string, UnreadTable>::const_iterator stalled() const;
    void report();

    Timers &timers;
    StateStore &store;
    std::int64_t token;
    std::function<void(Tables)> done;
    std::optional<TimePoint> startedAt;
    std::map<std::string, UnreadTable> unread;
    Tables tables;
    /** The outcome and the detail of the last reading that failed. */
    std::string lastOutcome;
    std::string lastDetail;
    bool isClosed = false;
};

void TableReading::Impl::readPage(const std::string &table)
{
    store.readPage(table, unread.at(table).nextPageKey, [self = shared_from_this(), table](const StoreResult &page) {
        if (!self->isClosed) {
            self->onPage(table, page);
        }
    });
}

void TableReading::Impl::onPage(const std::string &table, const StoreResult &page)
{
    if (page.outcome != StoreOutcome::Done) {
        lastOutcome = name(page.outcome);
        lastDetail = page.detail;
        timers.after(readRetryDelay, [self = shared_from_this(), table] {
            if (!self->isClosed) {
                self->readPage(table);
            }
        });
        return;
    }
    auto &rows = tables[table];
    rows.insert(rows.end(), page.rows.begin(), page.rows.end());
    if (!page.nextPageKey.empty()) {
        unread.at(table) = { page.nextPageKey, timers.now() };
        readPage(table);
        return;
    }
    unread.erase(table);
    if (unread.empty()) {
        done(std::move(tables));
    }
}

std::map<std::string, TableReading::Impl::UnreadTable>::const_iterator TableReading::Impl::stalled() const
{
    return std::min_element(unread.begin(), unread.end(), [](const auto &left, const auto &right) {
        return left.second.lastPageAt < right.second.lastPageAt;
    });
}

void TableReading::Impl::report()
{
    timers.after(reportInterval, [self = shared_from_this()] {
        if (self->isClosed || self->unread.empty()) {
            return;
        }
        std::string names;
        for (const auto &[table, position] : self->unread) {
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
    for (const auto &table : tables) {
        impl_->unread[table] = { {}, *impl_->startedAt };
    }
    for (const auto &table : tables) {
        impl_->readPage(table);
    }
    impl_->report();
}

Milliseconds TableReading::age() const
{
    return impl_->startedAt ? std::chrono::duration_cast<Milliseconds>(impl_->timers.now() - *impl_->startedAt) : Milliseconds(0);
}

Milliseconds TableReading::stallDuration() const
{
    const auto table = impl_->stalled();
    return table == impl_->unread.end() ? Milliseconds(0)
                                        : std::chrono::duration_cast<Milliseconds>(impl_->timers.now() - table->second.lastPageAt);
}

std::string TableReading::stalledTable() const
{
    const auto table = impl_->stalled();
    return table == impl_->unread.end() ? std::string() : table->first;
}

} // namespace auburndoor
