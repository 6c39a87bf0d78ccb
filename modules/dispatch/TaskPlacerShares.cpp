#include "dispatch/PreemptionRules.h"
#include "dispatch/TaskPlacer.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

// The first search in vain shows that a service has become scarce. Its step may preempt at once, and many steps follow it.
constexpr Milliseconds minLevelInterval { 20 };

} // namespace

void TaskPlacer::updateShares()
{
    if (!shares_.isActive()) {
        return;
    }
    std::map<std::string, AccountShares::Waiting> waiting;
    // What waits in front may use up the limit of its account.
    std::map<std::string, Resources> promised;
    for (const auto &[rank, step] : readySteps_.entries()) {
        const bool isStartable = step->job->stage != JobStage::Recording && !rank.isLost;
        const auto &account = step->job->spec.account;
        auto &promisedOfAccount = promised[account];
        const int idle = isStartable ? countIdleTasks(*step) : 0;
        const int count = quotas_.countStartable(*step, idle, now_, promisedOfAccount);
        if (count < 1 || (step->spec().isGang && count < idle)) {
            continue;
        }
        promisedOfAccount += step->spec().need * count;
        auto &ofService = waiting[step->job->queue.service];
        ofService.byAccount[account] += JobManager::makeClaim(*step).need * count;
        ofService.isShortOfRoom = ofService.isShortOfRoom || step->search.isExhausted;
    }
    shares_.computeLevels(waiting);
    sharesUpdatedAt_ = now_;
}

void TaskPlacer::noteScarcity(const StepState &step)
{
    if (!shares_.isActive() || shares_.hasLevels(step.job->queue.service) || now_ - sharesUpdatedAt_ < minLevelInterval) {
        return;
    }
    updateShares();
    if (shares_.hasLevels(step.job->queue.service)) {
        getServiceCapacity(step).forgetCollectedRuns();
    }
}

bool TaskPlacer::isAboveShare(const StepState &step) const
{
    return shares_.isActive() && shares_.isAboveLevel(step.job->queue.service, step.job->spec.account) && !step.isRepair();
}

bool TaskPlacer::hasUsedItsShare(const StepState &step) const
{
    return !isTurnAboveShare_ && isAboveShare(step);
}

ReadySteps::Entries::iterator TaskPlacer::putBehindShares(ReadySteps::Entries::iterator entry)
{
    auto rank = entry->first;
    rank.isAboveShare = true;
    return readySteps_.setRank(entry, rank);
}

void TaskPlacer::advanceStepsBelowShare()
{
    if (!shares_.isActive()) {
        return;
    }
    // What each account has room for below its level, by service and account.
    std::map<std::pair<std::string, std::string>, double> rooms;
    auto &entries = readySteps_.entries();
    for (const bool isLost : { false, true }) {
        StepRank first;
        first.isLost = isLost;
        first.isAboveShare = true;
        first.isOwed = true;
        first.priority = std::numeric_limits<int>::min();
        auto next = entries.lower_bound(first);
        while (next != entries.end() && next->first.isAboveShare && next->first.isLost == isLost) {
            auto &step = *next->second;
            const auto &service = step.job->queue.service;
            const auto &account = step.job->spec.account;
            auto &room = rooms.try_emplace({ service, account }, shares_.roomBelowLevel(service, account)).first->second;
            if (room <= 0) {
                ++next;
                continue;
            }
            room -= shares_.shareOf(service, JobManager::makeClaim(step).need * countIdleTasks(step));
            auto rank = next->first;
            rank.isAboveShare = false;
            next = readySteps_.setRank(next, rank);
        }
    }
}

std::optional<PreemptionRight> TaskPlacer::preemptionRightWithinShare(const StepState &step) const
{
    auto right = preemptionRightOf(step, now_);
    if (right && isAboveShare(step)) {
        right->mayStopBelowShare = false;
    }
    return right;
}

} // namespace auburndoor
