#pragma once

#include "core/Clock.h"
#include "dispatch/WorkerCrash.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/**
    Runs of workers that were restarted or have fallen silent, kept until it is known what happened.

    A later incarnation under the same id, or another worker at the same address, shows that the worker has crashed. A report of the
    same incarnation shows that it was cut off. If nothing is heard within a minute, the worker has left or is still cut off.
   Neither says anything about its tasks.
*/
class PossibleCrashes
{
public:
    /** Adds the runs of an incarnation that may have crashed; without runs it does nothing. */
    void add(WorkerCrash crash, TimePoint now);

    /**
        Removes what a report of the worker decides.

        @param incarnation the incarnation that reports
        @param pollSentAt  when the report was requested; it decides nothing about runs that were added later
        @return            the crashes of earlier incarnations
    */
    std::vector<WorkerCrash> take(const std::string &worker, std::int64_t incarnation, TimePoint pollSentAt);

    /** Removes and returns what was added for a worker whose address another one has. */
    std::vector<WorkerCrash> takeReplaced(const std::string &worker);

    /** Removes and returns what was added for workers that had this address, except for the worker that has it now. */
    std::vector<WorkerCrash> takeReplaced(const Address &address, const std::string &newWorker);

private:
    struct Entry
    {
        WorkerCrash crash;
        TimePoint addedAt;
    };
    std::map<std::string, std::vector<Entry>> entries_;
};

} // namespace auburndoor
