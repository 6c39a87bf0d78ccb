#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "peer/Peer.h"

#include <optional>
#include <vector>

namespace auburndoor {

/** Which version is in force at a peer. */
struct PeerVersion
{
    InstanceId instance;
    /** 0 if the peer has none, or did not answer. */
    long long version = 0;
};

/** What ConfigurationManager needs of the peers. Any thread, several at a time. */
class ConfigurationAnnouncer
{
public:
    virtual ~ConfigurationAnnouncer() = default;

    /**
        Tells all live peers side by side of an accepted version, and waits until each has answered or the deadline has passed.

        @return one entry for each live peer, with the version in force there
    */
    virtual std::vector<PeerVersion> announce(const ConfigurationAnnouncement &announcement, TimePoint deadline) = 0;

    /** The version in force at each live peer, as far as it is known (from heartbeats) or can be asked for by the deadline. */
    virtual std::vector<PeerVersion> peerVersions(TimePoint deadline) = 0;

    /** The configuration in force at one peer, with its text. @return empty on failure */
    virtual std::optional<ConfigurationAnnouncement> fetch(const InstanceId &peer, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
