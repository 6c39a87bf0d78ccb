#include "membership/HeartbeatSender.h"

#include "core/Failure.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "peer/Peer.h"

#include <algorithm>

namespace auburndoor {

/** The thread for the exchanges with one member. Guarded by the mutex of the sender. */
struct HeartbeatSender::ExchangeThread
{
    InstanceId id;
    std::thread thread;
    std::condition_variable condition;
    /** Set while an exchange is requested or in progress. */
    std::shared_ptr<Peer> peer;
    TimePoint lastAttempt = TimePoint::min();
    bool isStopping = false;
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
    view_.setChangeListener([this] { requestWake(); });
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
        isStopping_ = true;
    }
    condition_.notify_all();
    thread_.join();
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, exchangeThread] : exchangeThreads_) {
            exchangeThread->isStopping = true;
            exchangeThread->condition.notify_all();
        }
    }
    for (const auto &[id, exchangeThread] : exchangeThreads_) {
        exchangeThread->thread.join();
    }
    exchangeThreads_.clear();
}

TimePoint HeartbeatSender::dueTime(const HeartbeatTarget &target,
                                   TimePoint lastAttempt,
                                   const InstanceId &self,
                                   long long revision,
                                   const HeartbeatTiming &timing)
{
    const auto lastTime = std::max(target.lastDeliveryTime, lastAttempt);
    const auto period = target.deliveredRevision < revision ? timing.changePeriod : timing.restPeriod;
    return lastTime + period + (target.id < self ? timing.higherIdDelay : Milliseconds(0));
}

void HeartbeatSender::run()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        isWakeRequested_ = false;
        lock.unlock();
        const auto revision = view_.revision();
        const auto targets = view_.heartbeatTargets();
        lock.lock();
        auto removedThreads = removeUnusedThreads(targets);
        const auto next = startDueExchanges(targets, revision);
        if (!removedThreads.empty()) {
            lock.unlock();
            for (const auto &exchangeThread : removedThreads) {
                exchangeThread->thread.join();
            }
            lock.lock();
        }
        clock_.waitUntil(lock, condition_, next, [&] { return isStopping_ || isWakeRequested_; });
    }
}

TimePoint HeartbeatSender::startDueExchanges(const std::vector<HeartbeatTarget> &targets, long long revision)
{
    const auto now = clock_.now();
    auto next = now + timing_.restPeriod;
    for (const auto &target : targets) {
        auto &exchangeThread = exchangeThreads_[target.id];
        if (!exchangeThread) {
            exchangeThread = std::make_unique<ExchangeThread>();
            exchangeThread->id = target.id;
            exchangeThread->thread = std::thread([this, &exchangeThread = *exchangeThread] { runExchangeThread(exchangeThread); });
        }
        if (exchangeThread->peer || !target.peer) {
            continue;
        }
        const auto due = dueTime(target, exchangeThread->lastAttempt, self_, revision, timing_);
        if (due > now) {
            next = std::min(next, due);
            continue;
        }
        exchangeThread->peer = target.peer;
        exchangeThread->lastAttempt = now;
        exchangeThread->condition.notify_all();
    }
    return next;
}

std::vector<std::unique_ptr<HeartbeatSender::ExchangeThread>> HeartbeatSender::removeUnusedThreads(
    const std::vector<HeartbeatTarget> &targets)
{
    std::vector<std::unique_ptr<ExchangeThread>> removedThreads;
    for (auto item = exchangeThreads_.begin(); item != exchangeThreads_.end();) {
        auto &exchangeThread = item->second;
        const bool isTarget = std::any_of(
            targets.begin(), targets.end(), [&](const auto &target) { return target.id == exchangeThread->id; });
        if (isTarget || exchangeThread->peer) {
            ++item;
            continue;
        }
        exchangeThread->isStopping = true;
        exchangeThread->condition.notify_all();
        removedThreads.push_back(std::move(exchangeThread));
        item = exchangeThreads_.erase(item);
    }
    return removedThreads;
}

void HeartbeatSender::runExchangeThread(ExchangeThread &exchangeThread)
{
    std::unique_lock lock(mutex_);
    while (true) {
        exchangeThread.condition.wait(lock, [&] { return exchangeThread.isStopping || exchangeThread.peer; });
        if (exchangeThread.isStopping) {
            return;
        }
        const auto peer = exchangeThread.peer;
        lock.unlock();
        exchange(exchangeThread.id, *peer);
        lock.lock();
        exchangeThread.peer.reset();
        isWakeRequested_ = true;
        condition_.notify_all();
    }
}

void HeartbeatSender::exchange(const InstanceId &id, Peer &peer)
{
    // The revision is read before the state, so that a change between the two reads is sent again.
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
    view_.recordDelivery(id, revision);
}

void HeartbeatSender::requestWake()
{
    {
        const std::lock_guard lock(mutex_);
        isWakeRequested_ = true;
    }
    condition_.notify_all();
}

} // namespace auburndoor
