#pragma once

#include "core/Identifier.h"

#include <memory>
#include <vector>

namespace auburndoor {

class Peer;

/** Finds the peers that are live now. Any thread. */
class PeerDirectory
{
public:
    virtual ~PeerDirectory() = default;

    /** The connection to a peer; empty if it is not known or has not been heard for the suspicion time. */
    virtual std::shared_ptr<Peer> peer(const InstanceId &instance) = 0;

    /** All live peers, in ascending order of their id, without this instance. */
    virtual std::vector<InstanceId> livePeers() = 0;
};

} // namespace auburndoor
