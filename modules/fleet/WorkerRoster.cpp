#include "fleet/WorkerRoster.h"

#include "placement/CapacityLedger.h"
#include "placement/WorkerHealth.h"
#include "worker/WorkerConnector.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** Allows for the difference of clock rates between this instance and a worker over a task lease. */
constexpr Milliseconds leaseMargin { 5000 };
/** Gone workers that are remembered; 320 a day are replaced. */
constexpr std::size_t goneLimit = 2000;

} // namespace

WorkerRoster::WorkerRoster(const WorkerRosterOptions &options,
                           Clock &clock,
                           WorkerConnector &connector,
                           CapacityLedger &ledger,
                           WorkerHealth &health)
    : options_(options), clock_(clock), connector_(connector), ledger_(ledger), health_(health), list_(options.shardsPerDomain)
{
}

bool WorkerRoster::update(const std::vector<ListedWorker> &changes)
{
    const std::lock_guard lock(mutex_);
    bool hasNewDomain = false;
    for (const auto &changed : changes) {
        hasNewDomain = list_.update(changed) || hasNewDomain;
        noteGone(changed);
        apply(changed);
    }
    return hasNewDomain;
}

void WorkerRoster::noteGone(const ListedWorker &changed)
{
    if (changed.state != ListedState::Gone) {
        goneSince_.erase(changed.id);
        return;
    }
    health_.forget(changed.id);
    goneSince_.emplace(changed.id, clock_.now());
    if (goneSince_.size() > goneLimit) {
        const auto oldest = std::min_element(
            goneSince_.begin(), goneSince_.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
        goneSince_.erase(oldest);
    }
}

void WorkerRoster::apply(const ListedWorker &changed)
{
    const auto shard = list_.shardOf(changed);
    const auto owned = shards_.find(shard);
    if (owned == shards_.end()) {
        return;
    }
    if (changed.state == ListedState::Gone) {
        workers_.erase(changed.id);
        ledger_.removeWorker(shard, changed.id);
        return;
    }
    const auto known = workers_.find(changed.id);
    if (known == workers_.end() || known->second.listed.address != changed.address) {
        ledger_.removeWorker(shard, changed.id);
        add(changed, shard, owned->second);
        return;
    }
    known->second.listed = changed;
    ledger_.setOpen(shard, changed.id, isOpen(changed));
}

void WorkerRoster::add(const ListedWorker &listed, const ShardId &shard, Epoch epoch)
{
    auto &entry = workers_[listed.id];
    entry = {};
    entry.listed = listed;
    entry.shard = shard;
    entry.epoch = epoch;
    entry.due = clock_.now();
    entry.connection = connector_.connect(listed.id, listed.address);
}

void WorkerRoster::gainShard(const ShardId &shard, Epoch epoch)
{
    const std::lock_guard lock(mutex_);
    if (const auto known = shards_.find(shard); known != shards_.end() && known->second >= epoch) {
        return;
    }
    shards_[shard] = epoch;
    for (const auto &worker : list_.workersOf(shard)) {
        add(worker, shard, epoch);
    }
}

void WorkerRoster::loseShard(const ShardId &shard)
{
    const std::lock_guard lock(mutex_);
    drop(shard);
}

void WorkerRoster::drop(const ShardId &shard)
{
    shards_.erase(shard);
    std::erase_if(workers_, [&](const auto &entry) { return entry.second.shard == shard; });
    ledger_.removeShard(shard);
}

bool WorkerRoster::loseShardAt(const ShardId &shard, Epoch epoch)
{
    const std::lock_guard lock(mutex_);
    const auto known = shards_.find(shard);
    if (known == shards_.end() || known->second > epoch) {
        return false;
    }
    drop(shard);
    return true;
}

bool WorkerRoster::isOpen(const ListedWorker &worker) const
{
    return worker.state == ListedState::Live && !health_.isQuarantined(worker.id);
}

void WorkerRoster::reviewHealth()
{
    const std::lock_guard lock(mutex_);
    for (const auto &[id, entry] : workers_) {
        if (entry.isSeized) {
            ledger_.setOpen(entry.shard, id, isOpen(entry.listed));
        }
    }
}

std::optional<WorkerVisit> WorkerRoster::takeDue()
{
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    for (auto &[id, entry] : workers_) {
        if (!entry.isBusy && entry.due <= now) {
            entry.isBusy = true;
            return WorkerVisit { id, entry.shard, entry.epoch, entry.isSeized, entry.connection, entry.followed.unresolved(), now };
        }
    }
    return std::nullopt;
}

TimePoint WorkerRoster::nextDue(TimePoint latest) const
{
    const std::lock_guard lock(mutex_);
    for (const auto &[id, entry] : workers_) {
        if (!entry.isBusy) {
            latest = std::min(latest, entry.due);
        }
    }
    return latest;
}

WorkerRoster::Entry *WorkerRoster::entryOf(const WorkerVisit &visit)
{
    const auto found = workers_.find(visit.worker);
    const auto isSame = found != workers_.end() && found->second.epoch == visit.epoch
                        && found->second.connection == visit.connection;
    return isSame ? &found->second : nullptr;
}

void WorkerRoster::finish(const WorkerVisit &visit, Milliseconds pause)
{
    const std::lock_guard lock(mutex_);
    if (auto *entry = entryOf(visit)) {
        entry->isBusy = false;
        entry->due = entry->followed.nextQuestion(clock_.now(), pause);
    }
}

bool WorkerRoster::enter(const WorkerVisit &visit, const WorkerReport &report)
{
    const std::lock_guard lock(mutex_);
    auto *entry = entryOf(visit);
    if (entry == nullptr) {
        return false;
    }
    std::vector<LedgerEntry> running;
    for (const auto &task : report.tasks) {
        if (task.state == TaskState::Running) {
            running.push_back({ task.id.text(), task.team, task.need, false });
            entry->followed.add(task.id, FollowMode::Running, visit.asked);
        }
    }
    const auto &listed = entry->listed;
    const WorkerView view { listed.id, listed.service, listed.failureDomain, report.capacity, {}, 0, isOpen(listed) };
    ledger_.addWorker({ view, listed.address, visit.shard, visit.epoch }, running);
    entry->isSeized = true;
    noteReport(*entry, report, visit.asked);
    return true;
}

void WorkerRoster::takeReport(const WorkerVisit &visit, const WorkerReport &report)
{
    const std::lock_guard lock(mutex_);
    auto *entry = entryOf(visit);
    if (entry == nullptr) {
        return;
    }
    for (const auto &task : entry->followed.takeEnded(report, visit.asked)) {
        ledger_.release(visit.shard, visit.worker, task.text());
    }
    noteReport(*entry, report, visit.asked);
}

void WorkerRoster::noteReport(Entry &entry, const WorkerReport &report, TimePoint asked)
{
    entry.lastReport = asked;
    entry.running.clear();
    for (const auto &task : report.tasks) {
        if (task.state == TaskState::Running) {
            entry.running.insert(task.id);
        }
    }
}

void WorkerRoster::settle(const WorkerVisit &visit, const TaskId &task)
{
    const std::lock_guard lock(mutex_);
    if (auto *entry = entryOf(visit)) {
        entry->followed.remove(task);
        ledger_.release(visit.shard, visit.worker, task.text());
    }
}

void WorkerRoster::follow(const WorkerId &worker, Epoch epoch, const TaskId &task, FollowMode mode)
{
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(worker);
    if (found == workers_.end() || found->second.epoch != epoch) {
        return;
    }
    auto &entry = found->second;
    entry.followed.add(task, mode, clock_.now());
    entry.due = std::min(entry.due, entry.followed.nextQuestion(clock_.now(), options_.renewalPeriod));
}

std::optional<OwnedWorker> WorkerRoster::find(const WorkerId &worker) const
{
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(worker);
    if (found == workers_.end() || !found->second.isSeized) {
        return std::nullopt;
    }
    return OwnedWorker { worker, found->second.shard, found->second.epoch, found->second.connection };
}

/** A worker that has not answered for a task lease may have died, and stops its tasks if it has not. */
bool WorkerRoster::isReportFresh(const Entry &entry) const
{
    return entry.isSeized && clock_.now() - entry.lastReport <= options_.taskLease;
}

bool WorkerRoster::isReportedRunning(const WorkerId &worker, const TaskId &task) const
{
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(worker);
    if (found == workers_.end() || !isReportFresh(found->second)) {
        return false;
    }
    // Only the ends of followed tasks are asked for often enough.
    return found->second.followed.contains(task) && found->second.running.contains(task);
}

std::vector<TaskId> WorkerRoster::reportedRunning(const JobId &job) const
{
    const auto prefix = job.text() + "/";
    std::vector<TaskId> tasks;
    const std::lock_guard lock(mutex_);
    for (const auto &[id, entry] : workers_) {
        if (!isReportFresh(entry)) {
            continue;
        }
        for (auto task = entry.running.lower_bound(TaskId(prefix)); task != entry.running.end() && task->text().starts_with(prefix);
             ++task) {
            if (entry.followed.contains(*task)) {
                tasks.push_back(*task);
            }
        }
    }
    return tasks;
}

bool WorkerRoster::hasLapsed(const WorkerId &worker) const
{
    const auto lapse = options_.taskLease + leaseMargin;
    const std::lock_guard lock(mutex_);
    if (const auto gone = goneSince_.find(worker); gone != goneSince_.end()) {
        return clock_.now() - gone->second > lapse;
    }
    const auto found = workers_.find(worker);
    return found != workers_.end() && found->second.isSeized && clock_.now() - found->second.lastReport > lapse;
}

bool WorkerRoster::isUnseized(const WorkerId &worker) const
{
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(worker);
    return found != workers_.end() && !found->second.isSeized;
}

int WorkerRoster::unclaimedCount() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(
        std::count_if(workers_.begin(), workers_.end(), [](const auto &entry) { return !entry.second.isSeized; }));
}

std::map<FailureDomainId, RegionId> WorkerRoster::domains() const
{
    const std::lock_guard lock(mutex_);
    return list_.domains();
}

Resources WorkerRoster::cellCapacity() const
{
    const std::lock_guard lock(mutex_);
    return list_.capacity();
}

std::vector<ListedWorker> WorkerRoster::pool(const ServiceId &service) const
{
    const std::lock_guard lock(mutex_);
    return list_.pool(service);
}

} // namespace auburndoor
