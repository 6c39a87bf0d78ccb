#pragma once

#include "jobs/Job.h"

namespace auburndoor {

/** Why a job waits and where its tasks went, for a person to read. */
struct JobExplanation
{
    JobPhase phase = JobPhase::Active;
    std::string summary;
    /** One line for each task. */
    std::vector<std::string> tasks;
};

/** What a job's record says; its owner knows more. */
JobExplanation explainRecord(const Job &job);

} // namespace auburndoor
