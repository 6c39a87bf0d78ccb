#include "OverloadSimulator.h"

#include "Statistics.h"

#include "dispatch/PreemptionPlan.h"
#include "dispatch/PreemptionRules.h"
#include "dispatch/StepOrder.h"
#include "dispatch/TaskPlacer.h"

#include <algorithm>
#include <cstdio>
#include <limits>

using namespace auburndoor;

namespace {

constexpr Milliseconds tick { 20 };
constexpr Milliseconds readInterval { 200 };
constexpr Milliseconds reportInterval { 500 };
constexpr Milliseconds checkpointInterval { 1000 };
constexpr Milliseconds startTime { 50 };
constexpr Milliseconds stopTime { 300 };
constexpr Milliseconds searchInterval { 300 };
constexpr double lateValue = 0.2;
constexpr std::int64_t milliCoresOfWorker = 16'000;

Milliseconds toMilliseconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

} // namespace

OverloadSimulator::OverloadSimulator(const OverloadOptions &options, OverloadPolicy policy)
    : policy_(policy)
    , workers_(static_cast<std::size_t>(options.workers))
    , capacity_([this](const Run &run) { return costOf(run); })
{
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        // The capacity finds workers by the order of their ids.
        workers_[index].entry.id = std::to_string(100'000 + index);
        workers_[index].entry.capacity = { milliCoresOfWorker, 1 << 20, 0, 0, 0 };
        capacity_.update(workers_[index], true);
    }
    capacity_.tightenBounds();
}

OverloadResult OverloadSimulator::run(const std::vector<OverloadJob> &jobs)
{
    result_.kinds.resize(kinds_.size());
    const auto begin = now_;
    const auto end = begin + jobs.back().arrival + std::chrono::seconds(45);
    auto readAt = now_;
    auto reportAt = now_;
    std::size_t next = 0;
    for (; now_ < end; now_ += tick) {
        endRuns();
        for (; next < jobs.size() && begin + jobs[next].arrival <= now_; ++next) {
            submit(jobs[next], next);
        }
        if (now_ >= reportAt) {
            report();
            reportAt = now_ + reportInterval;
        }
        if (now_ >= readAt) {
            readAll();
            readAt = now_ + readInterval;
        }
        place();
    }
    result_.urgentWait = Milliseconds(static_cast<long long>(quantile(urgentWaits_, 0.99)));
    return result_;
}

void OverloadSimulator::submit(const OverloadJob &shape, std::size_t number)
{
    const auto &kind = kinds_[shape.kind];
    auto job = std::make_unique<JobState>();
    job->spec.id = std::to_string(1'000'000 + number);
    job->spec.account = shape.account;
    for (int index = 0; index < shape.steps; ++index) {
        StepSpec step;
        step.taskCount = shape.tasks;
        step.need = { kind.milliCores, 1, 0, 0, 0 };
        step.estimate = shape.estimate;
        step.savesProgress = kind.savesProgress;
        if (index > 0) {
            step.dependsOn = { index - 1 };
        }
        job->spec.steps.push_back(step);
    }
    job->queue.name = kind.name;
    job->queue.priority = kind.priority;
    job->stage = JobStage::Running;
    job->receivedAt = now_;
    const auto allowed = static_cast<double>(job->criticalPathTime().count()) * kind.slackFactor;
    job->objective = now_ + Milliseconds(static_cast<long long>(allowed)) + kind.allowance;
    job->addNextOccurrence(now_);
    for (auto *total : totalsOf(shape)) {
        total->owed += kind.value;
        ++total->jobs;
    }
    auto &added = *jobs_.emplace(job->spec.id, std::move(job)).first->second;
    shapes_[added.spec.id] = &shape;
    enter(added);
}

std::vector<OverloadResult::Kind *> OverloadSimulator::totalsOf(const OverloadJob &job)
{
    std::vector<OverloadResult::Kind *> totals { &result_.kinds[job.kind], &result_.accounts[job.account] };
    if (job.tasks >= 2 * kinds_[job.kind].tasks) {
        totals.push_back(&result_.large);
    }
    return totals;
}

Milliseconds OverloadSimulator::savedWork(const TaskName &task, const Execution &execution) const
{
    const auto &kind = kinds_[shapes_.at(task.job)->kind];
    const auto done = std::max(toMilliseconds(now_ - execution.startedAt), Milliseconds(0));
    return execution.savedBefore + (kind.savesProgress ? done / checkpointInterval * checkpointInterval : Milliseconds(0));
}

void OverloadSimulator::endRuns()
{
    for (auto next = executions_.begin(); next != executions_.end();) {
        if (next->second.endsAt > now_) {
            ++next;
            continue;
        }
        endRun(next->first, next->second);
        next = executions_.erase(next);
    }
}

void OverloadSimulator::endRun(const RunKey &key, const Execution &execution)
{
    auto &worker = workers_[execution.worker];
    worker.used -= worker.runs.at(key).claim.need;
    worker.runs.erase(key);
    capacity_.update(worker, true);
    auto &job = *jobs_.at(key.task.job);
    auto &step = *job.step(0, key.task.step);
    auto &task = step.tasks[static_cast<std::size_t>(key.task.index)];
    task.runs.clear();
    task.idleSince = now_;
    if (!execution.isStopped) {
        task.isDone = true;
        step.countDoneTasks();
        if (step.isDone()) {
            for (auto &other : job.occurrences.at(0).steps) {
                other.readySince = now_;
            }
        }
    }
    if (job.occurrences.at(0).isDone()) {
        complete(job);
    } else {
        enter(job);
    }
}

void OverloadSimulator::complete(JobState &job)
{
    const auto &shape = *shapes_.at(job.spec.id);
    const auto value = kinds_[shape.kind].value;
    const bool isInTime = now_ <= job.objective;
    const double earned = isInTime ? value : (now_ <= job.finalDeadlineOf(0) ? value * lateValue : 0);
    for (auto *total : totalsOf(shape)) {
        total->inTime += isInTime ? 1 : 0;
        total->earned += earned;
    }
    ready_.removeJob(job.spec.id);
    jobs_.erase(job.spec.id);
}

void OverloadSimulator::report()
{
    for (const auto &[key, execution] : executions_) {
        auto &run = workers_[execution.worker].runs.at(key);
        const auto &step = jobs_.at(key.task.job)->spec.steps[static_cast<std::size_t>(key.task.step)];
        const auto saved = savedWork(key.task, execution);
        if (saved > execution.savedBefore) {
            run.noteCheckpoint(std::to_string(saved.count()), now_);
        }
        const auto done = execution.savedBefore + toMilliseconds(now_ - execution.startedAt);
        run.percent = static_cast<int>(std::clamp<long long>(done * 100 / std::max(step.estimate, Milliseconds(1)), 0, 99));
        run.percentChangedAt = now_;
    }
}

StepRank OverloadSimulator::rankOf(const StepState &step) const
{
    auto rank = rankStep(step, now_, scarcity_);
    if (policy_ == OverloadPolicy::FirstCome) {
        rank = { false, false, false, 0, false, 0, step.job->receivedAt, rank.job, 0, rank.step };
    }
    return rank;
}

StopCost OverloadSimulator::costOf(const Run &run) const
{
    const auto &job = jobs_.at(run.key.task.job);
    const bool isProtected = policy_ == OverloadPolicy::Scarcity && scarcity_.isProtected(run.claim.priority);
    auto cost = stopCostOf(run, *job, *job->task(run.key.task), now_, isProtected);
    if (policy_ == OverloadPolicy::Deadline) {
        cost.loss = 0;
    }
    return cost;
}

void OverloadSimulator::readAll()
{
    capacity_.tightenBounds();
    ready_.clear();
    ScarcityOrder::Reading reading;
    reading.free = capacity_.totalFree();
    reading.capacity = capacity_.totalCapacity();
    for (auto &[id, job] : jobs_) {
        for (auto &step : job->occurrences.at(0).steps) {
            if (step.hasTasksToPlace() && job->occurrences.at(0).isReady(step)) {
                const auto idle = std::count_if(
                    step.tasks.begin(), step.tasks.end(), [](const Task &task) { return task.isIdle(); });
                const auto &need = step.spec().need;
                addWaitingTasks(step, need * static_cast<int>(idle), capacity_.mayHaveFree(need), now_, reading);
            }
        }
        enter(*job);
    }
    if (policy_ == OverloadPolicy::Scarcity) {
        scarcity_.update(now_, reading);
    }
}

void OverloadSimulator::enter(JobState &job)
{
    ready_.removeJob(job.spec.id);
    for (auto &step : job.occurrences.at(0).steps) {
        if (step.hasTasksToPlace() && job.occurrences.at(0).isReady(step)) {
            noteDemand(step, now_, scarcity_);
            ready_.insert(rankOf(step), step);
        }
    }
}

void OverloadSimulator::place()
{
    auto &entries = ready_.entries();
    for (auto next = entries.begin(); next != entries.end();) {
        auto &step = *next->second;
        if (next->first.isOwed && !scarcity_.isOwed(step.job->queue.priority)) {
            next = ready_.erase(next);
            ready_.insert(rankOf(step), step);
            continue;
        }
        next = placeStep(step) ? ready_.erase(next) : std::next(next);
    }
}

bool OverloadSimulator::placeStep(StepState &step)
{
    auto &search = step.search;
    const auto &need = step.spec().need;
    if (search.isExhausted && now_ >= search.repeatAt) {
        search.isExhausted = false;
    }
    if (search.isExhausted && capacity_.isGrowthKnownSince(search.seenGrowth)
        && !capacity_.hasGrownRoom(search.seenGrowth, need, [](const WorkerCapacity &) { return true; })) {
        return false;
    }
    int unplaced = 0;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        if (!step.tasks[index].isIdle()) {
            continue;
        }
        auto *worker = unplaced > 0 || !capacity_.mayHaveFree(need)
                           ? nullptr
                           : chooseWorker(need, step.job->queue.priority, search.isExhausted, search.seenGrowth);
        if (worker == nullptr) {
            ++unplaced;
        } else {
            start(step, static_cast<int>(index), *worker);
        }
    }
    search.seenGrowth = capacity_.growth();
    if (unplaced > 0 && !search.isExhausted) {
        search.isExhausted = true;
        search.repeatAt = now_ + searchInterval;
        preempt(step, unplaced);
    }
    return unplaced == 0;
}

WorkerCapacity *OverloadSimulator::chooseWorker(const Resources &need, int priority, bool isExhausted, std::uint64_t seen)
{
    WorkerCapacity *best = nullptr;
    auto bestLeft = std::numeric_limits<std::int64_t>::max();
    const auto consider = [&](WorkerCapacity &worker) {
        const auto free = worker.freeFor(nullptr, policy_ == OverloadPolicy::FirstCome ? 0 : priority);
        if (need.fitsIn(free) && free.milliCores < bestLeft) {
            best = &worker;
            bestLeft = free.milliCores;
        }
    };
    if (isExhausted) {
        for (auto *worker : capacity_.findGrownSince(seen)) {
            consider(*worker);
        }
    } else {
        std::for_each(capacity_.workerCapacities().begin(), capacity_.workerCapacities().end(), consider);
    }
    return best;
}

void OverloadSimulator::start(StepState &step, int index, WorkerCapacity &capacity)
{
    const auto &kind = kinds_[shapes_.at(step.job->spec.id)->kind];
    auto &task = step.tasks[static_cast<std::size_t>(index)];
    const TaskName name { step.job->spec.id, 0, step.index, index };
    const RunKey key { name, ++task.lastAttempt };
    if (kind.priority == 0) {
        urgentWaits_.push_back(static_cast<double>(toMilliseconds(now_ - step.readySince).count()));
    }
    task.runs = { { capacity.id, key.attempt } };
    Run run;
    run.key = key;
    run.phase = Run::Phase::Running;
    run.claim.need = step.spec().need;
    run.claim.priority = kind.priority;
    run.claim.isPreemptible = kind.savesProgress;
    run.startedAt = run.confirmedAt = run.percentChangedAt = now_;
    capacity.worker->used += run.claim.need;
    capacity.worker->runs.emplace(key, run);
    capacity_.recordStart(capacity, run.claim.need, run.claim.priority);
    capacity_.update(*capacity.worker, true);
    if (policy_ == OverloadPolicy::Scarcity) {
        scarcity_.noteStart(kind.priority, workOfTask(step.spec()), workOf(run.claim.need, Milliseconds(1)), now_);
    }
    const auto taskNumber = static_cast<std::size_t>(step.index) * step.tasks.size() + static_cast<std::size_t>(index);
    const auto saved = saved_[name];
    const auto left = std::max(shapes_.at(name.job)->runTimes.at(taskNumber) - saved, Milliseconds(1));
    executions_[key] = {
        static_cast<std::size_t>(capacity.worker - workers_.data()), now_ + startTime, now_ + startTime + left, saved, false
    };
    ++result_.starts;
}

void OverloadSimulator::preempt(StepState &step, int tasks)
{
    const auto right = preemptionRightOf(step, now_);
    if (policy_ == OverloadPolicy::FirstCome || !right) {
        return;
    }
    const auto room = workOf(step.spec().need, Milliseconds(1)) * tasks;
    if (policy_ == OverloadPolicy::Scarcity && scarcity_.willHaveRoom(step.job->queue.priority, room, slackLeft(step, now_))) {
        return;
    }
    capacity_.collectPreemptibleRuns();
    if (!capacity_.mayHaveFreeAfterPreemption(step.spec().need, *right)) {
        return;
    }
    std::vector<WorkerCapacity *> targets;
    for (auto &worker : capacity_.workerCapacities()) {
        if (worker.fitsAfterPreemption(step.spec().need, *right)) {
            targets.push_back(&worker);
        }
    }
    PreemptionPlan plan(step.spec().need, *right, startGainOf(step), false);
    plan.setTargets(targets, &step);
    bool isRefused = false;
    for (auto *target = plan.chooseTarget(isRefused); target != nullptr && tasks > 0; --tasks) {
        plan.addTask(*target);
        target = plan.chooseTarget(isRefused);
    }
    for (const auto &[id, key] : plan.stops()) {
        auto &execution = executions_.at(key);
        auto &run = workers_[execution.worker].runs.at(key);
        run.phase = Run::Phase::Stopping;
        const auto saved = savedWork(key.task, execution);
        saved_[key.task] = saved;
        const auto done = execution.savedBefore + std::max(toMilliseconds(now_ - execution.startedAt), Milliseconds(0));
        result_.discarded += static_cast<double>(workOf(run.claim.need, done - saved)) / 1e6;
        execution.isStopped = true;
        execution.endsAt = now_ + stopTime;
        auto &job = *jobs_.at(key.task.job);
        ++job.task(key.task)->preemptionCount;
        if (policy_ == OverloadPolicy::Scarcity) {
            scarcity_.noteStop(run.claim.priority, workOfTask(job.step(0, key.task.step)->spec()), now_);
        }
        ++result_.stops;
    }
}
