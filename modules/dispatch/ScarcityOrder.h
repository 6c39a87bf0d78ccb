#pragma once

#include "core/Clock.h"
#include "core/Resources.h"
#include "dispatch/WorkAmount.h"

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>

namespace auburndoor {

/**
    Ranks the waiting work of one service while its room is scarce. It reads no clock and no state of jobs.

    It responds to work that waits and cannot be placed. Then the work goes first, within its priority and queue, that needs little
    for the time it has left, so that few jobs become late; a job whose time runs out moves forward whatever its size. Each priority
    keeps a part of the room that it needs, so that more urgent work does not take all of it. While room is not scarce, nothing is
    owed and all keys are zero. Each call costs the same whatever waits.
*/
class ScarcityOrder
{
public:
    /** The time over which started work is compared with the work that has come. */
    static constexpr Milliseconds window { 5000 };

    /** The parts that all priorities keep leave at least this share of the room to the order of priorities. */
    static constexpr double maxKeptShareOfRoom = 0.5;

    /** What the rank of a step rests on. */
    struct Waiting
    {
        /** The work of its job that is not done, and all its work. */
        WorkAmount remainingWork = 0;
        WorkAmount totalWork = 0;
        /**
            How much later the job could start and be in time, and how much later it could when it came. Of a late job: by its final
            deadline, and from its objective on.
        */
        Milliseconds slackLeft { 0 };
        Milliseconds slackAtFirst { 0 };
        bool isLate = false;
    };

    /** What one reading of all jobs and workers has found. */
    struct Reading
    {
        /** The needs of all waiting tasks, and of those that no worker has room for. */
        Resources waiting;
        Resources waitingWithoutRoom;
        /** What is free on usable workers, and the capacity of these. */
        Resources free;
        Resources capacity;
        /** What tasks that wait and can be in time would occupy, as workOf() in a millisecond, by priority. */
        std::map<int, WorkAmount> waitingRoom;
        /** The priority of the most urgent work that no worker has room for and that can be in time. */
        int mostUrgentWithoutRoom = std::numeric_limits<int>::max();
    };

    /** Decides by a reading whether room is scarce, and what each priority is owed until the next one. */
    void update(TimePoint now, const Reading &reading);

    /** Notes a step whose tasks have come to wait. @param work of all its tasks */
    void noteDemand(int priority, WorkAmount work, TimePoint now);
    /** Notes the work of a job that has come, for comparison with others of its queue. */
    void noteJob(const std::string &queue, WorkAmount work);
    /** Notes the start of a task. @param room what it occupies, as workOf() in a millisecond */
    void noteStart(int priority, WorkAmount work, WorkAmount room, TimePoint now);
    /** Notes that a run was stopped. */
    void noteStop(int priority, WorkAmount work, TimePoint now);

    /** True while work waits that cannot be placed, and for a short time after that. */
    bool isScarce() const
    {
        return isScarce_;
    }
    /** True if the priority has got less room than it keeps. */
    bool isOwed(int priority) const;
    /** True if stops of its runs would leave the priority with less room than it keeps. */
    bool isProtected(int priority) const;
    /** True if work of a more urgent priority waits that no worker has room for. */
    bool isMoreUrgentWaiting(int priority) const
    {
        return isScarce_ && mostUrgentWaiting_ < priority;
    }
    /**
        True if ends of runs will make the room in time, at the rate at which room was taken lately, so that no run has to be
        stopped.

        @param room      what the tasks of the step occupy that wait, as workOf() in a millisecond
        @param slackLeft how much later the step could start and be in time
    */
    bool willHaveRoom(int priority, WorkAmount room, Milliseconds slackLeft) const;
    /** The key among steps of one priority, the smallest first; zero while room is not scarce. */
    std::int64_t keyOf(const std::string &queue, const Waiting &waiting) const;

private:
    static constexpr std::size_t bucketCount = 10;

    struct Level
    {
        std::array<WorkAmount, bucketCount> demanded {};
        std::array<WorkAmount, bucketCount> started {};
        WorkAmount kept = 0;
        WorkAmount got = 0;
    };

    /** Clears the buckets that have left the window. @return the bucket of now */
    std::size_t advance(TimePoint now);

    std::map<int, Level> levels_;
    std::array<WorkAmount, bucketCount> takenRoom_ {};
    std::map<int, WorkAmount> waitingRoom_;
    std::unordered_map<std::string, double> meanWorkByQueue_;
    std::int64_t bucketNumber_ = 0;
    bool isScarce_ = false;
    TimePoint scarceUntil_;
    int mostUrgentWaiting_ = std::numeric_limits<int>::max();
};

} // namespace auburndoor
