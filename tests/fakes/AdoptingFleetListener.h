#pragma once

#include "dispatch/Fleet.h"

#include <utility>
#include <vector>

namespace auburndoor {

/** Adopts each run, has each change of the roster and each end stored at once, and records what becomes of runs. */
class AdoptingFleetListener : public FleetListener
{
public:
    std::optional<RunClaim> adoptRun(const std::string &, const RunningTask &running) override
    {
        adopted.push_back({ running.task, running.attempt });
        return RunClaim();
    }
    std::optional<ReadoptedRun> readoptRun(const std::string &, const RunningTask &running) override
    {
        readopted.push_back({ running.task, running.attempt });
        return ReadoptedRun();
    }
    RunClaim claimOfUnwanted(const RunningTask &) const override
    {
        return {};
    }
    void runConfirmed(const std::string &, const Run &) override
    {
    }
    void runEnded(const std::string &, const EndedTask &, std::function<void()> recorded) override
    {
        recorded();
    }
    void runLost(const std::string &, const RunKey &key, RunLoss loss, CommandOutcome) override
    {
        lost.emplace_back(key, loss);
    }
    void workerSilent(const WorkerCrash &) override
    {
    }
    void workerCrashed(const WorkerCrash &) override
    {
    }
    void checkpointSeen(const RunningTask &) override
    {
    }
    void fenced(const std::string &) override
    {
    }
    void capacityChanged() override
    {
    }
    void rosterChanged(const WorkerEntry &, bool, std::function<void()> recorded) override
    {
        recorded();
    }
    void rosterEntryChanged(const WorkerEntry &) override
    {
    }

    std::vector<RunKey> adopted;
    std::vector<RunKey> readopted;
    std::vector<std::pair<RunKey, RunLoss>> lost;
};

} // namespace auburndoor
