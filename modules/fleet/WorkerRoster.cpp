#include "fleet/WorkerRoster.h"

#include "placement/CapacityLedger.h"
#include "placement/WorkerHealth.h"
#include "worker/WorkerConnector.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** Added to the task lease to allow for different clock rates of this instance and a worker. */
constexpr Milliseconds leaseMargin { 5000 };
/** Limit of remembered gone workers; 320 workers are replaced per day. */
constexpr std::size_t goneWorkerLimit = 2000;

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
        const auto shard = changed.state == ListedState::Gone ? list_.shardBefore(changed) : list_.shardOf(changed);
        hasNewDomain = list_.update(changed) || hasNewDomain;
        recordGone(changed);
        applyChange(changed, shard);
    }
    return hasNewDomain;
}

void WorkerRoster::recordGone(const ListedWorker &changed)
{
    if (changed.state != ListedState::Gone) {
        goneSince_.erase(changed.id);
        return;
    }
    health_.forget(changed.id);
    goneSince_.emplace(changed.id, clock_.now());
    if (goneSince_.size() > goneWorkerLimit) {
        const auto oldest = std::min_element(
            goneSince_.begin(), goneSince_.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
        goneSince_.erase(oldest);
    }
}

void WorkerRoster::applyChange(const ListedWorker &changed, const ShardId &shard)
{
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
    entry.dueTime = clock_.now();
    entry.connection = connector_.connect(listed.id, listed.address);
}

void WorkerRoster::gainShard(const ShardId &shard, Epoch epoch)
{
    const std::lock_guard lock(mutex_);
    if (const auto known = shards_.find(shard); known != shards_.end() && known->second >= epoch) {
        return;
    }
    shards_[shard] = epoch;
    confirmedTimes_.erase(shard);
    for (const auto &worker : list_.workersOf(shard)) {
        add(worker, shard, epoch);
    }
}

void WorkerRoster::loseShard(const ShardId &shard)
{
    const std::lock_guard lock(mutex_);
    eraseShard(shard);
}

void WorkerRoster::confirmShard(const ShardId &shard, Epoch epoch, TimePoint readTime)
{
    const std::lock_guard lock(mutex_);
    if (const auto known = shards_.find(shard); known != shards_.end() && known->second == epoch) {
        confirmedTimes_[shard] = readTime;
    }
}

void WorkerRoster::eraseShard(const ShardId &shard)
{
    shards_.erase(shard);
    confirmedTimes_.erase(shard);
    std::erase_if(workers_, [&](const auto &entry) { return entry.second.shard == shard; });
    ledger_.removeShard(shard);
}

bool WorkerRoster::loseShardUnlessNewer(const ShardId &shard, Epoch epoch)
{
    const std::lock_guard lock(mutex_);
    const auto known = shards_.find(shard);
    if (known == shards_.end() || known->second > epoch) {
        return false;
    }
    eraseShard(shard);
    return true;
}

bool WorkerRoster::isOpen(const ListedWorker &worker) const
{
    return worker.state == ListedState::Live && !health_.isQuarantined(worker.id);
}

void WorkerRoster::updateOpenStates()
{
    const std::lock_guard lock(mutex_);
    for (const auto &[id, entry] : workers_) {
        if (entry.isClaimed) {
            ledger_.setOpen(entry.shard, id, isOpen(entry.listed));
        }
    }
}

std::optional<WorkerExchange> WorkerRoster::takeDueExchange()
{
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    for (auto &[id, entry] : workers_) {
        if (!entry.isBusy && entry.dueTime <= now) {
            entry.isBusy = true;
            entry.isRenewing = entry.isClaimed && !entry.mustProbe;
            return WorkerExchange { id,  entry.shard,    entry.epoch, entry.isClaimed, entry.connection, entry.tracked.unresolved(),
                                    now, entry.mustProbe };
        }
    }
    return std::nullopt;
}

TimePoint WorkerRoster::nextDueTime(TimePoint latest) const
{
    const std::lock_guard lock(mutex_);
    for (const auto &[id, entry] : workers_) {
        if (!entry.isBusy) {
            latest = std::min(latest, entry.dueTime);
        }
    }
    return latest;
}

WorkerRoster::Entry *WorkerRoster::findEntry(const WorkerExchange &exchange)
{
    const auto found = workers_.find(exchange.worker);
    const auto isSame = found != workers_.end() && found->second.epoch == exchange.epoch
                        && found->second.connection == exchange.connection;
    return isSame ? &found->second : nullptr;
}

void WorkerRoster::finishExchange(const WorkerExchange &exchange, bool isAnswered, Milliseconds longestPause)
{
    const std::lock_guard lock(mutex_);
    if (auto *entry = findEntry(exchange)) {
        entry->isBusy = false;
        entry->lastLeaseOrderTime = entry->isRenewing ? clock_.now() : entry->lastLeaseOrderTime;
        entry->isRenewing = false;
        entry->mustProbe = entry->isClaimed && !isAnswered;
        entry->dueTime = entry->tracked.nextPollTime(clock_.now(), longestPause);
    }
}

bool WorkerRoster::addClaimedWorker(const WorkerExchange &exchange, const WorkerReport &report)
{
    const std::lock_guard lock(mutex_);
    auto *entry = findEntry(exchange);
    if (entry == nullptr) {
        return false;
    }
    std::vector<LedgerEntry> running;
    for (const auto &task : report.tasks) {
        if (task.state == TaskState::Running) {
            running.push_back({ task.id.text(), task.team, task.need, false });
            entry->tracked.add(task.id, TrackingMode::Running, exchange.requestTime);
        }
    }
    const auto &listed = entry->listed;
    const WorkerView view { listed.id, listed.service, listed.failureDomain, report.capacity, {}, 0, isOpen(listed) };
    ledger_.addWorker({ view, listed.address, exchange.shard, exchange.epoch }, running);
    entry->isClaimed = true;
    // Until the claim, the former owner may have extended the leases.
    entry->lastLeaseOrderTime = clock_.now();
    recordReport(*entry, report, exchange.requestTime);
    return true;
}

void WorkerRoster::applyReport(const WorkerExchange &exchange, const WorkerReport &report)
{
    const std::lock_guard lock(mutex_);
    auto *entry = findEntry(exchange);
    if (entry == nullptr) {
        return;
    }
    for (const auto &task : entry->tracked.takeEnded(report, exchange.requestTime)) {
        ledger_.release(exchange.shard, exchange.worker, task.text());
    }
    recordReport(*entry, report, exchange.requestTime);
}

void WorkerRoster::recordReport(Entry &entry, const WorkerReport &report, TimePoint requestTime)
{
    entry.lastReportTime = requestTime;
    entry.running.clear();
    for (const auto &task : report.tasks) {
        if (task.state == TaskState::Running) {
            entry.running.insert(task.id);
        }
    }
}

void WorkerRoster::releaseTask(const WorkerExchange &exchange, const TaskId &task)
{
    const std::lock_guard lock(mutex_);
    if (auto *entry = findEntry(exchange)) {
        entry->tracked.remove(task);
        ledger_.release(exchange.shard, exchange.worker, task.text());
    }
}

void WorkerRoster::track(const WorkerId &worker, Epoch epoch, const TaskId &task, TrackingMode mode)
{
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(worker);
    if (found == workers_.end() || found->second.epoch != epoch) {
        return;
    }
    auto &entry = found->second;
    entry.tracked.add(task, mode, clock_.now());
    entry.lastLeaseOrderTime = clock_.now();
    entry.dueTime = std::min(entry.dueTime, entry.tracked.nextPollTime(clock_.now(), options_.renewalPeriod));
}

std::optional<OwnedWorker> WorkerRoster::find(const WorkerId &worker) const
{
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(worker);
    if (found == workers_.end() || !found->second.isClaimed) {
        return std::nullopt;
    }
    return OwnedWorker { worker, found->second.shard, found->second.epoch, found->second.connection };
}

/** A worker that has not answered for the length of a task lease may have failed; if it still runs, it stops its tasks. */
bool WorkerRoster::isReportFresh(const Entry &entry) const
{
    return entry.isClaimed && clock_.now() - entry.lastReportTime <= options_.taskLease;
}

bool WorkerRoster::isReportedRunning(const WorkerId &worker, const TaskId &task) const
{
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(worker);
    if (found == workers_.end() || !isReportFresh(found->second)) {
        return false;
    }
    // The worker is polled often enough only for the ends of tracked tasks.
    return found->second.tracked.contains(task) && found->second.running.contains(task);
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
            if (entry.tracked.contains(*task)) {
                tasks.push_back(*task);
            }
        }
    }
    return tasks;
}

bool WorkerRoster::haveTaskLeasesLapsed(const WorkerId &worker) const
{
    const auto lapseTime = options_.taskLease + leaseMargin;
    const std::lock_guard lock(mutex_);
    if (const auto gone = goneSince_.find(worker); gone != goneSince_.end()) {
        return clock_.now() - gone->second > lapseTime;
    }
    const auto found = workers_.find(worker);
    if (found == workers_.end() || !found->second.isClaimed || found->second.isRenewing) {
        return false;
    }
    const auto confirmed = confirmedTimes_.find(found->second.shard);
    return confirmed != confirmedTimes_.end() && confirmed->second - found->second.lastLeaseOrderTime > lapseTime;
}

bool WorkerRoster::isUnclaimed(const WorkerId &worker) const
{
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(worker);
    return found != workers_.end() && !found->second.isClaimed;
}

int WorkerRoster::unclaimedCount() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(
        std::count_if(workers_.begin(), workers_.end(), [](const auto &entry) { return !entry.second.isClaimed; }));
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
