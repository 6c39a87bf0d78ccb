#pragma once

#include "dispatch/Run.h"
#include "workload/WorkerClient.h"
#include "workload/WorkerEntry.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace auburndoor {

/** One worker as its owner sees it. */
struct WorkerState
{
    WorkerEntry entry;
    std::unique_ptr<WorkerClient> client;
    std::map<RunKey, Run> runs;
    /** The sum of the needs of its runs. */
    Resources used;
    /** Its report was read under this owner's token: all that may run there is known. */
    bool isRead = false;
    /** It stands in the directory. */
    bool isListed = false;
    TimePoint unlistedAt;
    /** It stands in the roster that the next owner reads. */
    bool isRostered = false;
    bool isLooking = false;
    TimePoint lastReportAt;
    int failedLooks = 0;
    /** Until then nothing is started there, after failures. */
    TimePoint avoidUntil;
    /** Outcomes of the last runs, true for a failure. */
    std::deque<bool> recentFailures;
    /** The highest end that was taken into account, and the highest up to which all ends are stored. */
    std::int64_t seenEnd = 0;
    std::int64_t acknowledgedEnd = 0;
    std::set<std::int64_t> recordedEnds;
    /** The acknowledgement that the worker is known to have received. */
    std::int64_t deliveredAcknowledgement = 0;
    int foreignRuns = 0;
    /** Runs that are over. Reports may overtake each other, and an older one still lists them. */
    std::map<RunKey, TimePoint> overRuns;

    Resources free() const
    {
        return entry.capacity - used;
    }
    /**
        The acknowledgement to send: each is repeated only until it is known to have arrived. A worker that has restarted counts
        its ends anew, and an old number would make it forget ends that nobody has seen.
    */
    std::int64_t acknowledgementToSend() const
    {
        return acknowledgedEnd > deliveredAcknowledgement ? acknowledgedEnd : 0;
    }
    bool hasUnacknowledgedEnds() const
    {
        return seenEnd > acknowledgedEnd;
    }
};

} // namespace auburndoor
