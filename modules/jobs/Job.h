#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "declaration/Declaration.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

enum class TaskPhase {
    /** To be placed, for the first time or again. */
    Waiting,
    /** Recorded for a worker; it may not have started yet, may run, or may have ended there. */
    Assigned,
    Done,
    /** Ended by a cancel or by the failure of the job. */
    Cancelled,
};

/** The recorded state of one task of a job. */
struct TaskRecord
{
    TaskPhase phase = TaskPhase::Waiting;
    /** Assignments so far. It is part of the task id, so that no two assignments share an id. */
    int assignments = 0;
    /** Assignments that ran and did not end well; limited by the job's maximumAttempts. */
    int failures = 0;
    /** The worker of the last assignment. */
    WorkerId worker;
    /** The instance that owned the worker then; a hint, since ownership moves. */
    InstanceId owner;
    /** The answer of a task that is done, else what its last assignment reported. */
    std::string answer;

    bool operator==(const TaskRecord &other) const = default;
};

enum class JobPhase {
    Active,
    /** A caller has cancelled it; tasks may still run. */
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
    /** Whose owner drives it. */
    ShardId shard;
    JobDeclaration declaration;
    JobPhase phase = JobPhase::Active;
    std::vector<TaskRecord> tasks;
    WallTime submitted;
    /** When it reached its last phase; the epoch until then. */
    WallTime ended;
    /** Why it failed or was cancelled. */
    std::string reason;
    /** The version of the row; not part of its value. */
    long long version = 0;

    /** True in the phases Done, Failed and Cancelled. */
    bool hasEnded() const;

    /** True in the phases Cancelling and Failing. */
    bool isEnding() const;

    /** The id of a task's present assignment: "<job>/<index>/<assignments>". */
    TaskId taskId(std::size_t index) const;

    /** True if both would be recorded alike. The declaration is not compared, since it never changes. */
    bool isRecordedAs(const Job &other) const;
};

/** A job as it is first recorded. */
Job makeJob(const ShardId &shard, const JobDeclaration &declaration, WallTime submitted);

/** The names in records and explanations, such as "assigned". */
std::string_view name(TaskPhase phase);
std::string_view name(JobPhase phase);

/** The value of a job's row: JSON. */
std::string encode(const Job &job);

/** The job recorded in a row's value; empty if it is malformed. Fill the version from the row. */
std::optional<Job> decodeJob(const std::string &text);

/** True if both declarations ask for the same job. */
bool isSameDeclaration(const JobDeclaration &one, const JobDeclaration &other);

} // namespace auburndoor
