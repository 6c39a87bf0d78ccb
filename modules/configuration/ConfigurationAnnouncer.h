#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "peer/Peer.h"

#include <optional>
#include <vector>

namespace auburndoor {

/** The configuration version in force at a peer. */
struct PeerVersion
{
    InstanceId instance;
    /** 0 if no version is in force at the peer, or if it did not answer. */
    long long version = 0;
};

/** The calls that ConfigurationManager makes to the peers. Any thread may call the members, several at a time. */
class ConfigurationAnnouncer
{
public:
    virtual ~ConfigurationAnnouncer() = default;

    /**
        Announces an accepted version to all live peers in parallel, and waits until each has answered or the deadline has passed.

        @return one entry for each live peer, with the version in force there
    */
    virtual std::vector<PeerVersion> announce(const ConfigurationAnnouncement &announcement, TimePoint deadline) = 0;

    /** The version in force at each live peer, as known from heartbeats or answered by the peer before the deadline. */
    virtual std::vector<PeerVersion> peerVersions(TimePoint deadline) = 0;

    /** Asks a peer for the configuration in force there, with its text. @return empty on failure */
    virtual std::optional<ConfigurationAnnouncement> fetch(const InstanceId &peer, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
