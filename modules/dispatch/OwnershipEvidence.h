#pragma once

#include "dispatch/CallTime.h"

namespace auburndoor {

/** Durations of the permission that an owner draws from its evidence. */
struct EvidenceTiming
{
    /** Leases end within this time of the moment of evidence that they rest on. */
    Milliseconds validity { 6000 };
    /** For how long after the store's last confirmation the replies of workers count as evidence. */
    Milliseconds maxTimeWithoutStore { 20000 };
    /** Nothing is started with less than this left, since its lease would end soon. */
    Milliseconds minTimeForStart { 1000 };
    /** Evidence is recent for this time. Without the store, the workers' replies are evidence that is up to 2.5 s old. */
    Milliseconds maxRecentAge { 3000 };
    /** How long a worker may take to end its runs once their lease has ended. */
    Milliseconds killGrace { 400 };
};

/**
    What an owner knows about whether it still is the owner, and the permission that follows from it.

    An owner that is cut off from the store may have been replaced without its knowledge. Its successor has to know when the leases
    that it granted have ended, so each lease ends within EvidenceTiming::validity of a moment of evidence. There are two kinds:

    - The store confirmed the ownership: no successor had taken over.
    - At least half of the workers in the roster accepted commands: no successor had read the reports of more than half of them.

    A successor that has read the reports of more than half of the roster's workers therefore knows that the evidence of all earlier
    owners is older than that. Without such a reading it waits for as long as an owner without the store may go on. All members are
    called from the loop's thread.
*/
class OwnershipEvidence
{
public:
    /** @param takeoverSentAt when the write that won the ownership was sent */
    OwnershipEvidence(Timers &timers, EvidenceTiming timing, CallTime takeoverSentAt);

    /** The store has confirmed the ownership in a call that was sent at this time. */
    void noteStoreConfirmation(CallTime sentAt);

    /** At least half of the roster's workers have accepted commands that were sent at this time or later, on the boot clock. */
    void noteQuorum(TimePoint bootSentAt);

    /** How long a lease that is granted now may last; zero without permission. */
    Milliseconds remaining() const;

    /** True if enough is left of the permission to start tasks. */
    bool mayStart() const;

    /** True if the last moment of evidence is recent, so that what this owner knows of the jobs can be shown to clients. */
    bool isRecent() const;

    /**
        True if the store has confirmed the ownership since this time, on the steady clock. If it has not, it is to be asked:
        isConfirmationNeeded() is true until then.

        The end of a lease tells that the runs of a silent worker have ended only if that is so: a successor may have adopted the
        runs and extended the lease.
    */
    bool requireConfirmation(TimePoint since);

    /** True if the store should be asked now whether this still is the owner. */
    bool isConfirmationNeeded() const;

    /** How long ago the last moment of evidence was. */
    Milliseconds age() const;

    /** How long ago the last call was sent in which the store confirmed the ownership. */
    Milliseconds storeAge() const;

    /**
        How long runs may go on under a lease of this duration after the reading of a worker that accepts no later one, until the
        worker has ended them.
    */
    static Milliseconds maxLeaseTime(Milliseconds lease, const EvidenceTiming &timing);

    /**
        How long after the reading of more than half of the inherited roster's workers all runs under leases of earlier owners have
        ended, also if the workers' clocks are slow.
    */
    static Milliseconds inheritedLeaseTime(const EvidenceTiming &timing);

    /** As inheritedLeaseTime(), after a takeover without such a reading. */
    static Milliseconds inheritedLeaseTimeWithoutMajority(const EvidenceTiming &timing);

private:
    /** The last moment of evidence, on the boot clock. */
    TimePoint lastEvidenceAt() const;

    Timers &timers_;
    EvidenceTiming timing_;
    CallTime confirmedAt_;
    /** The latest time since which a confirmation was required. */
    TimePoint requiredSince_;
    /** On the boot clock. */
    TimePoint quorumAt_;
};

} // namespace auburndoor
