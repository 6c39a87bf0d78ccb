#pragma once

#include "core/Clock.h"
#include "dispatch/WorkAmount.h"

#include <cstdint>
#include <map>
#include <utility>

namespace auburndoor {

/**
    How long the work that waits for a service takes at least, as one reading of all jobs has found it.

    It tells when a new job can end at the earliest, by what surely goes before it: work of more urgent priorities, and work of its
   own priority that is ranked before it even when its time has run out. The job's own work, work that comes later, runs that go on,
   work past its final deadline and room that stays empty do not count, so that the true end is later. It reads no clock and no
   state of jobs.
*/
class ServiceOutlook
{
public:
    /** @param capacity the work that the service's usable workers do in a millisecond, see workOf() */
    explicit ServiceOutlook(WorkAmount capacity = 0);

    /** Work that waits. */
    struct Waiting
    {
        int priority = 0;
        /** As ScarcityOrder::keyOf(). */
        std::int64_t key = 0;
        /** How much later it could start and be in time; negative if it cannot be. */
        Milliseconds slackLeft { 0 };
        WorkAmount work = 0;
    };

    void add(const Waiting &waiting);

    /**
        The time until the work that goes before a new job can have ended at the earliest, with which the job has not ended either;
        zero without any capacity, as nothing is known then.

        @param smallestKey the smallest key that the job will have while it can be in time
        @param allowed     the time until its objective
    */
    Milliseconds earliestEnd(int priority, std::int64_t smallestKey, Milliseconds allowed) const;

private:
    struct Level
    {
        WorkAmount all = 0;
        /** Work that can be in time, by the numbers of binary digits of its key and of its slack in milliseconds. */
        std::map<std::pair<int, int>, WorkAmount> inTime;
    };

    WorkAmount capacity_;
    std::map<int, Level> levels_;
};

} // namespace auburndoor
