#include "instance/InstanceParts.h"

namespace auburndoor {

namespace {

/** Time for the balancer to see the failed health check before the callers' listener closes. */
constexpr Milliseconds balancerNotice { 1000 };
/** The last part of the shutdown deadline, for the release of the shards after the callers have been answered. */
constexpr Milliseconds releaseTime { 5000 };

} // namespace

bool InstanceParts::shutDown()
{
    const auto deadline = clock_.now() + settings_.shutdown.deadline;
    Log::info("shutdown-begun");
    isDraining_ = true;
    members_->setLeaving();
    ownership_->beginLeaving();
    callerServer_->setDraining();
    housekeeping_->stop();
    jobRunner_->stop();
    // The shards go first, so that the successors use their workers at once. While the table is down that waits, and this instance
    // goes on serving its callers and peers with them.
    bool isReleased = false;
    std::thread release([&] { isReleased = ownership_->stop(settings_.shutdown.deadline); });
    stopCallers(deadline - releaseTime);
    release.join();
    peerServer_->stop();
    const auto isInTime = clock_.now() <= deadline;
    stopAll();
    Log::info("shutdown-done", { { "released", isReleased ? "true" : "false" }, { "inTime", isInTime ? "true" : "false" } });
    return isInTime;
}

/** Waits for the balancer, then finishes the callers' requests. Those that still wait for room near the deadline are refused as not
 * run. */
void InstanceParts::stopCallers(TimePoint deadline)
{
    std::mutex mutex;
    std::condition_variable condition;
    {
        std::unique_lock lock(mutex);
        clock_.waitUntil(lock, condition, clock_.now() + balancerNotice, [] { return false; });
    }
    bool isStopped = false;
    std::thread watch([&] {
        std::unique_lock lock(mutex);
        if (!clock_.waitUntil(lock, condition, deadline, [&] { return isStopped; })) {
            queues_.shutdown();
        }
    });
    callerServer_->stop();
    {
        const std::lock_guard lock(mutex);
        isStopped = true;
    }
    condition.notify_all();
    watch.join();
}

void InstanceParts::stopAll()
{
    queues_.shutdown();
    if (callerServer_) {
        callerServer_->stop();
    }
    if (peerServer_) {
        peerServer_->stop();
    }
    if (housekeeping_) {
        housekeeping_->stop();
        jobRunner_->stop();
    }
    if (reporter_) {
        reporter_->stop();
    }
    if (configuration_) {
        configuration_->stop();
    }
    if (heartbeats_) {
        heartbeats_->stop();
    }
    if (operatorServer_) {
        operatorServer_->stop();
    }
    records_.reset();
    ownership_.reset();
    workers_.stop();
}

} // namespace auburndoor
