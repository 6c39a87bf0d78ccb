#include "membership/HeartbeatSender.h"

#include "core/Failure.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "peer/Peer.h"

#include <algorithm>

namespace auburndoor {

/** The exchanges with one member. Guarded by the mutex of the sender. */
struct HeartbeatSender::Lane
{
    InstanceId id;
    std::thread thread;
    std::condition_variable condition;
    /** Set while an exchange is due or under way. */
    std::shared_ptr<Peer> peer;
    TimePoint lastAttempt = TimePoint::min();
    bool isEnding = false;
};

HeartbeatSender::HeartbeatSender(MembershipView &view, const HeartbeatTiming &timing, Clock &clock, Metrics &metrics)
    : view_(view), timing_(timing), clock_(clock), metrics_(metrics), self_(view.self().id)
{
}

HeartbeatSender::~HeartbeatSender()
{
    stop();
}

void HeartbeatSender::start()
{
    view_.setChangeListener([this] { wake(); });
    thread_ = std::thread([this] { run(); });
}

void HeartbeatSender::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    view_.setChangeListener({});
    {
        const std::lock_guard lock(mutex_);
        isEnding_ = true;
    }
    condition_.notify_all();
    thread_.join();
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, lane] : lanes_) {
            lane->isEnding = true;
            lane->condition.notify_all();
        }
    }
    for (const auto &[id, lane] : lanes_) {
        lane->thread.join();
    }
    lanes_.clear();
}

TimePoint HeartbeatSender::dueTime(const HeartbeatTarget &target,
                                   TimePoint lastAttempt,
                                   const InstanceId &self,
                                   long long revision,
                                   const HeartbeatTiming &timing)
{
    const auto last = std::max(target.lastTold, lastAttempt);
    const auto period = target.toldRevision < revision ? timing.changePeriod : timing.restPeriod;
    return last + period + (target.id < self ? timing.yieldDelay : Milliseconds(0));
}

void HeartbeatSender::run()
{
    std::unique_lock lock(mutex_);
    while (!isEnding_) {
        hasChange_ = false;
        lock.unlock();
        const auto revision = view_.revision();
        const auto targets = view_.heartbeatTargets();
        lock.lock();
        auto removed = removeIdleLanes(targets);
        const auto next = dispatch(targets, revision);
        if (!removed.empty()) {
            lock.unlock();
            for (const auto &lane : removed) {
                lane->thread.join();
            }
            lock.lock();
        }
        clock_.waitUntil(lock, condition_, next, [&] { return isEnding_ || hasChange_; });
    }
}

TimePoint HeartbeatSender::dispatch(const std::vector<HeartbeatTarget> &targets, long long revision)
{
    const auto now = clock_.now();
    auto next = now + timing_.restPeriod;
    for (const auto &target : targets) {
        auto &lane = lanes_[target.id];
        if (!lane) {
            lane = std::make_unique<Lane>();
            lane->id = target.id;
            lane->thread = std::thread([this, &lane = *lane] { runLane(lane); });
        }
        if (lane->peer || !target.peer) {
            continue;
        }
        const auto due = dueTime(target, lane->lastAttempt, self_, revision, timing_);
        if (due > now) {
            next = std::min(next, due);
            continue;
        }
        lane->peer = target.peer;
        lane->lastAttempt = now;
        lane->condition.notify_all();
    }
    return next;
}

std::vector<std::unique_ptr<HeartbeatSender::Lane>> HeartbeatSender::removeIdleLanes(const std::vector<HeartbeatTarget> &targets)
{
    std::vector<std::unique_ptr<Lane>> removed;
    for (auto item = lanes_.begin(); item != lanes_.end();) {
        auto &lane = item->second;
        const bool isWanted = std::any_of(
            targets.begin(), targets.end(), [&](const auto &target) { return target.id == lane->id; });
        if (isWanted || lane->peer) {
            ++item;
            continue;
        }
        lane->isEnding = true;
        lane->condition.notify_all();
        removed.push_back(std::move(lane));
        item = lanes_.erase(item);
    }
    return removed;
}

void HeartbeatSender::runLane(Lane &lane)
{
    std::unique_lock lock(mutex_);
    while (true) {
        lane.condition.wait(lock, [&] { return lane.isEnding || lane.peer; });
        if (lane.isEnding) {
            return;
        }
        const auto peer = lane.peer;
        lock.unlock();
        exchange(lane.id, *peer);
        lock.lock();
        lane.peer.reset();
        hasChange_ = true;
        condition_.notify_all();
    }
}

void HeartbeatSender::exchange(const InstanceId &id, Peer &peer)
{
    // The revision is read before the state, so that a change in between is told again.
    const auto revision = view_.revision();
    const auto self = view_.self();
    Failure failure;
    const auto answer = peer.heartbeat(self, timing_.timeout, failure);
    if (!answer) {
        metrics_.count("heartbeat_failures_total", name(failure.reason));
        Log::debug("heartbeat-failed", { { "member", id.text() }, { "reason", failure.text() } });
        return;
    }
    metrics_.count("heartbeats_total");
    view_.update(*answer);
    view_.noteTold(id, revision);
}

void HeartbeatSender::wake()
{
    {
        const std::lock_guard lock(mutex_);
        hasChange_ = true;
    }
    condition_.notify_all();
}

} // namespace auburndoor
