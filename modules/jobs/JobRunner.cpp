#include "jobs/JobRunner.h"

#include "core/Failure.h"
#include "jobs/JobStore.h"
#include "observability/Log.h"
#include "observability/Metrics.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds tableTimeout { 2000 };
/** The longest time until a submission or cancel is noticed whose message was lost; each poll reads one row per owned shard. */
constexpr Milliseconds changePollPeriod { 2000 };
constexpr Milliseconds endedJobCleanupPeriod = std::chrono::hours(1);
/** How long the record of an ended job is kept. */
constexpr Milliseconds endedJobRetention = std::chrono::hours(24);
constexpr Milliseconds longestIdleTime { 10'000 };

} // namespace

JobRunner::JobRunner(const InstanceId &self,
                     JobStore &store,
                     PeerHandler &local,
                     PeerDirectory &peers,
                     Clock &clock,
                     Metrics &metrics)
    : store_(store)
    , clock_(clock)
    , metrics_(metrics)
    , gateway_(self, local, peers)
    , gangs_(gateway_, clock)
    , places_(gateway_, clock)
    , tracker_(gateway_, clock, metrics)
{
}

JobRunner::~JobRunner()
{
    stop();
}

void JobRunner::start()
{
    thread_ = std::thread([this] { run(); });
}

void JobRunner::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_all();
    if (!thread_.joinable()) {
        return;
    }
    thread_.join();
    while (!shards_.empty()) {
        dropShard(ShardId(shards_.begin()->first));
    }
}

void JobRunner::shardGained(const ShardId &shard, Epoch epoch, long long shardRowVersion)
{
    Log::info("jobs-taken-over", { { "shard", shard.text() }, { "epoch", std::to_string(epoch) } });
    const std::lock_guard lock(mutex_);
    changedShards_[shard] = shardRowVersion;
    condition_.notify_all();
}

void JobRunner::shardLost(const ShardId &shard)
{
    const std::lock_guard lock(mutex_);
    changedShards_[shard] = std::nullopt;
    condition_.notify_all();
}

void JobRunner::notifyJob(const ShardId &shard, const JobId &job)
{
    const std::lock_guard lock(mutex_);
    changedJobs_.emplace(shard, job);
    condition_.notify_all();
}

std::optional<JobExplanation> JobRunner::explain(const JobId &job) const
{
    const std::lock_guard lock(mutex_);
    const auto found = explanations_.find(job);
    return found == explanations_.end() ? std::nullopt : std::optional(found->second);
}

TimePoint JobRunner::runOnce()
{
    applyPendingChanges();
    // Copies the ids, since driving a job may drop its shard.
    std::vector<ShardId> ids;
    for (const auto &[id, shard] : shards_) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        pollShard(id, shards_.at(id));
    }
    const auto end = clock_.now() + changePollPeriod;
    while (clock_.now() < end && driveNextDueJob()) {
        if (hasPendingChanges()) {
            applyPendingChanges();
        }
    }
    auto due = clock_.now() + longestIdleTime;
    for (const auto &[id, shard] : shards_) {
        due = std::min(due, shard.nextPoll);
        for (const auto &[job, driver] : shard.jobs) {
            due = std::min(due, driver.due());
        }
    }
    return due;
}

void JobRunner::run()
{
    const auto isStopping = [this] {
        const std::lock_guard lock(mutex_);
        return isStopping_;
    };
    while (!isStopping()) {
        const auto due = runOnce();
        std::unique_lock lock(mutex_);
        clock_.waitUntil(lock, condition_, due, [this] { return isStopping_ || !changedShards_.empty() || !changedJobs_.empty(); });
    }
}

bool JobRunner::hasPendingChanges() const
{
    const std::lock_guard lock(mutex_);
    return !changedShards_.empty() || !changedJobs_.empty();
}

void JobRunner::applyPendingChanges()
{
    std::map<ShardId, std::optional<long long>> changedShards;
    std::set<JobKey> changedJobs;
    {
        const std::lock_guard lock(mutex_);
        changedShards.swap(changedShards_);
        changedJobs.swap(changedJobs_);
    }
    for (const auto &[id, rowVersion] : changedShards) {
        dropShard(id);
        if (rowVersion) {
            auto &shard = shards_[id];
            shard.rowVersion = *rowVersion;
            shard.nextCleanup = clock_.now() + endedJobCleanupPeriod;
            pollShard(id, shard);
        }
    }
    for (const auto &[id, job] : changedJobs) {
        const auto shard = shards_.find(id);
        if (shard != shards_.end() && shard->second.isLoaded) {
            loadJob(id, shard->second, job);
        }
    }
}

void JobRunner::pollShard(const ShardId &id, Shard &shard)
{
    if (clock_.now() < shard.nextPoll) {
        return;
    }
    shard.nextPoll = clock_.now() + changePollPeriod;
    Failure failure;
    // Reads the version before the jobs, so that a change between the two reads is noticed at the next poll.
    const auto latestVersion = store_.changeVersion(id, clock_.now() + tableTimeout, failure);
    if (!latestVersion) {
        return;
    }
    if (!shard.isLoaded || latestVersion != shard.changeVersion) {
        loadShard(id, shard);
        shard.changeVersion = shard.isLoaded ? latestVersion : std::nullopt;
    }
    if (clock_.now() >= shard.nextCleanup) {
        removeEndedJobs(id, shard);
    }
}

void JobRunner::loadShard(const ShardId &id, Shard &shard)
{
    Failure failure;
    auto jobs = store_.loadShard(id, clock_.now() + tableTimeout, failure);
    if (!jobs) {
        shard.isLoaded = false;
        Log::failure("jobs-not-loaded", failure, { { "shard", id.text() } });
        return;
    }
    for (auto &job : *jobs) {
        applyRecord(shard, std::move(job));
    }
    shard.isLoaded = true;
}

void JobRunner::removeEndedJobs(const ShardId &id, Shard &shard)
{
    Failure failure;
    const auto removed = store_.removeEnded(id, clock_.wallNow() - endedJobRetention, clock_.now() + tableTimeout, failure);
    // One transaction may not remove all of them, so the next poll continues.
    shard.nextCleanup = removed.value_or(0) > 0 ? clock_.now() : clock_.now() + endedJobCleanupPeriod;
}

void JobRunner::loadJob(const ShardId &id, Shard &shard, const JobId &job)
{
    Failure failure;
    auto loaded = store_.load(id, job, clock_.now() + tableTimeout, failure);
    if (loaded && !loaded->hasEnded()) {
        applyRecord(shard, *std::move(loaded));
    } else if (loaded || failure.reason == FailureReason::UnknownName) {
        shard.jobs.erase(job);
        const std::lock_guard lock(mutex_);
        explanations_.erase(job);
    } else {
        // Makes the next poll load the whole shard.
        shard.changeVersion.reset();
    }
}

void JobRunner::applyRecord(Shard &shard, Job job)
{
    const auto known = shard.jobs.find(job.declaration.id);
    if (known == shard.jobs.end()) {
        const auto id = job.declaration.id;
        shard.jobs.emplace(id, JobDriver(std::move(job), makeServices()));
    } else if (known->second.job().version < job.version) {
        known->second.applyRecord(std::move(job));
    }
}

bool JobRunner::driveNextDueJob()
{
    const auto now = clock_.now();
    const JobDriver *mostUrgent = nullptr;
    const auto isBefore = [](const JobDriver &one, const JobDriver &other) {
        return std::pair(one.job().declaration.priority, one.due()) < std::pair(other.job().declaration.priority, other.due());
    };
    for (const auto &[id, shard] : shards_) {
        for (const auto &[job, driver] : shard.jobs) {
            if (driver.due() <= now && (mostUrgent == nullptr || isBefore(driver, *mostUrgent))) {
                mostUrgent = &driver;
            }
        }
    }
    if (mostUrgent == nullptr) {
        return false;
    }
    const auto shard = mostUrgent->job().shard;
    drive(shard, shards_.at(shard), JobId(mostUrgent->job().declaration.id));
    return true;
}

void JobRunner::drive(const ShardId &id, Shard &shard, const JobId &job)
{
    auto &driver = shard.jobs.at(job);
    const auto result = driver.drive(shard.rowVersion);
    {
        const std::lock_guard lock(mutex_);
        if (result == JobDriver::Result::Ended) {
            explanations_.erase(job);
        } else {
            explanations_[job] = driver.explain();
        }
    }
    switch (result) {
    case JobDriver::Result::Continue:
        break;
    case JobDriver::Result::Ended:
        metrics_.count("jobs_ended_total", name(driver.job().phase));
        shard.jobs.erase(job);
        break;
    case JobDriver::Result::Reload:
        loadJob(id, shard, job);
        break;
    case JobDriver::Result::ShardLost:
        Log::warning("jobs-left-to-new-owner", { { "shard", id.text() } });
        dropShard(id);
        break;
    }
}

void JobRunner::dropShard(const ShardId &id)
{
    const auto shard = shards_.find(id);
    if (shard == shards_.end()) {
        return;
    }
    // Releases places over the network, so the mutex is not locked yet.
    for (auto &[job, driver] : shard->second.jobs) {
        driver.releasePlaces();
    }
    const std::lock_guard lock(mutex_);
    for (const auto &[job, driver] : shard->second.jobs) {
        explanations_.erase(job);
    }
    shards_.erase(shard);
}

JobServices JobRunner::makeServices()
{
    return { store_, gateway_, gangs_, places_, tracker_, clock_, metrics_ };
}

} // namespace auburndoor
