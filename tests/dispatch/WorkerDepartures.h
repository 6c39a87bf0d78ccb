#pragma once

#include "dispatch/OwnerFixture.h"

#include <functional>
#include <map>
#include <string>

namespace auburndoor {

/**
    The workers of a cell as the platform runs them.

    They report to the directory at regular intervals, drain and leave, are cut off in several ways, restart and come back. The
    directory removes the entry of a worker after three intervals of silence, also while the store is down.
*/
class WorkerDepartures
{
public:
    /** Draws a number from a range, both ends included. */
    using Draw = std::function<int(int from, int to)>;

    WorkerDepartures(OwnerFixture &cell, Draw draw);
    WorkerDepartures(const WorkerDepartures &) = delete;
    WorkerDepartures &operator=(const WorkerDepartures &) = delete;

    /** Lets a worker that the cell lists report from now on. */
    void addReporter(const std::string &id);

    /** Lets one of the workers drain, be cut off or restart. */
    void disturb();

    /** Ends all cuts, brings all workers back, and lets none leave any more. */
    void settle();

private:
    struct Reporter
    {
        TimePoint lastReportAt;
        bool isListed = true;
        bool isDraining = false;
        /** When it leaves; set once the directory has its report that it drains. */
        std::optional<TimePoint> leavesAt;
        bool isCutOffFromStore = false;
        /** Counts the cuts, so that the end of an earlier one does not end a later one. */
        int cuts = 0;
    };

    bool reachesStore(const Reporter &reporter) const;
    void report(const std::string &id);
    void scheduleReport(const std::string &id);
    void expireEntries();
    void drain(const std::string &id);
    void leave(const std::string &id);
    void comeBack(const std::string &id);
    void restart(const std::string &id);
    /** Cuts a worker off in one of the ways in which a link fails, for a time. */
    void cutOff(const std::string &id);
    void endCut(const std::string &id);
    /** Draws a worker; the draining ones are drawn more often, since their departure is what owners have to tell from a cut. */
    std::string drawWorker();

    OwnerFixture &cell_;
    Draw draw_;
    std::map<std::string, Reporter> reporters_;
    bool isSettled_ = false;
};

} // namespace auburndoor
