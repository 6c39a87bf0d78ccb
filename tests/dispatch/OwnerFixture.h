#pragma once

#include "PlatformProtocol.h"
#include "entry/Owner.h"
#include "fakes/FakeStore.h"
#include "fakes/ManualTimers.h"
#include "fakes/PartitionedStore.h"
#include "fakes/PausableTimers.h"
#include "fakes/SimulatedWorker.h"
#include "fakes/StartChecker.h"
#include "workload/StoreTimeline.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

/** An advisory service that allows every worker but the denied ones, and answers after responseTime. */
class FakeAdvisor : public Advisor
{
public:
    explicit FakeAdvisor(Timers &timers) : timers_(timers)
    {
    }

    void ask(const AdviceRequest &request, Callback callback) override;

    /** Workers that no step may use. */
    std::set<std::string> denied;
    int requestCount = 0;
    TimePoint lastRequestAt;
    Milliseconds responseTime { 20 };
    /** How long the permits of an answer are valid. */
    Milliseconds validity { 1500 };

private:
    Timers &timers_;
};

/** A cell with one active owner and simulated workers, in simulated time. Each start on a worker is checked. */
class OwnerFixture
{
public:
    /** @param clockStart the time that the steady clock shows first */
    explicit OwnerFixture(Milliseconds clockStart = std::chrono::hours(1));
    ~OwnerFixture();

    /** Adds a worker with this many cores, and writes its directory entry. */
    SimulatedWorker &addWorker(const std::string &id, int cores, const std::string &service = "desk");
    /** Writes the directory entry of a worker with its current incarnation. */
    void list(const std::string &id, bool isDraining = false);
    /** Removes the directory entry of a worker. */
    void unlist(const std::string &id);

    /** Applies a new version of the desired state that sends a queue to another service. */
    void moveQueue(const std::string &queue, const std::string &service);

    /** Applies a new version of the desired state with these accounts. */
    void setAccounts(std::vector<ClientAccount> accounts);

    /** Applies a new version of the desired state without this queue. */
    void removeQueue(const std::string &queue);

    /** A new owner takes over. @param isFormerOwnerKilled if false, the former owner goes on until it learns that it is deposed */
    void takeOver(bool isFormerOwnerKilled = true);
    /**
        Cuts the owner with this token, or the one that is to have it, off from these workers.

        @param isStoreCut whether that owner is cut off from the store as well
    */
    void cutOff(std::int64_t token, const std::set<std::string> &workers, bool isStoreCut);
    /** The present owner's link to the store. */
    PartitionedStore &storeLink();
    /** Suspends the present owner's process: its timers stand still, and replies wait. */
    void pauseOwner();
    /** True if the present owner is ready and not paused. */
    bool isOwnerServing();
    /** Lets all paused owners go on. */
    void resumeOwners();
    /** Ends the cuts of the owner with this token. */
    void heal(std::int64_t token);
    /** Ends all cuts that cutOff() has made. */
    void heal();
    /** Applies a settings file with another time after which the directory removes the entries of silent workers. */
    void changeEntryLifetime(Milliseconds entryLifetime);
    /** Sets the longest lease that the workers accept for the owners that take over from now on. */
    void setMaxLease(Milliseconds maxLease);
    /** Ends the owner without a successor. */
    void killOwner();

    /** Submits a job and advances the time until it is answered, for four seconds at most; Unknown if there is no answer by then.
     */
    ClientResult::Outcome submit(const std::string &id, const std::string &body, const std::string &queue = "normal");
    ClientResult::Outcome cancel(const std::string &id);
    std::optional<JobStage> stage(const std::string &id);
    /** Advances the time until the job has this stage. @return false if it does not have it within the limit */
    bool runUntil(const std::string &id, JobStage stage, Milliseconds limit);

    /** The violations that the checks of the starts have found. */
    const std::vector<std::string> &violations() const;

    /** Decides how long each run lasts and how it ends; by default it is done after half a second. */
    SimulatedWorker::Plan plan;
    std::vector<StartCommand> starts;
    ManualTimers timers;
    FakeStore store;
    SimulatedFleet fleet;
    FakeAdvisor advisor;
    std::unique_ptr<Owner> owner;
    /** The account of the submissions. */
    std::string account;
    /** Creates the next owner's clients of workers; null for the fleet itself. */
    WorkerClientFactory *clients = nullptr;

private:
    platform::PlatformProtocol protocol_;
    StoreTimeline storeTimeline_;
    EntrySettings settings_;
    DesiredState desiredState_;
    PausableTimers &clock(std::int64_t token);
    PartitionedStore &link(std::int64_t token);

    /** The owners' timers, by token. */
    std::map<std::int64_t, PausableTimers> clocks_;
    /** The owners' links to the store, by token. */
    std::map<std::int64_t, PartitionedStore> links_;
    std::vector<std::unique_ptr<Owner>> formerOwners_;
    /** How often each worker has reported to the directory, by its id and incarnation. */
    std::map<std::pair<std::string, std::int64_t>, std::int64_t> reportCounts_;
    std::int64_t fencingToken_ = 0;
    StartChecker checker_;
};

/** Returns the JSON of a job with one step. @param fields further members of the step, beginning with a comma, or empty */
std::string jobBody(int tasks, int milliCores, const std::string &fields = {});

} // namespace auburndoor
