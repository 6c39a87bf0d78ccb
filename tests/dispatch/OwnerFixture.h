#pragma once

#include "PlatformProtocol.h"
#include "entry/Owner.h"
#include "fakes/FakeStore.h"
#include "fakes/ManualTimers.h"
#include "fakes/SimulatedWorker.h"
#include "fakes/StartChecker.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

/** An advisory service that allows every worker, after a moment. */
class FakeAdvisor : public Advisor
{
public:
    explicit FakeAdvisor(Timers &timers) : timers_(timers)
    {
    }

    void ask(const AdviceRequest &question, Callback callback) override;

    /** Workers that no step may use. */
    std::set<std::string> denied;
    int questions = 0;
    TimePoint lastAskedAt;
    Milliseconds answerTime { 20 };

private:
    Timers &timers_;
};

/** A cell of one owner at a time, in simulated time, with a check of each start. */
class OwnerFixture
{
public:
    OwnerFixture();
    ~OwnerFixture();

    /** Adds a worker of the service "desk" with so many cores, and lists it. */
    SimulatedWorker &addWorker(const std::string &id, int cores);
    /** Lists a worker again, with its present life. */
    void list(const std::string &id, bool isDraining = false);
    void unlist(const std::string &id);

    /** A new owner takes over. @param isOldKilled else the old one goes on until it is told */
    void takeOver(bool isOldKilled = true);
    /** Ends the owner without a successor. */
    void killOwner();

    /** Hands a job in and runs until it is answered. */
    ClientResult::Outcome submit(const std::string &id, const std::string &body, const std::string &queue = "normal");
    ClientResult::Outcome cancel(const std::string &id);
    std::optional<JobStage> stage(const std::string &id);
    /** Runs until the job has this stage. @return false if it has not within the time */
    bool runUntil(const std::string &id, JobStage stage, Milliseconds limit);

    /** What the checks of the starts found. */
    const std::vector<std::string> &violations() const;

    /** How each task's starts go; the default ends as done after half a second. */
    SimulatedWorker::Plan plan;
    std::vector<StartCommand> starts;
    ManualTimers timers;
    FakeStore store;
    SimulatedFleet fleet;
    FakeAdvisor advisor;
    std::unique_ptr<Owner> owner;

private:
    platform::PlatformProtocol protocol_;
    EntrySettings settings_;
    DesiredState queues_;
    std::vector<std::unique_ptr<Owner>> former_;
    std::int64_t token_ = 0;
    StartChecker checker_;
};

/** A body of one step. @param fields further members of the step, beginning with a comma, or empty */
std::string jobBody(int tasks, int milliCores, const std::string &fields = {});

} // namespace auburndoor
