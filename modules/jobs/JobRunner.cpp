#include "jobs/JobRunner.h"

#include "core/Failure.h"
#include "jobs/JobStore.h"
#include "observability/Log.h"
#include "observability/Metrics.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds tableTimeout { 2000 };
/** How soon a submission or a cancel is noticed whose message was lost; one small read for each owned shard. */
constexpr Milliseconds changePollPeriod { 2000 };
constexpr Milliseconds sweepPeriod = std::chrono::hours(1);
/** How long the record of an ended job is kept. */
constexpr Milliseconds endedRecordTime = std::chrono::hours(24);
constexpr Milliseconds longestWait { 10'000 };

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
    , follower_(gateway_, clock, metrics)
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
    shardNews_[shard] = shardRowVersion;
    condition_.notify_all();
}

void JobRunner::shardLost(const ShardId &shard)
{
    const std::lock_guard lock(mutex_);
    shardNews_[shard] = std::nullopt;
    condition_.notify_all();
}

void JobRunner::notifyJob(const ShardId &shard, const JobId &job)
{
    const std::lock_guard lock(mutex_);
    jobNews_.emplace(shard, job);
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
    takeNews();
    // Driving a job may drop its shard, so the ids are copied first.
    std::vector<ShardId> ids;
    for (const auto &[id, shard] : shards_) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        pollShard(id, shards_.at(id));
    }
    const auto end = clock_.now() + changePollPeriod;
    while (clock_.now() < end && driveNext()) {
        if (hasNews()) {
            takeNews();
        }
    }
    auto due = clock_.now() + longestWait;
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
        clock_.waitUntil(lock, condition_, due, [this] { return isStopping_ || !shardNews_.empty() || !jobNews_.empty(); });
    }
}

bool JobRunner::hasNews() const
{
    const std::lock_guard lock(mutex_);
    return !shardNews_.empty() || !jobNews_.empty();
}

void JobRunner::takeNews()
{
    std::map<ShardId, std::optional<long long>> shardNews;
    std::set<Event> jobNews;
    {
        const std::lock_guard lock(mutex_);
        shardNews.swap(shardNews_);
        jobNews.swap(jobNews_);
    }
    for (const auto &[id, rowVersion] : shardNews) {
        dropShard(id);
        if (rowVersion) {
            auto &shard = shards_[id];
            shard.rowVersion = *rowVersion;
            shard.nextSweep = clock_.now() + sweepPeriod;
            pollShard(id, shard);
        }
    }
    for (const auto &[id, job] : jobNews) {
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
    // Read before the jobs, so that a change between the two reads is seen at the next poll.
    const auto mark = store_.changeMark(id, clock_.now() + tableTimeout, failure);
    if (!mark) {
        return;
    }
    if (!shard.isLoaded || mark != shard.changeMark) {
        loadShard(id, shard);
        shard.changeMark = shard.isLoaded ? mark : std::nullopt;
    }
    if (clock_.now() >= shard.nextSweep) {
        sweep(id, shard);
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
        adopt(shard, std::move(job));
    }
    shard.isLoaded = true;
}

void JobRunner::sweep(const ShardId &id, Shard &shard)
{
    Failure failure;
    const auto removed = store_.removeEnded(id, clock_.wallNow() - endedRecordTime, clock_.now() + tableTimeout, failure);
    // A full transaction means that more are left.
    shard.nextSweep = removed.value_or(0) > 0 ? clock_.now() : clock_.now() + sweepPeriod;
}

void JobRunner::loadJob(const ShardId &id, Shard &shard, const JobId &job)
{
    Failure failure;
    auto loaded = store_.load(id, job, clock_.now() + tableTimeout, failure);
    if (loaded && !loaded->hasEnded()) {
        adopt(shard, *std::move(loaded));
    } else if (loaded || failure.reason == FailureReason::UnknownName) {
        shard.jobs.erase(job);
        const std::lock_guard lock(mutex_);
        explanations_.erase(job);
    } else {
        // The next poll loads the whole shard.
        shard.changeMark.reset();
    }
}

void JobRunner::adopt(Shard &shard, Job job)
{
    const auto known = shard.jobs.find(job.declaration.id);
    if (known == shard.jobs.end()) {
        const auto id = job.declaration.id;
        shard.jobs.emplace(id, JobDriver(std::move(job), services()));
    } else if (known->second.job().version < job.version) {
        known->second.adopt(std::move(job));
    }
}

bool JobRunner::driveNext()
{
    const auto now = clock_.now();
    const JobDriver *best = nullptr;
    const auto isBefore = [](const JobDriver &one, const JobDriver &other) {
        return std::pair(one.job().declaration.priority, one.due()) < std::pair(other.job().declaration.priority, other.due());
    };
    for (const auto &[id, shard] : shards_) {
        for (const auto &[job, driver] : shard.jobs) {
            if (driver.due() <= now && (best == nullptr || isBefore(driver, *best))) {
                best = &driver;
            }
        }
    }
    if (best == nullptr) {
        return false;
    }
    const auto shard = best->job().shard;
    drive(shard, shards_.at(shard), JobId(best->job().declaration.id));
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
    // Gives places back over the network, so the lock is not held yet.
    for (auto &[job, driver] : shard->second.jobs) {
        driver.abandon();
    }
    const std::lock_guard lock(mutex_);
    for (const auto &[job, driver] : shard->second.jobs) {
        explanations_.erase(job);
    }
    shards_.erase(shard);
}

JobServices JobRunner::services()
{
    return { store_, gateway_, gangs_, places_, follower_, clock_, metrics_ };
}

} // namespace auburndoor
