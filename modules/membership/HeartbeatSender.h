#pragma once

#include "core/Clock.h"
#include "membership/MembershipView.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace auburndoor {

class Metrics;

/** The periods and the time limit of heartbeats. */
struct HeartbeatTiming
{
    /** The longest time between two heartbeats to a member. Below the target of 500 ms, to leave time for an exchange. */
    Milliseconds restPeriod { 425 };
    /** The shortest time between two heartbeats to a member, used while the member has not received the latest state. */
    Milliseconds changePeriod { 150 };
    /**
        Added to both periods by the instance with the higher id of a pair.

        An answer carries the state of the answering instance, so that one exchange informs both instances. The delay keeps both
        from starting an exchange at the same time, which would double the traffic.
    */
    Milliseconds higherIdDelay { 25 };
    /** Time limit of one heartbeat and its answer. */
    Milliseconds timeout { 300 };
};

/**
    Sends the state of this instance to all known members.

    One thread determines which heartbeats are due. Each member has its own thread for the exchanges with it, so that a dead member
    delays no heartbeat to others.
*/
class HeartbeatSender
{
public:
    HeartbeatSender(MembershipView &view, const HeartbeatTiming &timing, Clock &clock, Metrics &metrics);

    /** Stops the sender if it still runs. */
    ~HeartbeatSender();

    HeartbeatSender(const HeartbeatSender &) = delete;
    HeartbeatSender &operator=(const HeartbeatSender &) = delete;

    /** Sets the change listener of the view and starts to send heartbeats. */
    void start();

    /** Waits for the exchanges in flight and joins all threads. */
    void stop();

    /** Returns when the next heartbeat to a member is due. @param lastAttempt when the last exchange began, even if it failed */
    static TimePoint dueTime(const HeartbeatTarget &target,
                             TimePoint lastAttempt,
                             const InstanceId &self,
                             long long revision,
                             const HeartbeatTiming &timing);

private:
    struct ExchangeThread;

    void run();
    TimePoint startDueExchanges(const std::vector<HeartbeatTarget> &targets, long long revision);
    std::vector<std::unique_ptr<ExchangeThread>> removeUnusedThreads(const std::vector<HeartbeatTarget> &targets);
    void runExchangeThread(ExchangeThread &exchangeThread);
    void exchange(const InstanceId &id, Peer &peer);
    void requestWake();

    MembershipView &view_;
    const HeartbeatTiming timing_;
    Clock &clock_;
    Metrics &metrics_;
    const InstanceId self_;
    std::mutex mutex_;
    std::condition_variable condition_;
    bool isWakeRequested_ = false;
    bool isStopping_ = false;
    std::map<InstanceId, std::unique_ptr<ExchangeThread>> exchangeThreads_;
    std::thread thread_;
};

} // namespace auburndoor
