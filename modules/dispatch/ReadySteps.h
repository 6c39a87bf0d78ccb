#pragma once

#include "dispatch/StepRank.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburndoor {

struct StepState;

/**
    The steps that have tasks to place, in the order in which they are served.

    The steps belong to their jobs: the entries of a job must be removed before any of its steps is used after the job has changed
    or ended. All members are called from the loop's thread.
*/
class ReadySteps
{
public:
    using Entries = std::map<StepRank, StepState *>;

    void insert(const StepRank &rank, StepState &step);
    /** Removes all steps of a job; reads none of them. */
    void removeJob(const std::string &job);
    /** Gives one step another rank. @return the first entry behind its former place */
    Entries::iterator setRank(Entries::iterator entry, const StepRank &rank);
    /** Removes one step. @return the entry after it */
    Entries::iterator erase(Entries::iterator entry);
    void clear();

    Entries &entries()
    {
        return entries_;
    }

private:
    Entries entries_;
    /** The ranks of the entries, by job. */
    std::unordered_map<std::string, std::vector<StepRank>> ranksByJob_;
};

} // namespace auburndoor
