#include "entry/DesiredStateHolder.h"

#include "entry/CellProtocol.h"
#include "entry/TableUpdate.h"
#include "net/Timers.h"
#include "observability/EventLog.h"

#include <utility>

namespace auburndoor {

namespace {

// A new desired state must be in use about 2 s after it is written; a lost long poll delays it by less than 1 s.
constexpr WatchTiming watchTiming { Milliseconds(1000), Milliseconds(20), Milliseconds(150) };
// A store that answers at all does so within milliseconds; a process that it does not answer is to serve soon all the same.
constexpr Milliseconds firstAnswerTimeout { 1000 };

} // namespace

DesiredStateHolder::DesiredStateHolder(Timers &timers,
                                       StateStore &store,
                                       StoreTimeline &timeline,
                                       const CellProtocol &protocol,
                                       ChangeCallback changed)
    : timers_(timers)
    , protocol_(protocol)
    , changed_(std::move(changed))
    , watch_(timers,
             store,
             timeline,
             protocol.operatorTable(),
             watchTiming,
             [this](const TableUpdate &update) {
                 for (const auto &row : update.rows) {
                     take(row);
                 }
             })
    , refresh_(timers, store, protocol.operatorTable(), protocol.desiredStateKey(), [this](const StoreRow &row) { take(row); })
{
}

void DesiredStateHolder::start()
{
    startedAt_ = timers_.now();
    watch_.start();
}

const DesiredState &DesiredStateHolder::current() const
{
    return desiredState_;
}

const std::string &DesiredStateHolder::text() const
{
    return text_;
}

Milliseconds DesiredStateHolder::age() const
{
    return watch_.age();
}

bool DesiredStateHolder::mayStoreAnswerFirst() const
{
    return desiredState_.version == 0 && !watch_.isFailing() && timers_.now() - startedAt_ < firstAnswerTimeout;
}

void DesiredStateHolder::takeCopy(const std::string &text)
{
    const StoreRow row { protocol_.operatorTable(), protocol_.desiredStateKey(), text, 0, false };
    if (mayStoreAnswerFirst()) {
        const auto read = protocol_.readDesiredState(row);
        if (read && read->requiresKeys) {
            return;
        }
    }
    take(row);
}

void DesiredStateHolder::runWhenFresh(std::size_t bytes, std::function<void()> action)
{
    refresh_.runWhenFresh(bytes, std::move(action));
}

void DesiredStateHolder::take(const StoreRow &row)
{
    if (row.key != protocol_.desiredStateKey() || row.isRemoved) {
        return;
    }
    auto read = protocol_.readDesiredState(row);
    if (!read) {
        if (std::exchange(unreadableVersion_, row.version) != row.version) {
            // The text is left out, as it may hold keys.
            EventLog::write("desired.unreadable",
                            { { "row_version", row.version }, { "bytes", row.value.size() }, { "kept", desiredState_.version } });
        }
        return;
    }
    // An older version never replaces a newer one, in whatever order the rows arrive.
    if (read->version <= desiredState_.version) {
        return;
    }
    desiredState_ = std::move(*read);
    text_ = row.value;
    EventLog::write("desired.taken",
                    { { "version", desiredState_.version },
                      { "queues", desiredState_.queues.size() },
                      { "accounts", desiredState_.accounts.size() } });
    changed_(desiredState_);
}

} // namespace auburndoor
