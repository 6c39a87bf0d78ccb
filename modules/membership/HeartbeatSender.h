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

/** How often heartbeats are sent. */
struct HeartbeatTiming
{
    /** The longest time between two heartbeats to a member. Below 500 ms by the time that an exchange may take. */
    Milliseconds restPeriod { 425 };
    /** The shortest time between two heartbeats to a member when the state of this instance changes. */
    Milliseconds changePeriod { 150 };
    /**
        Added to both periods by the instance with the higher id of a pair.

        An answer carries the state of the answering instance, so that one exchange serves both; the delay keeps both from beginning
        an exchange at the same moment, which would double the bytes.
    */
    Milliseconds yieldDelay { 25 };
    /** How long one exchange may take. */
    Milliseconds timeout { 300 };
};

/**
    Tells all known members the state of this instance.

    One thread decides who is due; each member has a thread of its own for the exchange, so that a dead member delays nobody.
*/
class HeartbeatSender
{
public:
    HeartbeatSender(MembershipView &view, const HeartbeatTiming &timing, Clock &clock, Metrics &metrics);

    /** Stops the sender if it still runs. */
    ~HeartbeatSender();

    HeartbeatSender(const HeartbeatSender &) = delete;
    HeartbeatSender &operator=(const HeartbeatSender &) = delete;

    /** Becomes the change listener of the view and begins to send. */
    void start();

    /** Waits for the exchanges in flight and joins all threads. */
    void stop();

    /** When the next heartbeat to a member is due. @param lastAttempt when the last exchange began, whatever became of it */
    static TimePoint dueTime(const HeartbeatTarget &target,
                             TimePoint lastAttempt,
                             const InstanceId &self,
                             long long revision,
                             const HeartbeatTiming &timing);

private:
    struct Lane;

    void run();
    TimePoint dispatch(const std::vector<HeartbeatTarget> &targets, long long revision);
    std::vector<std::unique_ptr<Lane>> removeIdleLanes(const std::vector<HeartbeatTarget> &targets);
    void runLane(Lane &lane);
    void exchange(const InstanceId &id, Peer &peer);
    void wake();

    MembershipView &view_;
    const HeartbeatTiming timing_;
    Clock &clock_;
    Metrics &metrics_;
    const InstanceId self_;
    std::mutex mutex_;
    std::condition_variable condition_;
    bool hasChange_ = false;
    bool isEnding_ = false;
    std::map<InstanceId, std::unique_ptr<Lane>> lanes_;
    std::thread thread_;
};

} // namespace auburndoor
