#include "dispatch/FleetImpl.h"

#include <algorithm>

namespace auburndoor {

Milliseconds Fleet::Impl::permittedLease() const
{
    return std::min(timing.lease, evidence.remaining());
}

TimePoint Fleet::Impl::inheritedLeasesEnd() const
{
    if (majorityReadAt || quorum.hasReachedInheritedMajority()) {
        return majorityReadAt.value_or(createdAt) + OwnershipEvidence::inheritedLeaseTime(timing.evidence);
    }
    return createdAt + OwnershipEvidence::inheritedLeaseTimeWithoutMajority(timing.evidence);
}

bool Fleet::Impl::areInheritedLeasesOver() const
{
    const auto end = inheritedLeasesEnd();
    return timers.now() > end && evidence.requireConfirmation(end);
}

bool Fleet::Impl::mayChangeRoster() const
{
    return quorum.hasReachedInheritedMajority() || areInheritedLeasesOver();
}

void Fleet::Impl::catchUpWithRoster()
{
    if (!isRosterChangeDelayed || !mayChangeRoster()) {
        return;
    }
    isRosterChangeDelayed = false;
    std::vector<std::string> unlisted;
    for (const auto &[id, worker] : workers) {
        if (worker->isListed) {
            addToRoster(*worker);
        } else {
            unlisted.push_back(id);
        }
    }
    for (const auto &id : unlisted) {
        removeIfGone(id);
    }
}

void Fleet::Impl::noteReached(const std::string &id)
{
    quorum.noteReached(id);
    if (!majorityReadAt && quorum.hasReachedInheritedMajority()) {
        majorityReadAt = timers.now();
    }
}

TimePoint Fleet::Impl::leaseEnd(const WorkerState &worker) const
{
    return std::max(worker.client->leaseEnd(), worker.isReportRead ? worker.inheritedLeaseEnd : inheritedLeasesEnd());
}

bool Fleet::Impl::isAbsenceConclusive(const WorkerState &worker, const Run &run) const
{
    return run.incarnation == worker.entry.incarnation || evidence.requireConfirmation(worker.restartSeenAt);
}

bool Fleet::Impl::isLeaseOver(const WorkerState &worker) const
{
    const auto end = leaseEnd(worker);
    return timers.now() > end && evidence.requireConfirmation(end);
}

bool Fleet::Impl::hasLeft(const WorkerState &worker, CommandOutcome pollOutcome) const
{
    if (!worker.entry.isDraining || worker.isListed || pollOutcome != CommandOutcome::NotSent || !directoryReadAt) {
        return false;
    }
    // A worker whose entry vanished under this owner before its report was read may be cut off together with an earlier owner.
    const bool mayBeHeld = !worker.isReportRead && worker.unlistedAt > *directoryReadAt;
    const auto goneAt = std::max(*directoryReadAt, worker.unlistedAt) + timing.minAbsence;
    return !mayBeHeld && !isDirectoryStale && timers.now() >= goneAt && evidence.requireConfirmation(goneAt);
}

} // namespace auburndoor
