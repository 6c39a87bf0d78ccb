#pragma once

#include "peer/Peer.h"

#include <memory>

namespace auburndoor {

class Metrics;

/** How a ThriftPeer reaches its peer. */
struct ThriftPeerOptions
{
    InstanceId peer;
    /** "ip:port" of the peers' listener. */
    std::string address;
    /** The shared secret of all peers; never logged. Sent in the clear: for loopback and private links only. */
    std::string secret;
    /** Calls in flight at the same time; further ones wait. Heartbeats have a connection of their own beside them. */
    std::size_t connectionLimit = 64;
    /** How long an unused connection is kept; shorter than PeerServerOptions::idleTimeout. */
    Milliseconds idleTime { 30'000 };
    /** How long a call may wait for a connection, so that a vanished or busy host leaves time to try another peer. */
    Milliseconds connectTimeout { 500 };
    std::size_t maxFrameBytes = 8 << 20;
};

/** The connection to one other instance. It connects on first use. All members may be called from any thread. */
class ThriftPeer : public Peer
{
public:
    ThriftPeer(const ThriftPeerOptions &options, Clock &clock, Metrics &metrics);
    ~ThriftPeer() override;

    std::optional<Member> heartbeat(const Member &self, Milliseconds timeout, Failure &failure) override;
    Outcome execute(const Request &request, Milliseconds timeout) override;
    std::optional<long long> announce(const ConfigurationAnnouncement &announcement,
                                      Milliseconds timeout,
                                      Failure &failure) override;
    std::optional<ConfigurationAnnouncement> fetchConfiguration(Milliseconds timeout, Failure &failure) override;
    std::optional<std::vector<Hold>> hold(const HoldRequest &request, Milliseconds timeout, Failure &failure) override;
    bool release(const std::vector<Hold> &holds, Milliseconds timeout, Failure &failure) override;
    CallResult startHeld(const Hold &hold, const TaskStart &start, Milliseconds timeout, Failure &failure) override;
    std::optional<TaskStatus> queryTask(const WorkerId &worker,
                                        const TaskId &task,
                                        Milliseconds timeout,
                                        Failure &failure) override;
    std::optional<TaskStatus> cancelTask(const WorkerId &worker,
                                         const TaskId &task,
                                         Milliseconds timeout,
                                         Failure &failure) override;
    bool notifyJob(const ShardId &shard, const JobId &job, Milliseconds timeout, Failure &failure) override;
    std::optional<std::vector<TaskId>> runningTasks(const JobId &job, Milliseconds timeout, Failure &failure) override;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburndoor
