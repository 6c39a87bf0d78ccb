#pragma once

#include "OverloadResult.h"
#include "OverloadWorkload.h"

#include "dispatch/JobState.h"
#include "dispatch/ReadySteps.h"
#include "dispatch/ScarcityOrder.h"
#include "dispatch/ServiceCapacity.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

/** The order in which an overloaded service places its work. */
enum class OverloadPolicy {
    /** The product's order while room is scarce, with stops that gain more than they lose. */
    Scarcity,
    /** Priority, then objective; stops of the least urgent and largest runs whatever they lose (decision 0014). */
    Deadline,
    /** First come, first served; no stops. */
    FirstCome,
};

/**
    Simulates a service in steps of 20 ms with the product's own decisions: ranks, the order under scarce room, the capacity of
    workers, and which runs to stop. Placement is by best fit; there is neither an advisory service nor a loss.
*/
class OverloadSimulator
{
public:
    OverloadSimulator(const OverloadOptions &options, OverloadPolicy policy);

    /** Simulates all jobs, which are sorted by arrival, and as long after the last one as a job is of value. */
    OverloadResult run(const std::vector<OverloadJob> &jobs);

private:
    /** What the simulated worker knows of a run. */
    struct Execution
    {
        std::size_t worker = 0;
        auburndoor::TimePoint startedAt;
        auburndoor::TimePoint endsAt;
        /** The work of the task that was saved before. */
        auburndoor::Milliseconds savedBefore { 0 };
        bool isStopped = false;
    };

    /** The sums to which the job belongs. */
    std::vector<OverloadResult::Kind *> totalsOf(const OverloadJob &job);
    void submit(const OverloadJob &job, std::size_t number);
    void endRuns();
    void endRun(const auburndoor::RunKey &key, const Execution &execution);
    void complete(auburndoor::JobState &job);
    /** Shows the owner the checkpoints and the progress of all runs, as reports of workers do. */
    void report();
    void readAll();
    void enter(auburndoor::JobState &job);
    void place();
    /** @return true if all its tasks have a worker */
    bool placeStep(auburndoor::StepState &step);
    auburndoor::WorkerCapacity *chooseWorker(const auburndoor::Resources &need, int priority, bool isExhausted, std::uint64_t seen);
    void start(auburndoor::StepState &step, int index, auburndoor::WorkerCapacity &worker);
    void preempt(auburndoor::StepState &step, int tasks);
    auburndoor::StepRank rankOf(const auburndoor::StepState &step) const;
    auburndoor::StopCost costOf(const auburndoor::Run &run) const;
    auburndoor::Milliseconds savedWork(const auburndoor::TaskName &task, const Execution &execution) const;

    const std::vector<CallerKind> kinds_ = overloadKinds();
    const OverloadPolicy policy_;
    auburndoor::TimePoint now_ { std::chrono::hours(1) };
    std::vector<auburndoor::WorkerState> workers_;
    auburndoor::ServiceCapacity capacity_;
    auburndoor::ScarcityOrder scarcity_;
    auburndoor::ReadySteps ready_;
    std::map<std::string, std::unique_ptr<auburndoor::JobState>> jobs_;
    std::map<std::string, const OverloadJob *> shapes_;
    std::map<auburndoor::RunKey, Execution> executions_;
    /** The work of each task that its checkpoints hold. */
    std::map<auburndoor::TaskName, auburndoor::Milliseconds> saved_;
    std::vector<double> urgentWaits_;
    OverloadResult result_;
};
