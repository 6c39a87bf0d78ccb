#pragma once

#include "dispatch/HostedRun.h"

#include <set>

namespace auburndoor {

/** How far a task is suspected of crashing the workers that start it. */
enum class Suspicion {
    None,
    /** A worker has crashed under it; it gets no copies, and runs apart from suspected tasks of other jobs. */
    Suspected,
    /** Several workers have crashed under it: it runs on a worker without runs of other jobs, so that a further crash proves it. */
    Isolated,
    /** It is not started again, and its job has failed. */
    Proven,
};

/**
    The crashes of workers under one task, and what follows from them.

    A crash puts all tasks of its worker under suspicion, most of them wrongly. A task is therefore proven to be the cause only by
    crashes of several incarnations of workers, if it ran without other jobs on one of them, or had always been started last.
    Crashes of many workers at once add one crash to each of their tasks, which isolates none.
*/
class CrashLedger
{
public:
    /** Records a crash. @return false if the crash of this incarnation of the worker is recorded already */
    bool record(const HostedRun &crash);

    Suspicion suspicion() const;

    /** Drops all crashes, after a run that shows the task to be sound. */
    void clear();

    /** The recorded crashes, one for each incarnation of a worker. */
    const std::set<HostedRun> &crashes() const
    {
        return crashes_;
    }

private:
    std::set<HostedRun> crashes_;
};

} // namespace auburndoor
