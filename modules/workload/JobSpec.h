#pragma once

#include "core/Clock.h"
#include "core/Resources.h"

#include <string>
#include <vector>

namespace auburndoor {

/** A group of equal tasks of a job. */
struct StepSpec
{
    int taskCount = 1;
    /** What each task occupies. For a step that fills idle capacity the processors are left out of the worker's account. */
    Resources need;
    /** The submitter's rough estimate of one task's run time; zero if there is none. */
    Milliseconds estimate { 0 };
    /** Indices of earlier steps of which all tasks must be done first. */
    std::vector<int> dependsOn;
    /** The tasks work only while all of them run, and start and end together. */
    bool isGang = false;
    /** The tasks are slower when they run on more than one rack. */
    bool prefersOneRack = false;
    /** The tasks save their progress and can resume from it elsewhere. */
    bool savesProgress = false;
    /** Copies of a task may run side by side; the first one that ends counts. */
    bool allowsCopies = false;
    /** The tasks run until the job is cancelled and are started again however they end. */
    bool isService = false;
    /** The tasks use processors that others leave idle. */
    bool fillsIdleCapacity = false;
    /** A label that the worker must have; empty for any. */
    std::string requiredLabel;
    /** The rack that holds the data; the tasks are slower on others. Empty for none. */
    std::string dataRack;
    /** The most tasks of this step on one worker; zero for no limit. */
    int maxTasksPerWorker = 0;
    /** What the tasks run; tasks of one image behave alike. */
    std::string image;
    /** For services: the bound of their tail latency; zero for none. */
    Milliseconds latencyTarget { 0 };
    /** For services: how many tasks the scheduler itself may keep from work at the same time; negative for no limit. */
    int maxUnavailable = -1;
};

/** A job as its submitter described it. */
struct JobSpec
{
    /** Chosen by the client; the same id is the same job. */
    std::string id;
    /** The queue that it was submitted to. */
    std::string queue;
    /** Handed to the workers as it is. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** How often the steps run; 1 for a job without a schedule. */
    int occurrences = 1;
    bool isScheduled = false;
    /** The time at which the first occurrence is due, since 1970. */
    std::chrono::milliseconds firstDue { 0 };
    std::chrono::milliseconds interval { 0 };
};

/** The name of one task: job, occurrence, step and index. */
struct TaskName
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskName &other) const = default;
};

} // namespace auburndoor
