#pragma once

#include "dispatch/Fleet.h"
#include "dispatch/JobManager.h"
#include "dispatch/ServiceCapacity.h"
#include "workload/Advisor.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

/** The time from which on a job earns nothing any more. */
TimePoint lostAt(const JobState &job);

/**
    Chooses workers for the tasks that are ready, and asks for advice where a queue needs it.

    Steps are served by priority, then by how soon their job's objective is; jobs that can no longer be in time come last within
    their priority. All members are called from the loop's thread.
*/
class TaskPlacer
{
public:
    /** @param inheritedHold until then nothing of inherited jobs starts while a worker of their service is unread */
    TaskPlacer(Timers &timers, JobManager &jobManager, Fleet &fleet, Advisor &advisor, TimePoint inheritedHold);
    ~TaskPlacer();

    /**
        Places what can be placed now. A round that takes long is interrupted, and the next call continues it.

        @return false if steps are left for the next call
    */
    bool place();

    /** Looks after what runs: copies of slow tasks, runs on leaving workers, the pace of tasks that fill. */
    void tend();

    void close();

private:
    /** A worker with the room that is left while a step is being placed. */
    struct Candidate
    {
        WorkerRoom *room = nullptr;
        Resources free;
        /** How many tasks of the step may still be placed there. */
        int tasksLeft = 0;
        const StepAdvice::Entry *permit = nullptr;
    };

    /** The order in which steps are served. */
    struct StepRank
    {
        int priority = 0;
        bool isLost = false;
        TimePoint objective;
        std::string job;
        int occurrence = 0;
        int step = 0;

        auto operator<=>(const StepRank &other) const = default;
    };

    static StepRank rankOf(const StepState &step, TimePoint now);
    std::vector<std::pair<StepRank, StepState *>> readySteps();
    bool mayStart(const JobState &job);
    bool hasUnreadWorkers(const std::string &service);
    /** How many tasks of the step may still be placed on the worker. */
    static int tasksLeftFor(const StepState &step, const std::string &worker);
    std::optional<Candidate> candidateAt(const StepState &step, WorkerRoom &room) const;
    std::vector<Candidate> candidatesOf(StepState &step);
    Candidate *choose(const StepState &step, const Task &task, std::vector<Candidate> &candidates, const std::string &rack) const;
    double cost(const StepState &step, const Task &task, const Candidate &candidate) const;
    void placeStep(StepState &step);
    void placeTasks(StepState &step);
    void placeGang(StepState &step);
    std::vector<Candidate *> fitGang(StepState &step, std::vector<Candidate> &candidates, const std::string &rack) const;
    void start(StepState &step, int index, Candidate &candidate, std::int64_t attempt);
    /** Takes stock of workers and rooms; planning in a round sees what was planned before in it. */
    void beginRound();
    /** The rooms of the step's service in this round. */
    ServiceRooms &roomsOf(const StepState &step);
    void holdRooms(StepState &step);
    /** True if the run's job would still be in time if it were stopped now. */
    bool canWait(const std::string &worker, const RunKey &key);
    /** False if no worker can make room for a task of the step by stopping less urgent runs. */
    bool mayReclaim(StepState &step);
    bool isReclaimable(const StepState &step, const WorkerRoom &room) const;
    std::vector<WorkerRoom *> reclaimableRooms(StepState &step);
    WorkerRoom *chooseReclaimable(const StepState &step, const std::vector<WorkerRoom *> &rooms) const;
    /**
        Stops less urgent runs that lose nothing, so that tasks of the step fit on workers that it may use now.

        @param isWhole all tasks or none
        @return        the tasks for which room is being made
    */
    int reclaim(StepState &step, int taskCount, bool isWhole);
    /** Stops what is in the way on the workers that the step's advice request plans for, so that the room is free with the answer.
     */
    void reclaimPlanned(StepState &step);
    void preempt(const StepState &step, const std::vector<std::pair<std::string, RunKey>> &stops);
    /** Asks which workers the step may use, if some of them could be used now or none is known. @param isWhole all tasks or none */
    void askAdvice(StepState &step, int taskCount, bool isWhole);
    /** Workers that a step may be allowed to use and for which it has no permit. */
    struct AskableRooms
    {
        /** An earlier answer has allowed them. */
        std::vector<WorkerRoom *> known;
        std::vector<WorkerRoom *> unknownWithRoom;
        std::vector<WorkerRoom *> unknown;
    };
    AskableRooms askableRooms(StepState &step, bool isWhole);
    static void sortByUse(std::vector<WorkerRoom *> &rooms);
    std::vector<WorkerRoom *> workersToAsk(StepState &step, int taskCount, bool isWhole);
    /** Plans where the tasks would start, and holds that room. @return false if there is none, or not for all of a gang */
    bool planRoom(StepState &step, const std::vector<WorkerRoom *> &rooms, int taskCount, bool isWhole);
    void onAdvice(const TaskName &step, const std::vector<std::string> &asked, const AdviceResult &result);
    void copySlowTasks(StepState &step);
    void leaveDrainingWorkers(StepState &step);
    void paceWorker(WorkerState &worker);

    Timers &timers_;
    JobManager &jobManager_;
    Fleet &fleet_;
    Advisor &advisor_;
    TimePoint inheritedHold_;
    /** The rooms by service in this round. */
    std::map<std::string, ServiceRooms> services_;
    /** Whether a service has unread workers in this round. */
    std::map<std::string, bool> unread_;
    /** Where an interrupted round continues. */
    std::optional<StepRank> resumeAfter_;
    std::shared_ptr<bool> isAlive_;
};

} // namespace auburndoor
