#pragma once

#include "worker/WorkerConnection.h"

namespace auburndoor {

/** One task id that a FakeWorker knows: running, ended, or cancelled before its start. */
struct FakeTask
{
    static constexpr int fullSpeed = 100;

    TaskStart start;
    TaskState state = TaskState::Running;
    WallTime startedAt;
    /** When it ends by itself; the maximum stands for never. */
    WallTime endsAt = WallTime::max();
    WallTime leaseUntil;
    int percent = fullSpeed;
    std::string echo;
    bool isFailing = false;
    std::string answer;
    /** Place in the order of ends at this worker. */
    long long endMark = 0;

    /** Takes run time, echo and failure from the body. @param failEverything makes it fail at once */
    void readBody(bool failEverything);

    /** The body with which the rest of the work can be started elsewhere. */
    std::string checkpoint(WallTime now) const;

    /** What the task answers when it ends by itself. */
    std::string ownAnswer() const;
};

} // namespace auburndoor
