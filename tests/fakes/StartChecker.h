#pragma once

#include "fakes/SimulatedWorker.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** Checks each start at the workers themselves: capacity, one run of a task at a time, none after its end was acknowledged. */
class StartChecker
{
public:
    explicit StartChecker(SimulatedFleet &fleet) : fleet_(fleet)
    {
    }

    /** Makes the needs of a job's tasks known, before the job is handed in. */
    void addJob(const std::string &id, const JobSpec &spec)
    {
        jobs_[id] = spec;
    }

    /** Checks a start that the worker has begun. */
    void check(SimulatedWorker &worker, const StartCommand &order);

    /** What was found, for a person. */
    std::vector<std::string> violations;

private:
    SimulatedFleet &fleet_;
    std::map<std::string, JobSpec> jobs_;
};

} // namespace auburndoor
