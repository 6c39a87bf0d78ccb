#pragma once

#include "soak/ProcessCell.h"
#include "soak/RunHistory.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/**
    The workers of a site: they report to the directory, drain and leave, are replaced, crash, freeze and are cut off.

    A worker that is replaced leaves its address to another one with a new id, in most cases of the other service.
*/
class SiteWorkers
{
public:
    static constexpr Milliseconds reportInterval { 1500 };
    static constexpr Milliseconds killGrace { 200 };

    enum class Cut {
        /** Requests are carried out on open connections; replies and reports to the directory are lost. */
        Replies,
        /** Nothing passes in either direction. */
        Both,
        /** Reports to the directory are lost. */
        Store,
        /** Nothing is handled; all that has arrived is handled on waking, in any order across connections. */
        Frozen,
    };

    /** @param maxLease the longest lease that the workers grant */
    SiteWorkers(ProcessCell &cell, RunHistory &history, Milliseconds maxLease, SimulatedWorker::Plan plan);

    void addWorkers(int count);

    /** Reports do not reach the store while it is down. @param lapse entries expire meanwhile */
    void setStoreDown(bool isDown, bool lapse);

    /** Announces that the worker leaves, and lets it leave later. */
    void drain(const std::string &id);
    /** Ends all that runs; the worker returns under its id after the outage. @param reportDelay from then to its next report */
    void crash(const std::string &id, Milliseconds outage, Milliseconds reportDelay = Milliseconds(0));
    /** A worker that is down or cut off already stays as it is. */
    void cut(const std::string &id, Cut kind, Milliseconds duration);
    /** Resets the open connections. @param mode the mode of the link for the duration, which new connections meet */
    void resetConnections(const std::string &id, Milliseconds duration, FaultyLink::Mode mode);

    /** The workers that are up. */
    std::vector<std::string> ids(bool onlyDraining) const;

    static std::string nameOf(Cut kind);

private:
    struct Member
    {
        bool isUp = true;
        bool isDraining = false;
        /** The end of the time for which the worker goes on at least; once the store has accepted the report of draining. */
        std::optional<TimePoint> drainedAt;
        /** The present fault of its connections; the end of an earlier one does not end it. */
        int faultNumber = 0;
        bool isConnected = true;
        bool isFrozen = false;
        bool reachesStore = true;
        int seq = 0;
        TimePoint lastReportAt;
        nlohmann::json lastRow;
    };

    /** @param former the worker whose address the new one gets; empty for none @param uptime the time on its clock */
    void add(const std::string &former, int number, Milliseconds uptime);
    void reportRegularly(const std::string &id);
    void report(const std::string &id);
    void removeSilentEntries();
    void leave(const std::string &id);
    void endLife(const std::string &id, FaultyLink::Mode mode);
    void endCut(const std::string &id, int faultNumber);
    bool isEntryThere(const std::string &id) const;

    ProcessCell &cell_;
    RunHistory &history_;
    Milliseconds maxLease_;
    SimulatedWorker::Plan plan_;
    std::map<std::string, Member> members_;
    int nextNumber_ = 0;
    bool isStoreDown_ = false;
    bool areEntriesLapsing_ = true;
};

} // namespace auburndoor
