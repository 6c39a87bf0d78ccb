#include "entry/DesiredStateHolder.h"

#include "entry/CellProtocol.h"
#include "entry/TableUpdate.h"
#include "net/Timers.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <utility>

namespace auburndoor {

namespace {

// A new desired state must be in use about 2 s after it is written; a lost long poll delays it by less than 1 s.
constexpr WatchTiming watchTiming { Milliseconds(1000), Milliseconds(20), Milliseconds(150) };
// A store that answers at all does so within milliseconds; a process that it does not answer is to serve soon all the same.
constexpr Milliseconds firstAnswerTimeout { 1000 };
// With the 1.2 s that the watch may take, a change is read within 3 s after a shorter gap in any case.
constexpr Milliseconds minGap { 1000 };
// Without an answer of the store by then, the copy stays in force as in any outage of the store.
constexpr Milliseconds maxCheckDuration { 1000 };
constexpr std::size_t maxCopyBytes = std::size_t(16) * 1024 * 1024;

} // namespace

DesiredStateHolder::DesiredStateHolder(Timers &timers,
                                       StateStore &store,
                                       StoreTimeline &timeline,
                                       const CellProtocol &protocol,
                                       ChangeCallback changed,
                                       Metrics &metrics)
    : timers_(timers)
    , protocol_(protocol)
    , changed_(std::move(changed))
    , metrics_(metrics)
    , watch_(timers,
             store,
             timeline,
             protocol.operatorTable(),
             watchTiming,
             [this](const TableUpdate &update) { takeUpdate(update); })
    , refresh_(
          timers,
          store,
          { protocol.operatorTable(), protocol.desiredStateKey() },
          [this] { return watch_.version(); },
          [this](const StoreResult &result) {
              const Reading reading { "refresh", result.receivedBytes, result.receiveDuration };
              noteReading(reading);
              for (const auto &row : result.rows) {
                  take(row, reading);
              }
          })
{
}

void DesiredStateHolder::start()
{
    startedAt_ = timers_.now();
    runningAt_ = timers_.bootNow();
    watch_.start();
}

const DesiredState &DesiredStateHolder::current() const
{
    return desiredState_;
}

const std::string &DesiredStateHolder::copyFor(std::optional<std::int64_t> baseVersion)
{
    if (!baseVersion) {
        return copy_.text;
    }
    const std::string noText;
    const bool isCurrent = *baseVersion == desiredState_.version;
    const bool isFormer = *baseVersion == formerVersion_;
    const DesiredStateCopy::Base base { isCurrent || isFormer ? *baseVersion : 0,
                                        isCurrent  ? copy_.text
                                        : isFormer ? formerText_
                                                   : noText };
    auto &message = encodedCopies_[base.version];
    if (message.empty()) {
        message = copy_.encode(base);
    }
    return message;
}

std::int64_t DesiredStateHolder::copyBase() const
{
    return isBaseUnusable_ ? 0 : desiredState_.version;
}

Milliseconds DesiredStateHolder::age() const
{
    return watch_.age();
}

bool DesiredStateHolder::mayStoreAnswerFirst() const
{
    return desiredState_.version == 0 && !watch_.isFailing() && timers_.now() - startedAt_ < firstAnswerTimeout;
}

void DesiredStateHolder::takeCopy(const std::string &message, Milliseconds receiveDuration)
{
    const Reading reading { "copy", message.size(), receiveDuration };
    noteReading(reading);
    const std::string noText;
    auto copy = DesiredStateCopy::decode(message, { desiredState_.version, copy_.text }, maxCopyBytes);
    if (!copy) {
        copy = DesiredStateCopy::decode(message, { 0, noText }, maxCopyBytes);
    }
    isBaseUnusable_ = !copy;
    if (!copy) {
        EventLog::write("desired.copy_unreadable", { { "bytes", message.size() }, { "kept", desiredState_.version } });
        return;
    }
    const StoreRow row { protocol_.operatorTable(), protocol_.desiredStateKey(), std::move(copy->text), copy->rowVersion, false };
    if (mayStoreAnswerFirst()) {
        const auto read = protocol_.readDesiredState(row);
        if (read && read->requiresKeys) {
            return;
        }
    }
    take(row, reading);
}

void DesiredStateHolder::noteRunning()
{
    const auto now = timers_.bootNow();
    if (now - std::exchange(runningAt_, now) > minGap) {
        resumedAt_ = timers_.now();
    }
}

bool DesiredStateHolder::mayHaveMissedChange()
{
    noteRunning();
    if (!resumedAt_) {
        return false;
    }
    const auto sinceResumed = timers_.now() - *resumedAt_;
    if (sinceResumed > maxCheckDuration || watch_.age() < sinceResumed) {
        resumedAt_.reset();
    }
    return resumedAt_.has_value();
}

void DesiredStateHolder::runWhenFresh(std::size_t bytes, std::function<void()> action)
{
    refresh_.runWhenFresh(bytes, std::move(action));
}

void DesiredStateHolder::takeUpdate(const TableUpdate &update)
{
    const Reading reading { update.isWholeTable ? "table" : "feed", update.receivedBytes, update.receiveDuration };
    noteReading(reading);
    for (const auto &row : update.rows) {
        take(row, reading);
    }
}

void DesiredStateHolder::noteReading(const Reading &reading)
{
    metrics_.count(
        "desired_state_bytes_total", std::string("source=") + reading.source, static_cast<long long>(reading.receivedBytes));
}

void DesiredStateHolder::take(const StoreRow &row, const Reading &reading)
{
    if (row.key != protocol_.desiredStateKey() || row.isRemoved) {
        return;
    }
    const auto startedAt = timers_.now();
    auto read = protocol_.readDesiredState(row);
    if (!read) {
        if (std::exchange(unreadableVersion_, row.version) != row.version) {
            // The text is left out, as it may hold keys.
            EventLog::write("desired.unreadable",
                            { { "source", reading.source },
                              { "row_version", row.version },
                              { "bytes", row.value.size() },
                              { "kept", desiredState_.version } });
        }
        return;
    }
    // An older version never replaces a newer one, in whatever order the rows arrive.
    if (read->version <= desiredState_.version) {
        return;
    }
    formerVersion_ = std::exchange(desiredState_, std::move(*read)).version;
    formerText_ = std::exchange(copy_, { row.value, row.version }).text;
    encodedCopies_.clear();
    isBaseUnusable_ = false;
    changed_(desiredState_);
    watch_.skipTo(row.version);
    EventLog::write("desired.taken",
                    { { "version", desiredState_.version },
                      { "former", formerVersion_ },
                      { "queues", desiredState_.queues.size() },
                      { "accounts", desiredState_.accounts.size() },
                      { "source", reading.source },
                      { "row_version", row.version },
                      { "bytes", row.value.size() },
                      { "received_bytes", reading.receivedBytes },
                      { "receive_ms", reading.receiveDuration.count() },
                      { "apply_ms", std::chrono::duration_cast<Milliseconds>(timers_.now() - startedAt).count() } });
}

} // namespace auburndoor
