#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <cstddef>
#include <random>
#include <vector>

namespace auburndoor {

/**
    How often an owner sends heartbeats, what they carry, and how long a follower waits for one.

    The cost of an owner's heartbeats stays bounded as the cell grows, and an owner that is late because it is busy is not taken for
    a failed one: its replacement would have the same load, and has to read all state first. Pure functions; any thread.
*/
class HeartbeatPacing
{
public:
    /**
        Returns the delay after which the owner answers a heartbeat request.

        @param followers the number of processes that request heartbeats
        @param minDelay  the delay in a small cell
    */
    static Milliseconds computeDelay(std::size_t followers, Milliseconds minDelay);

    /**
        Returns how long after the announced delay a heartbeat counts as lost.

        @param loopDelay the delay of the owner's event loop that its last heartbeat has reported
        @param minGrace  the time for an owner that is not busy
    */
    static Milliseconds computeGracePeriod(Milliseconds loopDelay, Milliseconds minGrace);

    /** Returns the delay to expect: what the owner has announced, within the bounds of computeDelay(). */
    static Milliseconds limitAnnouncedDelay(Milliseconds announced, Milliseconds minDelay);

    /** Returns up to maxSampledMembers of the members, chosen at random: a follower asks few of them about a silent owner. */
    static std::vector<Address> sampleMembers(const std::vector<Address> &members, std::mt19937_64 &random);

    /** The most members that a heartbeat names. */
    static constexpr std::size_t maxSampledMembers = 8;
};

} // namespace auburndoor
