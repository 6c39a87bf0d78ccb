#pragma once

#include "fakes/SimulatedWorker.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/**
    Checks at the workers themselves: capacity, one run of a task at a time, no start after an end as done that is acknowledged
    before or after that start, and no order of a former owner that succeeds after one of its successor. A worker that has restarted
    knows no token: there a former owner may still renew, since nothing of it runs, but not start.
*/
class StartChecker
{
public:
    /** @param fleet tells this checker of acknowledgements; each start has to be handed to check() */
    explicit StartChecker(SimulatedFleet &fleet);
    StartChecker(const StartChecker &) = delete;
    StartChecker &operator=(const StartChecker &) = delete;

    /** Makes the needs of a job's tasks known, before the job is handed in. */
    void addJob(const std::string &id, const JobSpec &spec)
    {
        jobs_[id] = spec;
    }

    /** Checks a start that the worker has begun. */
    void check(SimulatedWorker &worker, const StartCommand &order);

    /** If true, runs of a task may overlap and follow its end where its step allows copies. */
    bool permitsCopies = false;

    /** What was found, for a person. */
    std::vector<std::string> violations;

private:
    bool mayRunAgain(const TaskName &task) const;
    void checkAcknowledged(const TaskName &task, TimePoint endedAt);

    void checkToken(const SimulatedWorker &worker, std::int64_t token, bool isStart);

    SimulatedFleet &fleet_;
    /** The highest token that each worker has accepted a start or a renewal with, by incarnation. */
    std::map<std::string, std::map<std::int64_t, std::int64_t>> acceptedTokens_;
    std::map<std::string, JobSpec> jobs_;
    std::map<TaskName, TimePoint> lastStarts_;
};

} // namespace auburndoor
