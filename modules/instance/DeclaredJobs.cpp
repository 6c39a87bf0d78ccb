#include "instance/DeclaredJobs.h"

#include "instance/JobService.h"
#include "membership/MembershipView.h"
#include "observability/Metrics.h"

namespace auburndoor {

namespace {

/** Covers a leader that died before it was done, and writes that failed. */
constexpr Milliseconds repeatPeriod { 5000 };

} // namespace

DeclaredJobs::DeclaredJobs(Clock &clock, Metrics &metrics, MembershipView &members, JobService &jobs)
    : clock_(clock), metrics_(metrics), members_(members), jobs_(jobs)
{
}

DeclaredJobs::~DeclaredJobs()
{
    stop();
}

void DeclaredJobs::start()
{
    thread_ = std::thread([this] { run(); });
}

void DeclaredJobs::stop()
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

void DeclaredJobs::setDeclaration(const std::shared_ptr<const VersionedDeclaration> &declaration)
{
    {
        const std::lock_guard lock(mutex_);
        wanted_ = declaration;
        isChanged_ = true;
    }
    condition_.notify_all();
}

void DeclaredJobs::run()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        isChanged_ = false;
        lock.unlock();
        const auto isDone = !isLeader() || bringInLine();
        metrics_.setGauge("declared_jobs_pending", isDone ? 0 : 1);
        lock.lock();
        clock_.waitUntil(lock, condition_, clock_.now() + repeatPeriod, [this] { return isStopping_ || isChanged_; });
    }
}

bool DeclaredJobs::isLeader() const
{
    const auto peers = members_.livePeers();
    return peers.empty() || members_.self().id < peers.front();
}

bool DeclaredJobs::bringInLine()
{
    std::shared_ptr<const VersionedDeclaration> wanted;
    {
        const std::lock_guard lock(mutex_);
        wanted = wanted_;
    }
    if (!wanted) {
        return true;
    }
    const auto &declared = wanted->declaration.jobs;
    for (const auto &id : recorded_) {
        if (!declared.contains(id)) {
            removed_.insert(id);
        }
    }
    bool isDone = true;
    for (const auto &[id, job] : declared) {
        removed_.erase(id);
        if (!recorded_.contains(id) && jobs_.submitDeclared(job)) {
            recorded_.insert(id);
        }
        isDone = isDone && recorded_.contains(id);
    }
    for (auto id = removed_.begin(); id != removed_.end();) {
        if (!jobs_.cancelDeclared(*id)) {
            isDone = false;
            ++id;
            continue;
        }
        recorded_.erase(*id);
        id = removed_.erase(id);
    }
    return isDone;
}

} // namespace auburndoor
