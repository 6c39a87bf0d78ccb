#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"

#include <deque>
#include <map>
#include <mutex>
#include <vector>

namespace auburndoor {

/** When a worker counts as failing. */
struct WorkerHealthOptions
{
    /** The last starts that are looked at. */
    std::size_t window = 10;
    /** Failures within the window that lead to quarantine. */
    std::size_t failureLimit = 5;
    /** Time without new work, then the worker is tried again. */
    Milliseconds quarantine { 30'000 };
    /** Successes in a row that end the trial. */
    int trialSuccesses = 3;
};

/**
    Finds workers that fail many starts, so that they get no new work for a while.

    After the quarantine a worker is on trial: one failure sends it back, several successes in a row clear it. This hysteresis keeps
    a worker that fails everything from taking five tasks every 30 s. All members may be called from any thread.
*/
class WorkerHealth
{
public:
    explicit WorkerHealth(const Clock &clock, const WorkerHealthOptions &options = {});

    /** Records the end of a start. @return true if this put the worker into quarantine: close it for new work */
    bool recordStart(const WorkerId &worker, bool hasSucceeded);

    /** True while the worker is to get no new work. */
    bool isQuarantined(const WorkerId &worker) const;

    /** The workers whose quarantine has ended since the last call: open them again. */
    std::vector<WorkerId> takeReleased();

    /** Drops what is known of a worker that is gone. */
    void forget(const WorkerId &worker);

private:
    enum class State {
        Healthy,
        Quarantined,
        OnTrial,
    };

    struct Record
    {
        State state = State::Healthy;
        std::deque<bool> lastStarts;
        TimePoint quarantineEnd;
        int successesOnTrial = 0;
    };

    void quarantine(Record &record) const;

    const Clock &clock_;
    const WorkerHealthOptions options_;
    mutable std::mutex mutex_;
    std::map<WorkerId, Record> records_;
};

} // namespace auburndoor
