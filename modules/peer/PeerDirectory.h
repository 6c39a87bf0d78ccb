#pragma once

#include "core/Identifier.h"

#include <memory>
#include <vector>

namespace auburndoor {

class Peer;

/** Finds the peers that are live now. All members may be called from any thread. */
class PeerDirectory
{
public:
    virtual ~PeerDirectory() = default;

    /** The interface to a peer; empty if the peer is unknown or no heartbeat from it has arrived for the suspicion time. */
    virtual std::shared_ptr<Peer> peer(const InstanceId &instance) = 0;

    /** The ids of all live peers in ascending order, without this instance. */
    virtual std::vector<InstanceId> livePeers() = 0;
};

} // namespace auburndoor
