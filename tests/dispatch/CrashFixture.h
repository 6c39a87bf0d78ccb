#pragma once

#include "dispatch/OwnerFixture.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** A cell in which tasks crash the workers that start them; a crashed worker is back after downtime, empty. */
class CrashFixture : public OwnerFixture
{
public:
    CrashFixture();

    /** Adds workers w0, w1, ... with this many cores each. */
    void addWorkers(int count, int cores);
    /** Ends all runs of a worker, which is silent for downtime and then back. */
    void crash(const std::string &worker);
    /** The most starts of one task after three workers had crashed under it. */
    int mostStartsAfterThreeCrashes() const;
    /** The number of workers that have crashed. */
    int crashCount() const
    {
        return crashCount_;
    }
    /** The number of starts of tasks of the job. */
    int startCount(const std::string &job) const;

    /** True for the tasks under which workers crash; none by default. */
    std::function<bool(const TaskName &)> isDeadly;
    /** From the start of a deadly task to the crash. */
    Milliseconds crashDelay { 150 };
    Milliseconds downtime { 3000 };
    /** A crashed worker is back under a new id at its address, not under its id. */
    bool getsNewId = false;

private:
    void comeBack(const std::string &worker);

    std::map<TaskName, int> crashesUnderTask_;
    std::map<TaskName, int> startsAfterThreeCrashes_;
    int crashCount_ = 0;
};

} // namespace auburndoor
