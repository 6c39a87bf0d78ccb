#include "instance/Housekeeping.h"

#include "core/Failure.h"
#include "membership/MembershipView.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "pipeline/RequestRecordStore.h"

namespace auburndoor {

namespace {

/** Covers a leader that died before it was done, and writes that failed. */
constexpr Milliseconds repeatPeriod { 5000 };
constexpr Milliseconds removalPeriod = std::chrono::minutes(10);

} // namespace

Housekeeping::Housekeeping(Clock &clock, Metrics &metrics, MembershipView &members, JobService &jobs, RequestRecordStore &records)
    : clock_(clock)
    , metrics_(metrics)
    , members_(members)
    , records_(records)
    , declaredJobs_(jobs)
    , nextRemoval_(clock.now() + removalPeriod)
{
}

Housekeeping::~Housekeeping()
{
    stop();
}

void Housekeeping::start()
{
    thread_ = std::thread([this] { run(); });
}

void Housekeeping::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void Housekeeping::setDeclaration(const std::shared_ptr<const VersionedDeclaration> &declaration)
{
    {
        const std::lock_guard lock(mutex_);
        wanted_ = declaration;
        isChanged_ = true;
    }
    condition_.notify_all();
}

void Housekeeping::run()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        isChanged_ = false;
        lock.unlock();
        if (isLeader()) {
            runOnce();
        }
        lock.lock();
        clock_.waitUntil(lock, condition_, clock_.now() + repeatPeriod, [this] { return isStopping_ || isChanged_; });
    }
}

bool Housekeeping::isLeader() const
{
    const auto peers = members_.livePeers();
    return peers.empty() || members_.self().id < peers.front();
}

void Housekeeping::runOnce()
{
    std::shared_ptr<const VersionedDeclaration> wanted;
    {
        const std::lock_guard lock(mutex_);
        wanted = wanted_;
    }
    if (wanted) {
        const auto isDone = declaredJobs_.bringInLine(wanted->declaration.jobs);
        metrics_.setGauge("declared_jobs_pending", isDone ? 0 : 1);
    }
    if (clock_.now() < nextRemoval_) {
        return;
    }
    nextRemoval_ = clock_.now() + removalPeriod;
    Failure failure;
    if (const auto removed = records_.removeExpired(failure)) {
        metrics_.count("request_records_removed_total", {}, *removed);
    } else {
        Log::failure("request-records-not-removed", failure);
    }
}

} // namespace auburndoor
