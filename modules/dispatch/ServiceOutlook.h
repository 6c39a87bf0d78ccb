#pragma once

#include "core/Clock.h"
#include "dispatch/WorkAmount.h"

#include <array>
#include <cstdint>
#include <map>

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

    /** Adds work that waits. @param key as ScarcityOrder::keyOf() @param isLate its job cannot be in time */
    void add(int priority, bool isLate, std::int64_t key, WorkAmount work);

    /**
        The time until the work that goes before a new job can have ended at the earliest, with which the job has not ended either;
        zero without any capacity, as nothing is known then.

        @param smallestKey the smallest key that the job will have while it can be in time
    */
    Milliseconds earliestEnd(int priority, std::int64_t smallestKey) const;

private:
    static constexpr std::size_t bucketCount = 48;

    struct Level
    {
        WorkAmount all = 0;
        /** Work that can be in time, by the number of binary digits of its key. */
        std::array<WorkAmount, bucketCount> byKey {};
    };

    WorkAmount capacity_;
    std::map<int, Level> levels_;
};

} // namespace auburndoor
