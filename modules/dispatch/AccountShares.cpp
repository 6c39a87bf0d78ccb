#include "dispatch/AccountShares.h"

#include "dispatch/FairShares.h"
#include "dispatch/WorkerState.h"
#include "workload/DesiredState.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

// Tasks do not fill each worker to the last core: a service whose waiting tasks find no room is scarce though some of it is free.
// Its runs show how much of it can be used, which is at least this part.
constexpr std::int64_t minUsablePercent = 85;

Resources usableCapacity(const Resources &capacity, const Resources &used)
{
    const auto usable = [](std::int64_t available, std::int64_t inUse) {
        return std::min(available, std::max(available * minUsablePercent / 100, inUse));
    };
    return { usable(capacity.milliCores, used.milliCores),
             usable(capacity.memoryMiB, used.memoryMiB),
             usable(capacity.accelerators, used.accelerators),
             usable(capacity.slots, used.slots),
             capacity.connections };
}

void addTo(std::vector<std::pair<std::string, Resources>> &uses, const std::string &account, const Resources &amount)
{
    const auto found = std::find_if(uses.begin(), uses.end(), [&account](const auto &use) { return use.first == account; });
    if (found == uses.end()) {
        uses.emplace_back(account, amount);
    } else {
        found->second += amount;
    }
}

} // namespace

void AccountShares::setDesiredState(const DesiredState &desiredState)
{
    weights_.clear();
    for (const auto &account : desiredState.accounts) {
        weights_[account.name] = account.weight;
    }
    isActive_ = !weights_.empty();
    if (!isActive_) {
        workers_.clear();
        services_.clear();
    }
}

void AccountShares::subtract(const Worker &worker)
{
    auto &service = services_[worker.service];
    service.capacity -= worker.capacity;
    for (const auto &[account, amount] : worker.uses) {
        service.uses[account] -= amount;
    }
}

void AccountShares::update(const WorkerState &worker, bool isUsable)
{
    if (!isActive_) {
        return;
    }
    remove(worker.entry.id);
    if (!isUsable) {
        return;
    }
    Worker share { worker.entry.service, worker.entry.capacity, {} };
    for (const auto &[key, run] : worker.runs) {
        addTo(share.uses, run.claim.account, run.claim.need);
    }
    auto &service = services_[share.service];
    service.capacity += share.capacity;
    for (const auto &[account, amount] : share.uses) {
        service.uses[account] += amount;
    }
    workers_[worker.entry.id] = std::move(share);
}

void AccountShares::remove(const std::string &worker)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end()) {
        subtract(found->second);
        workers_.erase(found);
    }
}

void AccountShares::recordStart(const std::string &worker, const std::string &account, const Resources &need)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end()) {
        addTo(found->second.uses, account, need);
        services_[found->second.service].uses[account] += need;
    }
}

double AccountShares::weightOf(const std::string &account) const
{
    const auto found = weights_.find(account);
    return found == weights_.end() ? 1.0 : found->second;
}

void AccountShares::computeLevels(const std::map<std::string, Waiting> &waiting)
{
    for (auto &[name, service] : services_) {
        std::erase_if(service.uses, [](const auto &use) { return use.second == Resources(); });
        const auto found = waiting.find(name);
        computeLevels(service, found == waiting.end() ? Waiting() : found->second);
    }
}

void AccountShares::computeLevels(Service &service, const Waiting &waiting) const
{
    service.levels.clear();
    if (waiting.byAccount.empty()) {
        return;
    }
    std::map<std::string, ShareDemand> demands;
    Resources used;
    for (const auto &[account, amount] : service.uses) {
        demands[account].use = amount;
        used += amount;
    }
    for (const auto &[account, amount] : waiting.byAccount) {
        demands[account].waiting = amount;
    }
    std::vector<ShareDemand> list;
    for (auto &[account, demand] : demands) {
        demand.weight = weightOf(account);
        list.push_back(demand);
    }
    service.sharedCapacity = waiting.isShortOfRoom ? usableCapacity(service.capacity, used) : service.capacity;
    const auto levels = FairShares::compute(service.sharedCapacity, list);
    service.unitLevel = levels.unit;
    auto level = levels.levels.begin();
    for (auto account = demands.begin(); account != demands.end() && level != levels.levels.end(); ++account, ++level) {
        service.levels[account->first] = *level;
    }
}

bool AccountShares::hasLevels(const std::string &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && !found->second.levels.empty();
}

bool AccountShares::isAboveLevel(const std::string &service, const std::string &account) const
{
    return roomBelowLevel(service, account) <= 0;
}

double AccountShares::roomBelowLevel(const std::string &service, const std::string &account) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.levels.empty()) {
        return std::numeric_limits<double>::infinity();
    }
    const auto &shared = found->second;
    const auto known = shared.levels.find(account);
    const double level = known == shared.levels.end() ? shared.unitLevel * weightOf(account) : known->second;
    const auto use = shared.uses.find(account);
    return level - (use == shared.uses.end() ? 0.0 : dominantShare(use->second, shared.sharedCapacity));
}

double AccountShares::shareOf(const std::string &service, const Resources &amount) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0.0 : dominantShare(amount, found->second.sharedCapacity);
}

} // namespace auburndoor
