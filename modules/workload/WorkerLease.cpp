#include "workload/WorkerLease.h"

#include "net/Timers.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A worker's clock may run up to 2% slow, so a lease on that clock may last this many times as long on the clock of this process.
constexpr double slowClockFactor = 1.0 / 0.98;
constexpr Milliseconds clockMargin { 50 };
// What a successor allows for beyond the lease (OwnershipEvidence::maxLeaseTime) covers this much error of a deadline.
constexpr Milliseconds maxClockError { 30 };

Milliseconds scale(Milliseconds duration, double factor)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace

WorkerLease::WorkerLease(Timers &timers, Milliseconds maxLease) : timers_(timers), maxLease_(maxLease)
{
    // Until the first reading, a lease counts from here: the worker's clock shows at least the time since then.
    resetClock();
}

void WorkerLease::updateClock(Milliseconds workerClock)
{
    workerClock_ = workerClock;
    clockReceivedAt_ = timers_.now();
    isClockKnown_ = true;
}

void WorkerLease::resetClock()
{
    const auto longestLease = scale(maxLease_, slowClockFactor) + clockMargin;
    if (end_ != TimePoint() && timers_.now() < end_ + longestLease) {
        // The restarted worker may have got a deadline on its former clock: far ahead on the new one, it counts as maxLease.
        end_ = std::max(end_, timers_.now() + longestLease);
    }
    isClockKnown_ = false;
    // The clock of a restarted worker began at zero, before now: this estimate can only shorten a lease.
    workerClock_ = Milliseconds(0);
    clockReceivedAt_ = timers_.now();
}

bool WorkerLease::isClockKnown() const
{
    return isClockKnown_;
}

Milliseconds WorkerLease::grant(Milliseconds lease)
{
    lease = std::min(lease, maxLease_);
    const auto now = timers_.now();
    lastGrantAt_ = now;
    const auto sinceReading = std::chrono::duration_cast<Milliseconds>(now - clockReceivedAt_);
    // The worker read its clock before its reply arrived here. The estimate of that clock is therefore behind by the delay of
    // the reply, which can only shorten the lease.
    // The third term allows for a clock that has run slow since its reading.
    end_ = std::max(end_, now + scale(lease, slowClockFactor) + scale(sinceReading, slowClockFactor - 1.0) + clockMargin);
    // The estimate is ahead of a slow clock, the more the older the reading is.
    const auto possibleError = scale(sinceReading, slowClockFactor - 1.0);
    return workerClock_ + sinceReading + lease - std::max(Milliseconds(0), possibleError - maxClockError);
}

TimePoint WorkerLease::end() const
{
    return end_;
}

TimePoint WorkerLease::lastGrantAt() const
{
    return lastGrantAt_;
}

} // namespace auburndoor
