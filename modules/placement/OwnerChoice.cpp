#include "placement/OwnerChoice.h"

#include <tuple>

namespace auburndoor {

namespace {

/** Compared in this order; the smallest is the best. */
using Score = std::tuple<bool, bool, int, bool>;

Score score(const OwnerCapacity &owner, OwnerSelectionPolicy rule)
{
    if (rule == OwnerSelectionPolicy::LocalFirst || owner.partialPlaces == 0) {
        return { true, !owner.isLocal, -owner.freePlaces, false };
    }
    const bool isLocalPreferred = rule == OwnerSelectionPolicy::LocalThenTightest;
    return { false, isLocalPreferred && !owner.isLocal, owner.partialPlaces, !owner.isLocal };
}

} // namespace

std::optional<std::size_t> chooseOwner(std::span<const OwnerCapacity> owners, OwnerSelectionPolicy rule)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < owners.size(); ++index) {
        if (owners[index].freePlaces > 0 && (!best || score(owners[index], rule) < score(owners[*best], rule))) {
            best = index;
        }
    }
    return best;
}

} // namespace auburndoor
