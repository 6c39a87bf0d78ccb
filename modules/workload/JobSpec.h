#pragma once

#include "core/Clock.h"
#include "core/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburndoor {

/** A step of a job: a group of identical tasks. */
struct StepSpec
{
    int taskCount = 1;
    /** What each task occupies on its worker. With fillsIdleCapacity its processor time is not counted as used. */
    Resources need;
    /** The submitter's rough estimate of the run time of one task; zero if there is none. */
    Milliseconds estimate { 0 };
    /** Indices of earlier steps; all their tasks must be done before this step starts. */
    std::vector<int> dependsOn;
    /** Gang scheduling: the tasks start and end together, and make progress only while all of them run. */
    bool isGang = false;
    /** The tasks are slower when they are spread over several racks. */
    bool prefersOneRack = false;
    /** The tasks write checkpoints and can resume from them on another worker. */
    bool savesProgress = false;
    /** Speculative execution: several runs of a task may overlap, and the first one to end counts. */
    bool allowsCopies = false;
    /** The tasks run until the job is cancelled, and are restarted whatever their outcome. */
    bool isService = false;
    /** The tasks run on processor time that other tasks of the worker leave idle. */
    bool fillsIdleCapacity = false;
    /** A label that the worker must have; empty for any. */
    std::string requiredLabel;
    /** The rack that holds the tasks' data; they are slower on other racks. Empty for no preference. */
    std::string dataRack;
    /** The maximum number of tasks of this step on one worker; zero for no limit. */
    int maxTasksPerWorker = 0;
    /** The image that the tasks run; tasks with the same image behave alike. */
    std::string image;
    /** For services: the upper bound of their tail latency; zero for none. */
    Milliseconds latencyTarget { 0 };
    /** For services: how many tasks the scheduler may itself make unavailable at the same time; negative for no limit. */
    int maxUnavailable = -1;
};

/** A job as its submitter described it. */
struct JobSpec
{
    /** Chosen by the client; submissions with the same id are the same job. */
    std::string id;
    /** The queue that it was submitted to. */
    std::string queue;
    /** The name of the client account that submitted it; empty for a job without one. */
    std::string account;
    /** Passed to the workers unchanged. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** How many times the steps run; 1 for a job without a schedule. */
    int occurrences = 1;
    /** True if the occurrences are due at firstDue and then once per interval. */
    bool isScheduled = false;
    /** The wall time at which the first occurrence is due, since 1970. */
    std::chrono::milliseconds firstDue { 0 };
    std::chrono::milliseconds interval { 0 };

    /** The number of tasks of all steps together, in one occurrence. */
    std::int64_t taskCount() const;
};

/** The name of one task: job, occurrence, step and index. */
struct TaskName
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    /** The name as operators and the platform's protocol write it: "JOB.OCCURRENCE.STEP.INDEX". */
    std::string text() const;

    auto operator<=>(const TaskName &other) const = default;
};

} // namespace auburndoor
