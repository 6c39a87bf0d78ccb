#include "dispatch/OwnershipEvidence.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A worker's clock may run up to 2% slow.
constexpr double slowClockFactor = 1.0 / 0.98;
// Allows for the rounding of deadlines to milliseconds and for what WorkerLease leaves of the errors of its clock readings.
constexpr Milliseconds expiryMargin { 50 };
// Each write of the owner confirms the ownership as well, so that an owner asks for it only while it has nothing to write.
constexpr Milliseconds maxConfirmationAge { 600 };

Milliseconds scaleForSlowClock(Milliseconds duration)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * slowClockFactor));
}

} // namespace

OwnershipEvidence::OwnershipEvidence(Timers &timers, EvidenceTiming timing, CallTime takeoverSentAt)
    : timers_(timers), timing_(timing), confirmedAt_(takeoverSentAt), quorumAt_(takeoverSentAt.boot)
{
}

void OwnershipEvidence::noteStoreConfirmation(CallTime sentAt)
{
    if (sentAt.steady > confirmedAt_.steady) {
        confirmedAt_ = sentAt;
    }
}

void OwnershipEvidence::noteQuorum(TimePoint bootSentAt)
{
    quorumAt_ = std::max(quorumAt_, bootSentAt);
}

TimePoint OwnershipEvidence::lastEvidenceAt() const
{
    return std::max(confirmedAt_.boot, std::min(quorumAt_, confirmedAt_.boot + timing_.maxTimeWithoutStore));
}

Milliseconds OwnershipEvidence::remaining() const
{
    const auto end = lastEvidenceAt() + timing_.validity;
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(end - timers_.bootNow()));
}

bool OwnershipEvidence::mayStart() const
{
    return remaining() >= timing_.minTimeForStart;
}

bool OwnershipEvidence::isRecent() const
{
    return age() <= timing_.maxRecentAge;
}

Milliseconds OwnershipEvidence::age() const
{
    return std::chrono::duration_cast<Milliseconds>(timers_.bootNow() - lastEvidenceAt());
}

bool OwnershipEvidence::requireConfirmation(TimePoint since)
{
    requiredSince_ = std::max(requiredSince_, since);
    return confirmedAt_.steady >= since;
}

bool OwnershipEvidence::isConfirmationNeeded() const
{
    return confirmedAt_.steady < requiredSince_ || storeAge() > maxConfirmationAge;
}

Milliseconds OwnershipEvidence::storeAge() const
{
    return std::chrono::duration_cast<Milliseconds>(timers_.bootNow() - confirmedAt_.boot);
}

Milliseconds OwnershipEvidence::maxLeaseTime(Milliseconds lease, const EvidenceTiming &timing)
{
    return scaleForSlowClock(lease) + expiryMargin + timing.killGrace;
}

Milliseconds OwnershipEvidence::inheritedLeaseTime(const EvidenceTiming &timing)
{
    return maxLeaseTime(timing.validity, timing);
}

Milliseconds OwnershipEvidence::inheritedLeaseTimeWithoutMajority(const EvidenceTiming &timing)
{
    return maxLeaseTime(timing.validity + timing.maxTimeWithoutStore, timing);
}

} // namespace auburndoor
