#pragma once

#include "core/Resources.h"

#include <cstdint>
#include <map>
#include <string>

namespace auburndoor {

struct InheritedTasks;
struct JobState;
struct UnreadCapacity;

/**
    What the accounts may have on workers whose reports have not been read since a takeover.

    Each inherited task that is not done and has no known run counts as running, up to what those workers can hold.
*/
class InheritedUse
{
public:
    /** Adds the tasks of a job that may have runs on such workers. */
    void add(const JobState &job);
    /** As above, for a job that has ended. */
    void add(const InheritedTasks &tasks);

    /** The use of each account. @param capacity of the workers without a report */
    std::map<std::string, Resources> compute(const UnreadCapacity &capacity) const;

private:
    struct Sum
    {
        /** The needs as they count on a worker. */
        Resources onWorkers;
        /** The processor time of tasks that fill idle capacity, which no worker's capacity bounds. */
        std::int64_t idleMilliCores = 0;
    };

    void add(const std::string &account, const Resources &need, bool fillsIdleCapacity, std::int64_t count);

    std::map<std::string, Sum> sums_;
};

} // namespace auburndoor
