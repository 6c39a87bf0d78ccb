#pragma once

#include "dispatch/JobState.h"
#include "workload/WorkerEntry.h"

#include <optional>
#include <string>

namespace auburndoor {

/**
    The text forms of a job in the store: its description, written once, and its progress, written after each end of a task.

    They are JSON objects in the product's own names.
*/
class JobRecordCodec
{
public:
    /** The description: steps, payload, queue and the time of acceptance. */
    static std::string description(const JobState &job);

    /** Fills spec, queue and acceptedAt. @return whether the text could be read */
    static bool readDescription(const std::string &text, JobState &job);

    /** Stage, done tasks, failures, attempts and checkpoints. */
    static std::string progress(const JobState &job);

    /** Applies recorded progress to a job whose description was read. @return whether the text could be read */
    static bool readProgress(const std::string &text, JobState &job, TimePoint now);

    /** The stage and the time of the end that a progress text holds; empty if it cannot be read. */
    static std::optional<JobStage> stageOf(const std::string &text, std::chrono::milliseconds &endedAt);

    /** What the next owner needs to reach a worker: service, address and life. */
    static std::string rosterEntry(const WorkerEntry &entry);
    static std::optional<WorkerEntry> readRosterEntry(const std::string &id, const std::string &text);
};

} // namespace auburndoor
