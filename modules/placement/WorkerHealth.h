#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"

#include <deque>
#include <map>
#include <mutex>
#include <vector>

namespace auburndoor {

/** When a worker is quarantined and when it is healthy again. */
struct WorkerHealthOptions
{
    /** Number of most recent starts that are considered. */
    std::size_t windowSize = 10;
    /** Failures among these starts at which the worker is quarantined. */
    std::size_t failureLimit = 5;
    /** How long a quarantined worker gets no new work; then probation begins. */
    Milliseconds quarantineDuration { 30'000 };
    /** Successes in a row that end the probation. */
    int requiredSuccesses = 3;
};

/**
    Quarantines workers that fail many starts, so that they get no new work for a while.

    After the quarantine a worker is on probation: one failure quarantines it again, several successes in a row make it healthy.
    Without probation a worker that fails every start would fail five tasks every 30 s. All members may be called from any thread.
*/
class WorkerHealth
{
public:
    explicit WorkerHealth(const Clock &clock, const WorkerHealthOptions &options = {});

    /**
        Records the result of a start. Ignored from the quarantine until takeReleased() returns the worker.

        @return true if the worker is quarantined from now on: the caller closes it for new work
    */
    bool recordStart(const WorkerId &worker, bool hasSucceeded);

    /** True while the worker is quarantined and the quarantine time has not passed. */
    bool isQuarantined(const WorkerId &worker) const;

    /** Puts workers whose quarantine time has passed on probation. @return these workers; the caller opens them for new work */
    std::vector<WorkerId> takeReleased();

    /** Removes the record of a worker that no longer exists. */
    void forget(const WorkerId &worker);

private:
    enum class State {
        Healthy,
        Quarantined,
        Probation,
    };

    struct Record
    {
        State state = State::Healthy;
        /** Results of the last starts, newest last; true for success. Used in the healthy state. */
        std::deque<bool> recentResults;
        TimePoint quarantineEnd;
        /** Successes since the probation began. */
        int probationSuccesses = 0;
    };

    void startQuarantine(Record &record) const;

    const Clock &clock_;
    const WorkerHealthOptions options_;
    mutable std::mutex mutex_;
    std::map<WorkerId, Record> records_;
};

} // namespace auburndoor
