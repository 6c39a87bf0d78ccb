#pragma once

#include "dispatch/Fleet.h"
#include "dispatch/JobBook.h"
#include "dispatch/RoomPlan.h"
#include "workload/Advisor.h"

#include <memory>
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
    TaskPlacer(Timers &timers, JobBook &book, Fleet &fleet, Advisor &advisor, TimePoint inheritedHold);
    ~TaskPlacer();

    /** Places what can be placed now. */
    void place();

    /** Looks after what runs: copies of slow tasks, runs on leaving workers, the pace of tasks that fill. */
    void tend();

    void close();

private:
    /** A worker with the room that is left while a step is being placed. */
    struct Candidate
    {
        WorkerState *worker = nullptr;
        Resources free;
        int tasksOfStep = 0;
        const StepAdvice::Entry *permit = nullptr;
    };

    std::vector<StepState *> readySteps();
    bool mayStart(const JobState &job) const;
    std::vector<Candidate> candidatesOf(StepState &step);
    Candidate *choose(const StepState &step, const Task &task, std::vector<Candidate> &candidates, const std::string &rack) const;
    double cost(const StepState &step, const Task &task, const Candidate &candidate) const;
    void placeTasks(StepState &step);
    void placeGang(StepState &step);
    std::vector<Candidate *> fitGang(StepState &step, std::vector<Candidate> &candidates, const std::string &rack) const;
    void start(StepState &step, int index, Candidate &candidate, std::int64_t attempt);
    /** Takes stock of workers and rooms; planning in a round sees what was planned before in it. */
    void beginRound();
    /** What a step may use of a worker now: its free room less what steps at least as urgent wait to use. */
    Resources freeFor(const StepState &step, const WorkerState &worker);
    void holdRooms(StepState &step);
    /** The rooms of a service in this round. */
    std::map<std::string, WorkerRoom> &roomsOf(const std::string &service);
    /** Marks the runs whose jobs would be late if they were stopped now. */
    void markUrgentRuns(std::map<std::string, WorkerRoom> &rooms);
    /** Stops less urgent runs that lose nothing, so that tasks of the step fit. @param isWhole all tasks or none */
    void reclaim(StepState &step, int taskCount, bool isWhole);
    std::optional<std::string> findReclaimable(StepState &step, const std::map<std::string, WorkerRoom> &rooms);
    /** Asks which workers the step may use, if some of them could be used now or none is known. @param isWhole all tasks or none */
    void askAdvice(StepState &step, int taskCount, bool isWhole);
    std::vector<WorkerState *> workersToAsk(StepState &step, int taskCount, bool isWhole);
    bool isReclaimable(StepState &step, const std::string &worker);
    bool planRoom(StepState &step, const std::vector<WorkerState *> &workers, int taskCount, bool isWhole);
    void onAdvice(const TaskName &step, const std::vector<std::string> &asked, const AdviceResult &result);
    void copySlowTasks(StepState &step);
    void leaveDrainingWorkers(StepState &step);
    void paceWorker(WorkerState &worker);

    Timers &timers_;
    JobBook &book_;
    Fleet &fleet_;
    Advisor &advisor_;
    TimePoint inheritedHold_;
    /** The rooms by service, as far as this round has planned; collected when more urgent work first lacks room. */
    std::map<std::string, std::map<std::string, WorkerRoom>> rooms_;
    /** What is held on each worker. */
    std::map<std::string, std::vector<RoomHold>> holds_;
    /** The most that any usable worker of a service has free, of each resource by itself. */
    std::map<std::string, Resources> largestFree_;
    /** The workers of each service on which something may be started. */
    std::map<std::string, std::vector<WorkerState *>> usable_;
    std::shared_ptr<bool> isAlive_;
};

} // namespace auburndoor
