#include "entry/ConnectionBudget.h"

#include "entry/EntrySettings.h"
#include "net/Timers.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <malloc.h>

namespace auburndoor {

namespace {

// Trimming the heap takes about a millisecond, so that it follows the end of a peak, not each of its connections.
constexpr Milliseconds releaseDelay { 2000 };
// By then the timers of connections and calls that have ended are gone as well.
constexpr Milliseconds finalReleaseDelay { 8000 };
constexpr Milliseconds reportInterval { 10000 };

} // namespace

const std::array<ConnectionBudget::Cause, 6> ConnectionBudget::causes { {
    { "no room for request", &ConnectionMemory::Refusals::requests },
    { "no room for connection", &ConnectionMemory::Refusals::connections },
    { "closed for others", &ConnectionMemory::Refusals::evictions },
    { "slow sender", &ConnectionMemory::Refusals::slowSenders },
    { "slow reader", &ConnectionMemory::Refusals::slowReaders },
    { "refused before body", &ConnectionMemory::Refusals::early },
} };

ConnectionBudget::ConnectionBudget(Timers &timers, const EntrySettings &settings)
    : timers_(timers), limits_(ConnectionLimits::derive(settings)), memory_(std::make_shared<ConnectionMemory>(limits_.memoryBytes))
{
    memory_->onFallen = [this] {
        for (const auto delay : { releaseDelay, finalReleaseDelay }) {
            timers_.after(delay, [weakMemory = std::weak_ptr(memory_)] {
                if (const auto memory = weakMemory.lock()) {
                    malloc_trim(0);
                    memory->noteReleased();
                }
            });
        }
    };
}

ConnectionBudget::~ConnectionBudget()
{
    memory_->onFallen = nullptr;
}

const ConnectionLimits &ConnectionBudget::limits() const
{
    return limits_;
}

const std::shared_ptr<ConnectionMemory> &ConnectionBudget::memory() const
{
    return memory_;
}

void ConnectionBudget::report()
{
    if (memory_->refusals == seen_) {
        return;
    }
    const auto now = timers_.now();
    bool isAllReported = true;
    for (std::size_t index = 0; index < causes.size(); ++index) {
        const auto count = memory_->refusals.*causes[index].count;
        auto &reported = reported_[index];
        if (count == reported.count) {
            continue;
        }
        if (reported.count > 0 && now - reported.at < reportInterval) {
            isAllReported = false;
            continue;
        }
        EventLog::write("connection.refused",
                        { { "why", causes[index].name },
                          { "count", count - reported.count },
                          { "held_bytes", memory_->used() },
                          { "limit_bytes", limits_.memoryBytes } });
        reported = { count, now };
    }
    if (isAllReported) {
        seen_ = memory_->refusals;
    }
}

void ConnectionBudget::updateMetrics(Metrics &metrics) const
{
    metrics.setGauge("connection_memory_bytes", static_cast<double>(memory_->used()));
    metrics.setGauge("connection_memory_limit_bytes", static_cast<double>(limits_.memoryBytes));
    for (const auto &cause : causes) {
        metrics.setGauge("connections_refused", static_cast<double>(memory_->refusals.*cause.count), cause.name);
    }
}

} // namespace auburndoor
