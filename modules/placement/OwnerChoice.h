#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace auburndoor {

/** The free places of one instance for a need: this instance's from its ledger, a peer's from its load summary. */
struct OwnerCapacity
{
    /** Tasks with this need that the owner's workers can take now. */
    int freePlaces = 0;
    /** The part of freePlaces on workers that already run something. */
    int partialPlaces = 0;
    /** True for the instance that makes the choice. */
    bool isLocal = false;
};

/** How the owner that places a request is chosen. */
enum class OwnerSelectionPolicy {
    /** This instance if it has a free place, else the owner with the most free places. Needs the fewest hops. */
    LocalFirst,
    /**
        An owner with a partial place: this instance if it has one, else the owner with the fewest partial places.

        As LocalFirst if no owner has a partial place.
    */
    LocalThenTightest,
    /**
        As LocalThenTightest, but this instance is preferred only if no other owner has fewer partial places.

        Packs best and needs the most hops.
    */
    Tightest,
};

/**
    Chooses the owner that places a request.

    A partial place is one on a worker that already runs something, so that using it leaves idle workers whole. The packing and the
    hops of each policy are compared in docs/decisions/0005-placement-and-queue-order.md.

    @return the index of the owner, or empty if none has a free place
*/
std::optional<std::size_t> chooseOwner(std::span<const OwnerCapacity> owners, OwnerSelectionPolicy policy);

} // namespace auburndoor
