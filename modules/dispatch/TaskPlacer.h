#pragma once

#include "dispatch/AccountLimitReport.h"
#include "dispatch/AccountQuotas.h"
#include "dispatch/AccountShares.h"
#include "dispatch/AdviceShares.h"
#include "dispatch/Fleet.h"
#include "dispatch/JobManager.h"
#include "dispatch/PlacementStatistics.h"
#include "dispatch/ReadySteps.h"
#include "dispatch/ScarcityOrder.h"
#include "dispatch/ServiceCapacity.h"
#include "workload/Advisor.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburndoor {

/** True if the occurrence of a step that starts at this time can meet its objective, by the estimates of its remaining steps. */
bool canBeInTime(const StepState &step, TimePoint now);

/** True if completing the occurrence of the step has no value any more. Tasks of a service are of value until it is cancelled. */
bool isPastFinalDeadline(const StepState &step, TimePoint now);

/**
    Chooses workers for tasks that are ready to start, and requests advice for queues that need it.

    Services that have lost tasks come first. Steps are served by priority, then by their objective, earliest first. Under overload
    this order alone would make every job late, each by the ones before it: steps that can no longer be in time come after the
    others of their priority, and jobs past their final deadline after all others. While room is scarce, ScarcityOrder refines the
    order. All members are called from the loop's thread.
*/
class TaskPlacer
{
public:
    TaskPlacer(Timers &timers, JobManager &jobManager, Fleet &fleet, Advisor &advisor);
    ~TaskPlacer();

    /**
        Runs a round of placement: starts tasks on free workers, preempts less urgent runs and requests advice.

        A round that takes too long is interrupted. The next call begins with the first step again, as the order may have changed,
        and spends half of its time on the steps that had no turn.

        @return false if this round was interrupted, so that the next call has to go on
    */
    bool place();

    /** Starts copies of slow tasks, stops runs on draining workers and throttles best-effort runs. */
    void tend();

    /** Takes over the limits of the accounts. */
    void setDesiredState(const DesiredState &desiredState);

    /** Ignores answers to advice requests from now on. */
    void close();

    /** True if in the last round some inherited job waited for reports of workers. */
    bool isWaitingForReports() const;

    /** What the accounts may have and have; for metrics. */
    const AccountQuotas &accountQuotas() const;
    /** Which tasks wait for the limits of their accounts, as of the last full reading. */
    const AccountLimitReport &accountLimitReport() const;
    /** True if the job has not begun because its account is at its limit: it goes before no job of another account. */
    bool waitsForLimit(const JobState &job) const;

    /** Returns what the rounds since the last call have cost. */
    PlacementStatistics takeStatistics();

private:
    /** A worker on which tasks of a step may start now. */
    struct Candidate
    {
        WorkerCapacity *workerCapacity = nullptr;
        /** What the step may still use, less the tasks already placed in this pass over the step. */
        Resources free;
        /** How many more tasks of the step may be placed on the worker. */
        int tasksLeft = 0;
        /** The advisory service's permit; null if the queue needs none. */
        const StepAdvice::WorkerPermit *permit = nullptr;
        /** As SpeedPreference::cost(). */
        double speedCost = 0;
        /** As computeCost(), without what depends on the task. */
        double cost = 0;
    };

    /** The room that is reserved on a worker for a step. */
    struct ReservedRoom
    {
        /** Identifies the step; compared only. */
        const void *step = nullptr;
        std::string service;
        std::string worker;
    };

    /** What the waiting tasks of a running service wait for; for the log. */
    struct ServiceWait
    {
        const char *why = "";
        /** The usable workers for which the step has a valid permit or needs none. */
        int usableWorkers = 0;
    };

    /** Places the steps in the order of their ranks. @return false if the round was interrupted */
    bool runRound();
    /** Places the steps from the first one on, until the end of the time. @return the first step that had no turn */
    ReadySteps::Entries::iterator placeSteps(ReadySteps::Entries::iterator first, TimePoint end);
    StepRank computeRank(const StepState &step);
    /** The order of the waiting work of the step's service. */
    ScarcityOrder &scarcityOf(const StepState &step);
    /** Notes the work of a step that has come to wait, and adds its waiting tasks to the present reading of all jobs. */
    void followDemand(StepState &step);
    /** Ends the reading of all jobs: decides for each service whether its room is scarce. */
    void updateScarcity();
    /** Notes the start of a task of the step, or that one of its runs was stopped. */
    void noteWork(const StepState &step, bool isStart);
    /** Gives a step its rank by priority once its priority is owed nothing any more. @return the entry after it; empty if it keeps
     * its rank */
    std::optional<ReadySteps::Entries::iterator> demote(ReadySteps::Entries::iterator entry);
    /** True if ends of runs will make room for the step in time, so that no run has to be stopped for it. */
    bool willHaveRoom(const StepState &step);
    /** True if the task was stopped a short time ago, and more urgent work that would stop it again waits. */
    bool isHeldBack(const StepState &step, const Task &task);
    /** Reads all jobs and workers again, in place of the changes since the last round. */
    void readAll();
    /** Follows the jobs and workers that have changed since the last round. */
    void applyChanges();
    void updateJob(const std::string &id);
    void updateWorker(const std::string &id);
    /** Enters the job's steps that have tasks to place, and what is reserved for any of its steps. */
    void addJob(JobState &job);
    void dropReservations(const std::string &job, const void *step);
    /** The valid permit of the step for the worker; null if there is none. */
    const StepAdvice::WorkerPermit *findPermit(const StepState &step, const WorkerCapacity &workerCapacity) const;
    /** The delay before a search in vain is repeated, which grows with the time that the step has waited. */
    Milliseconds computeSearchDelay(const StepState &step, Milliseconds shortest) const;
    /** False if all workers were searched for the step, and none that it may use has got enough room since. */
    bool hasRoomToSearch(StepState &step);
    /** False while a request of the step is pending, or was in vain shortly before. */
    bool mayRequestAdvice(const StepState &step) const;
    /** True if the step needs no permit or has a valid one. */
    bool mayUseSomeWorker(const StepState &step) const;
    /** True if tasks of the job may start now, once JobState::isServiceStored(). */
    bool mayStart(const JobState &job);
    /**
        True if advice may be requested for a service that has lost tasks while its job still waits for reports of workers: the
        answer takes about as long. Only once, as a permit may expire before the wait is over.
    */
    bool mayRequestAdviceEarly(const StepState &step) const;
    /** True while the report of some worker is unread on which an earlier owner may have started tasks of the job. */
    bool mayHaveUnknownRuns(const JobState &job);
    /** As Fleet::hasUnreadWorkers, looked up once in a round. */
    bool hasUnreadWorkers(const std::string &service);
    static int countIdleTasks(const StepState &step);
    /**
        How many more tasks of the step may be placed on the worker under the step's limit of tasks per worker.

        @param runsByWorker as countRunsByWorker()
    */
    static int countTasksLeft(const StepState &step,
                              const std::string &worker,
                              const std::unordered_map<std::string, int> &runsByWorker);
    /** The number of runs of the step on each worker; empty if the step has no limit of tasks per worker. */
    static std::unordered_map<std::string, int> countRunsByWorker(const StepState &step);
    /** Empty if no task of the step can be placed on the worker now. */
    std::optional<Candidate> makeCandidate(const StepState &step,
                                           WorkerCapacity &workerCapacity,
                                           const std::unordered_map<std::string, int> &runsByWorker) const;
    /**
        The workers on which tasks of the step may start now; with advice, only those with a valid permit. If all workers were
        searched before, only those that have more free than then.
    */
    std::vector<Candidate> findCandidates(StepState &step);
    /**
        The candidate with the lowest cost for the task; one on which it has failed comes last.

        @param rack empty for any
        @return     null if the task fits on none
    */
    Candidate *chooseCandidate(const StepState &step,
                               const Task &task,
                               std::vector<Candidate> &candidates,
                               const std::string &rack) const;
    /** The cost of placing a task of the step on the candidate; lower is better. */
    double computeCost(const StepState &step, const Candidate &candidate) const;
    /** How many more tasks of the step, most at most, may start under the limit of its account. */
    int countStartable(const StepState &step, int most) const;
    /** Follows what tasks of earlier owners may have on workers that are not read, which counts for the accounts' limits. */
    void updateInheritedUse();
    struct OwnRuns;
    /** Stops less urgent runs of accounts at their limits for more urgent steps of the same accounts. */
    void preemptForLimits();
    /** Fills in the runs of these accounts. */
    void collectOwnRuns(std::map<std::string, OwnRuns> &runsByAccount);
    /** Stops runs of the step's account until its tasks fit under the limit, as far as the step may preempt them. */
    void preemptOwnRuns(StepState &step, OwnRuns &runs);
    /** Counts the tasks that wait for the limits of their accounts. */
    void updateLimitReport();
    /** Computes the levels of the accounts from all that runs and waits. */
    void updateShares();
    /** Computes the levels without waiting for the next full reading, as a search for the step shows that its service is scarce. */
    void noteScarcity(const StepState &step);
    /** True if the step is not to go before steps of accounts below their levels. */
    bool isAboveShare(const StepState &step) const;
    /** Ranks steps that were above their accounts' levels before the others again, as far as the accounts have room below them. */
    void advanceStepsBelowShare();
    /** True if the step has its turn before those of accounts above their levels, and its account has reached its own meanwhile. */
    bool hasUsedItsShare(const StepState &step) const;
    /** Ranks a step behind those of accounts below their levels. @return the first entry behind its former place */
    ReadySteps::Entries::iterator putBehindShares(ReadySteps::Entries::iterator entry);
    /** As preemptionRightOf(), less what the step's account may not stop. */
    std::optional<PreemptionRight> preemptionRightWithinShare(const StepState &step) const;
    /** True if the step waits for its account's limit; it keeps no room from others then. */
    bool isHeldByLimit(StepState &step);
    /** Starts tasks of the step, or requests advice for it. @return false if nothing was searched */
    bool placeStep(StepState &step);
    /** Notes the result of a search for room. @return true if all workers were searched in vain, so that preemption may help */
    bool noteSearch(StepState &step, bool hasPlacedAll);
    void placeTasks(StepState &step);
    void placeGang(StepState &step);
    /** One candidate for each task of the gang, in the order of the tasks; empty if not all fit. @param rack empty for any */
    std::vector<Candidate *> fitGang(StepState &step, std::vector<Candidate> &candidates, const std::string &rack) const;
    /** As chooseCandidate() for each of several tasks; a heap keeps the best candidate first. */
    class CandidateHeap;
    /** Sends a start, unless the limit of the account does not allow it. */
    void start(StepState &step, int index, Candidate &candidate, std::int64_t attempt);
    /** Logs a start. That of a task which was started before names the run that it follows; it is no routine line. */
    void logStart(const StepState &step, const Task &task, const StartCommand &command, const Candidate &candidate) const;
    /** The capacity of the workers of the step's service. */
    ServiceCapacity &getServiceCapacity(const StepState &step);
    ServiceCapacity &getServiceCapacity(const std::string &service);
    /** Reserves the room that the step's advice plans for or that is held for a gang; replaces the step's earlier reservations. */
    void reserveCapacity(StepState &step);
    /** Reserves room for the tasks that the step's advice plans for, unless the plan has expired. */
    void reservePlannedCapacity(StepState &step);
    /** Drops the plan of the step's advice, and its reservations. */
    void releasePlannedCapacity(StepState &step);
    /** Reserves the room that is held for a gang, unless the hold has ended or a plan for the gang reserves room already. */
    void reserveHeldCapacity(StepState &step);
    void reserveOnWorker(const StepState &step, const std::string &worker, int count);
    /**
        Holds room on as many workers as a gang needs that has waited for long, though they are in use: single tasks would take each
        worker that becomes free before the next one does. Bounded in time, and for one gang of a service at a time.
    */
    void holdForGang(StepState &step);
    /** What a stop of the run now would cost. */
    StopCost computeStopCost(const Run &run);
    /** Counts and logs that tasks of the step wait, as the stops that would make room for them lose more than they gain. */
    void notePreemptionRefused(const StepState &step);
    /** Which runs the step may preempt; empty also if preemption makes room for a task of the step on no worker. */
    std::optional<PreemptionRight> findPreemptionRight(StepState &step);
    /**
        The workers that the step may use now and on which a task of it would fit after preemption.

        @param includeFree also those on which a task fits without preemption
    */
    std::vector<WorkerCapacity *> findPreemptionTargets(StepState &step, const PreemptionRight &right, bool includeFree);
    /**
        Stops less urgent preemptible runs, so that tasks of the step fit on workers that it may use now.

        @param isAllOrNothing stop runs only if all the tasks will fit
        @return               the number of tasks that will fit once the runs have ended
    */
    int preemptForTasks(StepState &step, int taskCount, bool isAllOrNothing);
    /** Stops less urgent runs on the workers that the step's advice request plans for, while the answer is awaited. */
    void preemptForPlannedTasks(StepState &step);
    /** Sends the stops. @param step the step that the runs make room for */
    void preempt(const StepState &step, const std::vector<std::pair<std::string, RunKey>> &runsToStop);
    /**
        Asks the advisory service which workers the step may use, unless a request is pending or could not be sent at once. A gang
        sends several requests together if one cannot name enough workers.

        @param taskCount      the tasks that could not be placed
        @param isAllOrNothing the tasks start only if all of them fit
        @return               true if workers were searched
    */
    bool requestAdvice(StepState &step, int taskCount, bool isAllOrNothing);
    /** True if the step may use the worker, as far as its capacity, label and the step's limit of tasks per worker tell. */
    static bool isLargeEnough(const StepState &step,
                              const WorkerCapacity &workerCapacity,
                              const std::unordered_map<std::string, int> &runsByWorker);
    /** The workers that an earlier answer has allowed. */
    std::vector<WorkerCapacity *> findAllowedTargets(StepState &step, bool isAllOrNothing);
    /** The workers without an answer so far, in the order in which to ask for them. @param limit the most workers to return */
    std::vector<WorkerCapacity *> findUnknownTargets(StepState &step, bool isAllOrNothing, std::size_t limit);
    /**
        Adds workers without an answer so far to a request, up to the most that one may name, if the plan has no room for all tasks.

        @param taskCount the tasks that could not be placed
        @param targets   the workers that the request names already
    */
    void addUnknownTargets(StepState &step, int taskCount, std::vector<WorkerCapacity *> &targets);
    /** Sorts by the dominant share in use and the speed, the least used worker first. */
    static void sortByUtilization(std::vector<WorkerCapacity *> &workerCapacities, const SpeedPreference &preference);
    /** Chooses the workers to name in an advice request and plans tasks for them; empty if no request should be sent now. */
    std::vector<WorkerCapacity *> chooseAdviceTargets(StepState &step, int taskCount, bool isAllOrNothing);
    /** How many more tasks of the step the worker could hold without its other work. */
    static int countTasksThatFit(const StepState &step, const WorkerCapacity &workerCapacity);
    /** How many more tasks of the step the worker has room for now. */
    static int countTasksWithRoom(const StepState &step, const WorkerCapacity &workerCapacity);
    /**
        False if all the workers on which a gang would be planned are seldom allowed: the plan keeps others of its priority out
       until the answer, and one worker that is not allowed ends it.
    */
    bool mayPlanBeforeAnswer(const StepState &step, const std::vector<WorkerCapacity *> &targets, int taskCount) const;
    /**
        How many workers to name in the next requests of a gang, so that enough of them can be expected to be allowed, and of those
        with room as well.

        @param allowed the workers that are known to be allowed
        @param unknown the workers to name, in this order
    */
    std::size_t estimateWorkersToAsk(const StepState &step,
                                     const std::vector<WorkerCapacity *> &allowed,
                                     const std::vector<WorkerCapacity *> &unknown,
                                     int taskCount) const;
    /** Sends one request that names these workers. */
    void sendAdviceRequest(StepState &step, std::span<WorkerCapacity *const> workerCapacities);
    /** Once all requests are answered, keeps the plan of a gang that has all its permits, and drops any other. */
    void keepPermittedPlan(StepState &step);
    /**
        Plans on which of the workers the tasks would start, and stores the plan in the step's advice.

        @return false if no task fits, or with isAllOrNothing if not all fit; the plan is empty then
    */
    bool planTasks(StepState &step, const std::vector<WorkerCapacity *> &workerCapacities, int taskCount, bool isAllOrNothing);
    void onAdvice(const TaskName &step, const std::vector<std::string> &askedWorkers, const AdviceResult &result);
    /** Starts a copy of each task whose only run is slow, or runs on a worker that does not answer polls. */
    void startSpeculativeCopies(StepState &step);
    /**
        Stops runs that save their progress and would miss their objective where they are, but meet it on another worker with room.
        Once for each task, and few at a time.
    */
    void moveSlowRuns(StepState &step);
    /** True if the run was stopped to go on elsewhere. */
    bool moveIfSlow(StepState &step, int index, Milliseconds timeLeft);
    /** Logs that a task of a running service has not been at work for long. */
    void reportWaitingServiceTasks(StepState &step);
    /** Finds out what the waiting tasks of a running service wait for. */
    ServiceWait findServiceWait(StepState &step);
    /** Stops runs that can go on elsewhere, those of services and of steps that save their progress. */
    void stopRunsOnDrainingWorkers(StepState &step);
    /** Pauses best-effort runs while a latency-sensitive run is on the worker, and resumes them afterwards. */
    void throttleBestEffortRuns(WorkerState &worker);

    /** Time until a gang is searched for again after a search in vain: each visits several workers for several members. */
    static constexpr Milliseconds gangSearchDelay { 50 };
    /** The chain of work from which a job's objective is derived counts one advice request about this many workers. */
    static constexpr std::size_t maxWorkersPerRequest = 30;
    /** The most slow runs that one call of tend() stops, so that a wrong estimate does not stop many. */
    static constexpr int maxMovesAtOnce = 2;

    Timers &timers_;
    JobManager &jobManager_;
    Fleet &fleet_;
    Advisor &advisor_;
    /** The time as last read: the clock is read once for each search, not for each step that is passed over. */
    TimePoint now_;
    /** The capacity of each service's workers. */
    std::map<std::string, ServiceCapacity> serviceCapacities_;
    /** The service of each worker in serviceCapacities_, by worker. */
    std::unordered_map<std::string, std::string> serviceOfWorker_;
    ReadySteps readySteps_;
    /** The room that is reserved on workers, by job. */
    std::unordered_map<std::string, std::vector<ReservedRoom>> reservedRoom_;
    /** When the next round reads all jobs and workers again. */
    TimePoint readAllAt_;
    /** Some inherited job waits for reports of workers, of which changes of the job or of a worker do not tell. */
    bool hasJobsWaitingForReports_ = false;
    /** As Fleet::hasReadMostWorkers(), at the last full reading. */
    bool hasReadMostWorkers_ = false;
    /** The results of hasUnreadWorkers in this round, by service. */
    std::map<std::string, bool> unreadByService_;
    /** The services on whose workers room is held for a gang in this round. */
    std::set<std::string> servicesWithHold_;
    /** The first step without a turn in the rounds since the last whole one. */
    std::optional<StepRank> resumeAt_;
    /** Advice requests that are expected to take this long or longer cannot be sent in this round any more. */
    Milliseconds unsendableAdviceTime_ = Milliseconds::max();
    AdviceShares adviceShares_;
    /** How many more slow runs may be stopped in this call of tend(). */
    int movesLeft_ = 0;
    AccountQuotas quotas_;
    /** The order of the waiting work of each service, and what the present reading of all jobs has found for it. */
    std::map<std::string, ScarcityOrder> scarcityByService_;
    std::map<std::string, ScarcityOrder::Reading> scarcityReadings_;
    bool isReadingAll_ = false;
    /** What the waiting tasks of each account that the present reading has counted take of its limit. */
    std::unordered_map<std::string, Resources> promisedByAccount_;
    AccountLimitReport limitReport_;
    AccountShares shares_;
    /** When the levels of the accounts were computed last. */
    TimePoint sharesUpdatedAt_;
    /** The step that has its turn is ranked behind those of accounts below their levels. */
    bool isTurnAboveShare_ = false;
    /** When the inherited use of the accounts is computed next. */
    TimePoint inheritedUseAt_;
    PlacementStatistics statistics_;
    std::shared_ptr<bool> isAlive_;
};

} // namespace auburndoor
