#include "placement/OwnerChoice.h"

#include <tuple>

namespace auburndoor {

namespace {

/**
    Uses no partial place; is a peer that ranks behind this instance; number of places; is a peer.

    Compared in this order, lowest first. The number counts partial places; without them it is the negated number of
    free places.
*/
using Score = std::tuple<bool, bool, int, bool>;

Score computeScore(const OwnerCapacity &owner, OwnerSelectionPolicy policy)
{
    if (policy == OwnerSelectionPolicy::LocalFirst || owner.partialPlaces == 0) {
        return { true, !owner.isLocal, -owner.freePlaces, false };
    }
    const bool prefersLocal = policy == OwnerSelectionPolicy::LocalThenTightest;
    return { false, prefersLocal && !owner.isLocal, owner.partialPlaces, !owner.isLocal };
}

} // namespace

std::optional<std::size_t> chooseOwner(std::span<const OwnerCapacity> owners, OwnerSelectionPolicy policy)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < owners.size(); ++index) {
        if (owners[index].freePlaces > 0 && (!best || computeScore(owners[index], policy) < computeScore(owners[*best], policy))) {
            best = index;
        }
    }
    return best;
}

} // namespace auburndoor
