#pragma once

#include "peer/Peer.h"

#include <memory>

namespace auburndoor {

class Metrics;

/** Address, secret, limits and timeouts of a ThriftPeer. */
struct ThriftPeerOptions
{
    /** The instance at the address; named in failures. */
    InstanceId peer;
    /** "ip:port" of the peer's PeerServer. */
    std::string address;
    /** The shared secret of all peers; never logged. It is sent unencrypted, so use loopback or private networks only. */
    std::string secret;
    /** Calls in flight at the same time; further ones wait. Heartbeats use a separate connection that is not counted. */
    std::size_t connectionLimit = 64;
    /** How long an unused connection is kept; must be shorter than PeerServerOptions::idleTimeout. */
    Milliseconds idleTimeout { 30'000 };
    /** How long a call may wait for a connection; short, so that after an unreachable or busy host there is time left to try
       another peer. */
    Milliseconds connectTimeout { 500 };
    std::size_t maxFrameBytes = 8 << 20;
};

/** Calls one other instance over Thrift. Connects on first use. All members may be called from any thread. */
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
