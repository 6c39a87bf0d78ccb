#pragma once

#include "dispatch/JobState.h"
#include "dispatch/TaskRecordCodec.h"

#include <optional>
#include <string>

namespace auburndoor {

/** What a progress text tells without the description of its job. */
struct StoredStage
{
    JobStage stage = JobStage::Queued;
    /** Of an ended job: when it ended, since 1970. */
    std::chrono::milliseconds endedAt { 0 };
    /** Of an ended job: as JobSpec::account; empty in the texts of earlier releases. */
    std::string account;
};

/**
    Converts jobs to and from the texts in the store.

    A job has two texts: its description, written once, and its progress, written after each end of a run. A wide job has a further
    one for each JobPart. All texts are JSON objects with keys of auburndoor's own, not the platform's.
*/
class JobRecordCodec
{
public:
    /** Returns the description of a job: its steps, payload, queue and the time of acceptance. */
    static std::string description(const JobState &job);

    /** Fills the job's spec, queue and acceptedAt. @return false if the text cannot be read; the job may be filled in part then */
    static bool readDescription(const std::string &text, JobState &job);

    /**
        Returns the progress of a job: its stage, done tasks, failures, attempts and checkpoints; for an ended job, its end. The
       tasks of a wide job are in its parts.
    */
    static std::string progress(const JobState &job, RecordDetail detail = RecordDetail::Full);

    /** Applies stored progress to a job whose description was read. @return false if the text cannot be read */
    static bool readProgress(const std::string &text, JobState &job, TimePoint now);

    /** Returns the progress of the tasks of a part of a wide job. @param firstTask as JobPart::firstTask */
    static std::string part(const StepState &step, int firstTask, RecordDetail detail = RecordDetail::Full);
    /** Applies a stored part. @return false if it cannot be read as a whole; the readable tasks are applied */
    static bool readPart(const std::string &text, int firstTask, StepState &step);

    /** Reads the stage in a progress text; empty if it cannot be read. */
    static std::optional<StoredStage> stageOf(const std::string &text);
};

} // namespace auburndoor
