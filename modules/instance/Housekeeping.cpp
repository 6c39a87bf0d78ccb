#include "instance/Housekeeping.h"

#include "core/Failure.h"
#include "membership/MembershipView.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "pipeline/RequestRecordStore.h"

namespace auburndoor {

namespace {

/** The work is repeated after this time, in case the previous leader died before it was done or a write failed. */
constexpr Milliseconds reconcilePeriod { 5000 };
constexpr Milliseconds recordRemovalPeriod = std::chrono::minutes(10);

} // namespace

Housekeeping::Housekeeping(Clock &clock,
                           Metrics &metrics,
                           MembershipView &members,
                           JobService &jobs,
                           RequestRecordStore &requestRecords)
    : clock_(clock)
    , metrics_(metrics)
    , members_(members)
    , requestRecords_(requestRecords)
    , declaredJobReconciler_(jobs)
    , nextRecordRemoval_(clock.now() + recordRemovalPeriod)
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
        latestDeclaration_ = declaration;
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
        clock_.waitUntil(lock, condition_, clock_.now() + reconcilePeriod, [this] { return isStopping_ || isChanged_; });
    }
}

bool Housekeeping::isLeader() const
{
    const auto peers = members_.livePeers();
    return peers.empty() || members_.self().id < peers.front();
}

void Housekeeping::runOnce()
{
    std::shared_ptr<const VersionedDeclaration> latestDeclaration;
    {
        const std::lock_guard lock(mutex_);
        latestDeclaration = latestDeclaration_;
    }
    if (latestDeclaration) {
        const auto isDone = declaredJobReconciler_.reconcile(latestDeclaration->declaration.jobs);
        metrics_.setGauge("declared_jobs_pending", isDone ? 0 : 1);
    }
    if (clock_.now() < nextRecordRemoval_) {
        return;
    }
    nextRecordRemoval_ = clock_.now() + recordRemovalPeriod;
    Failure failure;
    if (const auto removed = requestRecords_.removeExpired(failure)) {
        metrics_.count("request_records_removed_total", {}, *removed);
    } else {
        Log::failure("request-records-not-removed", failure);
    }
}

} // namespace auburndoor
