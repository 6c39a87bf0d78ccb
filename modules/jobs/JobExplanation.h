#pragma once

#include "jobs/Job.h"

namespace auburndoor {

/** Text for operators: why a job waits and where its tasks are. */
struct JobExplanation
{
    JobPhase phase = JobPhase::Active;
    std::string summary;
    /** One line for each task. */
    std::vector<std::string> tasks;
};

/** Explains a job from its record alone. JobDriver::explain() adds what the owner of the shard knows. */
JobExplanation explainRecord(const Job &job);

} // namespace auburndoor
