#pragma once

#include "dispatch/LostRun.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace auburndoor {

/**
    The runs that were given up without a listed end, for a limited time, also those of workers that were forgotten meanwhile.

    A report that lists such a run on the same incarnation, and that was requested after the loss, proves that the loss was wrong.
    Reports may overtake each other, so one that was requested before proves nothing.
*/
class LostRuns
{
public:
    /** Adds a run, and forgets those that were lost long ago. */
    void add(const std::string &worker, const RunKey &key, LostRun run);

    /** Null if the run was not given up on this incarnation of the worker. */
    const LostRun *find(const std::string &worker, const RunKey &key, std::int64_t incarnation) const;

    /** Forgets the run. @return false if it was not there */
    bool erase(const std::string &worker, const RunKey &key);

private:
    using Key = std::pair<std::string, RunKey>;

    std::map<Key, LostRun> runs_;
    /** In the order of the losses; a run that was erased, or lost once more, stays until its turn. */
    std::deque<std::pair<TimePoint, Key>> order_;
};

} // namespace auburndoor
