#include "dispatch/FleetImpl.h"

#include "observability/EventLog.h"

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

const HandedOverLease *Fleet::Impl::handedOverLease(const WorkerState &worker) const
{
    const auto &lease = worker.entry.handedOverLease;
    return lease && lease->fencingToken == fencingToken - 1 ? &*lease : nullptr;
}

TimePoint Fleet::Impl::inheritedLeasesEnd(const WorkerState &worker) const
{
    const auto end = inheritedLeasesEnd();
    const auto *lease = handedOverLease(worker);
    return lease == nullptr ? end : std::min(end, storeClock.reachedBy(lease->endsBy).value_or(end));
}

bool Fleet::Impl::areInheritedLeasesOver(const WorkerState &worker) const
{
    const auto end = inheritedLeasesEnd(worker);
    return timers.now() > end && evidence.requireConfirmation(end);
}

bool Fleet::Impl::mayHaveUnknownRuns(const WorkerState &worker) const
{
    return !areInheritedLeasesOver(worker) || (!worker.isReportComplete() && timers.now() <= ownLeaseEnd(worker));
}

std::optional<Milliseconds> Fleet::Impl::leasesEndBy(const WorkerState &worker) const
{
    const auto toStoreTime = [this](TimePoint end) {
        return storeClock.latestTimeAfter(std::chrono::ceil<Milliseconds>(end - timers.now()), timers.bootNow());
    };
    const auto end = toStoreTime(leaseEnd(worker));
    const auto *lease = worker.isReportRead ? nullptr : handedOverLease(worker);
    if (lease == nullptr || !end) {
        return end;
    }
    // The time is passed on as it was handed over: each conversion between the clocks makes it later.
    return std::min(*end, std::max(lease->endsBy, *toStoreTime(ownLeaseEnd(worker))));
}

bool Fleet::Impl::mayChangeRoster() const
{
    // Without a majority, new workers would be out of use for as long as a former owner may go on without the store.
    const auto end = createdAt + OwnershipEvidence::inheritedLeaseTime(timing.evidence);
    return quorum.hasReachedInheritedMajority() || timers.now() > end;
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
        EventLog::write("takeover.majority_read",
                        { { "token", fencingToken },
                          { "roster", quorum.inheritedCount() },
                          { "unreached", quorum.unreachedInheritedCount() },
                          { "after_ms", elapsedSince(createdAt).count() } });
    }
}

TimePoint Fleet::Impl::ownLeaseEnd(const WorkerState &worker) const
{
    return worker.client->leaseEnd() + timing.evidence.killGrace;
}

TimePoint Fleet::Impl::leaseEnd(const WorkerState &worker) const
{
    return std::max(ownLeaseEnd(worker), worker.isReportRead ? worker.inheritedLeaseEnd : inheritedLeasesEnd(worker));
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

bool Fleet::Impl::hasLeft(const WorkerState &worker) const
{
    if (!worker.entry.isDraining || worker.isListed || !directoryReadAt) {
        return false;
    }
    const auto silence = silenceBeforeRemoval(worker.entry);
    const bool isRemovedByWorker = silence >= Milliseconds(0) && silence < timing.minSilenceBeforeRemoval;
    // A successor may have seen its runs end before it left.
    return isRemovedByWorker && evidence.requireConfirmation(std::max(*directoryReadAt, worker.unlistedAt));
}

} // namespace auburndoor
