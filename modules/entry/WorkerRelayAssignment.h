#pragma once

#include "net/Address.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/**
    Assigns workers to relays.

    Few relays are used, since each one costs the owner messages: in each failure domain as many as its workers need, the ones with
    the largest processor share first, then those that are already in use. A worker goes to a relay of its failure domain by
    rendezvous hashing, so that few workers move when relays come and go, and to another one if those have no room. Pure functions;
    any thread.
*/
class WorkerRelayAssignment
{
public:
    /** A process that can be a relay. */
    struct Relay
    {
        Address address;
        std::string failureDomain;
        /** The share of a processor core that it may use. */
        double processorShare = 1.0;
        /** Some workers are assigned to it at present. */
        bool isInUse = false;
    };
    struct Worker
    {
        std::string id;
        std::string failureDomain;
    };

    /** @return for each worker the position of its relay; empty if there is none with room */
    static std::vector<std::optional<std::size_t>> assign(const std::vector<Relay> &relays, const std::vector<Worker> &workers);

    /** The most workers that a process with this share of a core can be the relay of. */
    static std::size_t capacity(double processorShare);

    /** The most workers to which a process should send all commands itself over a link of this bandwidth, in Mbit/s. */
    static std::size_t directCapacity(double linkMbps);
};

} // namespace auburndoor
