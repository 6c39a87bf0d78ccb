#include "instance/InstanceParts.h"

namespace auburndoor {

namespace {

/** Time for the load balancer to see the failed health check before the callers' listener closes. */
constexpr Milliseconds balancerUpdateTime { 1000 };
/** The last part of the shutdown deadline, reserved for releasing the shards after the callers have been answered. */
constexpr Milliseconds shardReleaseTime { 5000 };

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
    // Starts to release the shards before the callers' server stops, so that the successors can use the workers at once. While the
    // table is unavailable the release waits, and this instance keeps serving its callers and peers with its workers.
    bool areShardsReleased = false;
    std::thread releaseThread([&] { areShardsReleased = ownership_->stop(settings_.shutdown.deadline); });
    stopCallerServer(deadline - shardReleaseTime);
    releaseThread.join();
    peerServer_->stop();
    const auto isWithinDeadline = clock_.now() <= deadline;
    stopAll();
    Log::info("shutdown-done",
              { { "released", areShardsReleased ? "true" : "false" }, { "inTime", isWithinDeadline ? "true" : "false" } });
    return isWithinDeadline;
}

/** Waits until the load balancer has seen the failed health check, then finishes the callers' requests. Requests that are still
 * queued for capacity at the deadline are refused as not run. */
void InstanceParts::stopCallerServer(TimePoint deadline)
{
    std::mutex mutex;
    std::condition_variable condition;
    {
        std::unique_lock lock(mutex);
        clock_.waitUntil(lock, condition, clock_.now() + balancerUpdateTime, [] { return false; });
    }
    bool isCallerServerStopped = false;
    std::thread deadlineThread([&] {
        std::unique_lock lock(mutex);
        if (!clock_.waitUntil(lock, condition, deadline, [&] { return isCallerServerStopped; })) {
            queues_.shutdown();
        }
    });
    callerServer_->stop();
    {
        const std::lock_guard lock(mutex);
        isCallerServerStopped = true;
    }
    condition.notify_all();
    deadlineThread.join();
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
    if (poolReporter_) {
        poolReporter_->stop();
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
    requestRecords_.reset();
    ownership_.reset();
    workers_.stop();
}

} // namespace auburndoor
