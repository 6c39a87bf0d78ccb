#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace auburndoor {

/** The room of one owner of workers for a need, from its ledger or its summary. */
struct OwnerRoom
{
    int freePlaces = 0;
    /** The part of the free places on workers that run something already. */
    int partialPlaces = 0;
    /** True for the instance that decides. */
    bool isLocal = false;
};

/** How a request finds its owner. */
enum class OwnerRule {
    /** The deciding instance if it has room, else the owner with the most room. Costs the fewest hops. */
    LocalFirst,
    /** Keeps whole workers free over the cell, at the price of more hops. */
    TightestFit,
};

/**
    Chooses the owner that is to place a request; a pure decision.

    TightestFit takes places on workers that run something already: at the deciding instance, else at the owner with the fewest of
    them. Only when there are none is a free worker broken up, at the owner with the most room. LocalFirst at 8 owners of 13 workers
    keeps about a third of the whole workers free that a single placer keeps (decision 0005).

    @return the index of the owner, or empty if none has room
*/
std::optional<std::size_t> chooseOwner(std::span<const OwnerRoom> owners, OwnerRule rule);

} // namespace auburndoor
