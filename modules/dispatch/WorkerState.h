#pragma once

#include "dispatch/Run.h"
#include "workload/WorkerClient.h"
#include "workload/WorkerEntry.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace auburndoor {

/** One worker as the cell's owner sees it. */
struct WorkerState
{
    WorkerEntry entry;
    std::unique_ptr<WorkerClient> client;
    std::map<RunKey, Run> runs;
    /** The sum of what its runs claim. */
    Resources used;
    /** All its runs are known: its report was read under this owner's token, or none of its earlier runs can go on. */
    bool isReportRead = false;
    /** Its last report did not list all its ended runs, so that the absence of a run tells nothing. */
    bool isReportCutOff = false;
    /** Its last report could not be read in full, so that the absence of a run tells nothing. */
    bool isReportUnreadable = false;
    /** It is in the directory. */
    bool isListed = false;
    /** Its entry is that of its current incarnation, which may have another capacity and other labels than the one before. */
    bool isEntryCurrent = true;
    /** When it left the directory, or was added without being listed. */
    TimePoint unlistedAt;
    /** Its current incarnation is stored in the roster, which the next owner reads. */
    bool isInRoster = false;
    /** The next owner was told when the leases on it end, so that this one grants no further one. */
    bool isHandedOver = false;
    /** A poll is scheduled or pending. */
    bool isPolling = false;
    /** A report beside the polls is to be requested after a report that has left out runs. */
    bool isProbeScheduled = false;
    TimePoint lastReportAt;
    /** When the report before that was read. */
    TimePoint previousReportAt;
    /** When the last restart of the worker was seen. */
    TimePoint restartSeenAt;
    /** Since when another worker answers at its address; empty if none does. */
    std::optional<TimePoint> replacedSince;
    /** When the leases have ended that an earlier owner granted before this one read the report. */
    TimePoint inheritedLeaseEnd;
    /** When the last poll was sent that its present incarnation has accepted, on the boot clock. */
    TimePoint acceptedAt;
    /** The polls that failed since the last report. */
    int failedPolls = 0;
    /** When the first of them failed. */
    TimePoint silentSince;
    /** Nothing is started on it before this time, after failures or refusals. */
    TimePoint avoidUntil;
    /** The outcomes of the last runs that were done or failed; true for a failure. */
    std::deque<bool> recentFailures;
    /** The highest number of an end that was processed. */
    std::int64_t lastSeenEnd = 0;
    /** All ends up to this number are stored, so that the worker may forget them. */
    std::int64_t acknowledgedEnd = 0;
    /** The numbers of processed ends that are not stored yet. */
    std::set<std::int64_t> unrecordedEnds;
    /** The highest acknowledgement that the worker is known to have received. */
    std::int64_t deliveredAcknowledgement = 0;
    /** The number of its runs that are unwanted. */
    int unwantedRuns = 0;
    /** The number of its runs that are isolated. */
    int isolatedRuns = 0;
    /** Runs that are over, with the time of their removal. Reports may overtake each other, so an older one may still list them. */
    std::map<RunKey, TimePoint> recentlyEndedRuns;

    /** As WorkerSpeeds::speed() at the last full reading, or at the last end of a run on it. */
    double speed = 1;

    /** It is listed in Fleet::takeChangedWorkers(). */
    bool isChangeNoted = false;

    /** True if a run that its last report does not list is not on the worker. */
    bool isReportComplete() const
    {
        return !isReportCutOff && !isReportUnreadable;
    }
    /** True if a run of another job is on the worker. */
    bool hasOtherJobs(const std::string &job) const
    {
        return hasRunOfOtherJob(job, [](const RunClaim &) { return true; });
    }
    /** True if a suspected task of another job runs on the worker. */
    bool hasOtherSuspects(const std::string &job) const
    {
        return hasRunOfOtherJob(job, [](const RunClaim &claim) { return claim.isSuspected; });
    }
    /** True if the worker is left to a run of another job. */
    bool isIsolatedFrom(const std::string &job) const
    {
        return isolatedRuns > 0 && hasRunOfOtherJob(job, [](const RunClaim &claim) { return claim.isIsolated; });
    }

    Resources free() const
    {
        return entry.capacity - used;
    }
    /**
        The acknowledgement to send, or 0 if the worker is known to have received it.

        A restarted worker numbers its ends from 1 again: an old number that was repeated would make it forget ends that no owner
        has seen.
    */
    std::int64_t acknowledgementToSend() const
    {
        return acknowledgedEnd > deliveredAcknowledgement ? acknowledgedEnd : 0;
    }
    bool hasUnacknowledgedEnds() const
    {
        return lastSeenEnd > acknowledgedEnd;
    }

private:
    template<typename Predicate>
    bool hasRunOfOtherJob(const std::string &job, Predicate isMatch) const
    {
        return std::any_of(
            runs.begin(), runs.end(), [&](const auto &run) { return run.first.task.job != job && isMatch(run.second.claim); });
    }
};

} // namespace auburndoor
