#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "declaration/Declaration.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

enum class TaskPhase {
    /** Has to be placed, for the first time or again. */
    Waiting,
    /** Recorded for a worker; the task may be about to start, may run, or may have ended there. */
    Assigned,
    Done,
    /** Not done when the job was cancelled or failed. */
    Cancelled,
};

/** The recorded state of one task of a job. */
struct TaskRecord
{
    TaskPhase phase = TaskPhase::Waiting;
    /** The number of assignments so far. It is part of the task id, so that each assignment has an id of its own. */
    int assignments = 0;
    /** Assignments that count as failed. The job fails when this reaches its maximumAttempts. */
    int failures = 0;
    /** The worker of the last assignment. */
    WorkerId worker;
    /** The instance that owned the worker at the last assignment; the worker may have another owner now. */
    InstanceId owner;
    /** The answer of a task that is done, else the answer or error that ended its last assignment; empty while assigned. */
    std::string answer;

    bool operator==(const TaskRecord &other) const = default;
};

enum class JobPhase {
    Active,
    /** A caller has cancelled the job; tasks may still run. */
    Cancelling,
    /** A task has used up its attempts; other tasks may still run. */
    Failing,
    Done,
    Failed,
    Cancelled,
};

/** A job with the state of each task, as recorded in its row. */
struct Job
{
    /** The shard that the job is recorded in; the owner of the shard drives the job. */
    ShardId shard;
    JobDeclaration declaration;
    JobPhase phase = JobPhase::Active;
    std::vector<TaskRecord> tasks;
    WallTime submitted;
    /** When the job reached its last phase; the Unix epoch until then. */
    WallTime ended;
    /** Why the job failed or was cancelled; empty otherwise. */
    std::string reason;
    /** The version of the row; not part of its value. */
    long long version = 0;

    /** True in the phases Done, Failed and Cancelled. */
    bool hasEnded() const;

    /** True in the phases Cancelling and Failing. */
    bool isEnding() const;

    /** The id of a task's current assignment: "<job>/<index>/<assignments>". */
    TaskId taskId(std::size_t index) const;

    /** True if phase, tasks and reason are equal. The declaration is not compared, since it never changes. */
    bool isRecordedAs(const Job &other) const;
};

/** Creates the active job, with all tasks waiting, that is recorded for a submission. */
Job makeJob(const ShardId &shard, const JobDeclaration &declaration, WallTime submitted);

/** The name of a phase in records and explanations, such as "assigned". */
std::string_view name(TaskPhase phase);
std::string_view name(JobPhase phase);

/** Encodes a job as the JSON value of its row. */
std::string encode(const Job &job);

/** Decodes the value of a job's row. The caller sets the version from the row. @return empty if the value is malformed */
std::optional<Job> decodeJob(const std::string &text);

/** True if all fields of both declarations are equal. */
bool isSameDeclaration(const JobDeclaration &one, const JobDeclaration &other);

} // namespace auburndoor
