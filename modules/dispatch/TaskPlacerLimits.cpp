#include "dispatch/PreemptionRules.h"
#include "dispatch/PreemptionValue.h"
#include "dispatch/TaskPlacer.h"

#include <algorithm>
#include <tuple>

namespace auburndoor {

namespace {

// The steps in front are the ones that gain; each full reading goes on with the next ones.
constexpr std::size_t maxStepsPerReading = 100;

} // namespace

/** What an account may stop to let more urgent work of its own start under its limit. */
struct TaskPlacer::OwnRuns
{
    struct Candidate
    {
        std::string worker;
        /** Its need is what its end gives back of the limit. */
        PreemptibleRun run;
    };

    /** What the use will be more than now, once stops have taken effect and the work that they are for has started. */
    Resources expectedChange;
    /** The least urgent first, and of equal priority the largest first. */
    std::vector<Candidate> candidates;
};

void TaskPlacer::preemptForLimits()
{
    if (!quotas_.hasLimits()) {
        return;
    }
    std::vector<StepState *> steps;
    std::map<std::string, OwnRuns> runsByAccount;
    for (const auto &[rank, step] : readySteps_.entries()) {
        // With advice, a stop on some worker does not tell that the step may use that one.
        const bool mayStart = step->job->stage != JobStage::Recording && !rank.isLost && !step->job->queue.advice;
        if (mayStart && quotas_.isAtLimit(*step, now_) && preemptionRightOf(*step, now_) && steps.size() < maxStepsPerReading) {
            steps.push_back(step);
            runsByAccount.try_emplace(step->job->spec.account);
        }
    }
    if (steps.empty()) {
        return;
    }
    collectOwnRuns(runsByAccount);
    for (auto *step : steps) {
        preemptOwnRuns(*step, runsByAccount.at(step->job->spec.account));
    }
}

void TaskPlacer::collectOwnRuns(std::map<std::string, OwnRuns> &runsByAccount)
{
    for (const auto &[id, worker] : fleet_.workers()) {
        for (const auto &[key, run] : worker->runs) {
            const auto found = runsByAccount.find(run.claim.account);
            if (found == runsByAccount.end()) {
                continue;
            }
            if (!run.stopReason.empty()) {
                found->second.expectedChange -= run.claim.accountNeed;
            } else if (run.phase == Run::Phase::Running && run.claim.isPreemptible) {
                found->second.candidates.push_back(
                    { id, { key, run.claim.accountNeed, run.claim.priority, computeStopCost(run) } });
            }
        }
    }
    for (auto &[account, runs] : runsByAccount) {
        std::stable_sort(runs.candidates.begin(), runs.candidates.end(), [](const auto &left, const auto &right) {
            const auto order = [](const PreemptibleRun &run) {
                return std::tuple(run.priority, run.need.accelerators, run.need.milliCores);
            };
            return order(left.run) > order(right.run);
        });
    }
}

void TaskPlacer::preemptOwnRuns(StepState &step, OwnRuns &runs)
{
    const auto right = preemptionRightOf(step, now_);
    const int wanted = countIdleTasks(step);
    const int fewest = step.spec().isGang ? wanted : 1;
    const auto &need = step.spec().need;
    auto change = runs.expectedChange;
    int fitting = quotas_.countStartable(step, wanted, now_, change);
    std::vector<std::pair<std::string, RunKey>> runsToStop;
    WorkAmount loss = 0;
    for (const auto &[worker, run] : runs.candidates) {
        if (fitting == wanted) {
            break;
        }
        if (PreemptionValue::isAllowed(run, *right)) {
            change -= run.need;
            loss += PreemptionValue::weigh(run, *right);
            runsToStop.emplace_back(worker, run.key);
            fitting = quotas_.countStartable(step, wanted, now_, change);
        }
    }
    if (fitting < fewest || loss / std::max(fitting, 1) >= startGainOf(step)) {
        return;
    }
    std::erase_if(runs.candidates, [&runsToStop](const auto &candidate) {
        const auto isStopped = std::pair(candidate.worker, candidate.run.key);
        return std::find(runsToStop.begin(), runsToStop.end(), isStopped) != runsToStop.end();
    });
    runs.expectedChange = change + need * fitting;
    preempt(step, runsToStop);
}

} // namespace auburndoor
