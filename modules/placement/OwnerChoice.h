#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace auburndoor {

/** The room of one owner of workers for a need, from its ledger or its summary. */
struct OwnerCapacity
{
    int freePlaces = 0;
    /** The part of the free places on workers that run something already. */
    int partialPlaces = 0;
    /** True for the instance that decides. */
    bool isLocal = false;
};

/** How a request finds its owner. */
enum class OwnerSelectionPolicy {
    /** The deciding instance if it has room, else the owner with the most room. Costs the fewest hops. */
    LocalFirst,
    /** A place that breaks up no free worker: here, else at the owner with the fewest of them; else as LocalFirst. */
    LocalThenTightest,
    /** As LocalThenTightest, but without preference for the deciding instance: the best packing and the most hops. */
    Tightest,
};

/**
    Chooses the owner that is to place a request; a pure decision.

    A place breaks up no free worker if it is on a worker that runs something already. Decision 0005 has the packing and the hops of
    each rule.

    @return the index of the owner, or empty if none has room
*/
std::optional<std::size_t> chooseOwner(std::span<const OwnerCapacity> owners, OwnerSelectionPolicy rule);

} // namespace auburndoor
