#include "placement/OwnerChoice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace auburndoor;

TEST_CASE("each policy chooses an owner with a free place, and finds one if there is one", "[placement]")
{
    // Guards against requests that wait while an owner has a free place, and against forwarding to a full owner.
    const bool holds = rc::check([] {
        std::vector<OwnerCapacity> owners;
        const auto count = *rc::gen::inRange(0, 9);
        for (int index = 0; index < count; ++index) {
            const auto free = *rc::gen::inRange(0, 5);
            owners.push_back({ free, *rc::gen::inRange(0, free + 1), index == 0 });
        }
        const bool isPossible = std::any_of(
            owners.begin(), owners.end(), [](const OwnerCapacity &owner) { return owner.freePlaces > 0; });
        for (const auto policy :
             { OwnerSelectionPolicy::LocalFirst, OwnerSelectionPolicy::LocalThenTightest, OwnerSelectionPolicy::Tightest }) {
            const auto chosen = chooseOwner(owners, policy);
            RC_ASSERT(chosen.has_value() == isPossible);
            if (chosen) {
                RC_ASSERT(owners[*chosen].freePlaces > 0);
            }
        }
    });
    CHECK(holds);
}

TEST_CASE("the policies prefer fewer hops or more idle workers", "[placement]")
{
    // Guards against a small task that takes an idle worker although another owner has a place on a worker in use.
    const std::vector<OwnerCapacity> owners { { 8, 0, true }, { 9, 1, false }, { 5, 5, false } };
    CHECK(chooseOwner(owners, OwnerSelectionPolicy::LocalFirst) == 0U);
    CHECK(chooseOwner(owners, OwnerSelectionPolicy::LocalThenTightest) == 1U);
    CHECK(chooseOwner(owners, OwnerSelectionPolicy::Tightest) == 1U);
    const std::vector<OwnerCapacity> used { { 3, 3, true }, { 9, 1, false } };
    CHECK(chooseOwner(used, OwnerSelectionPolicy::LocalThenTightest) == 0U);
    CHECK(chooseOwner(used, OwnerSelectionPolicy::Tightest) == 1U);
    const std::vector<OwnerCapacity> unused { { 0, 0, true }, { 8, 0, false }, { 16, 0, false } };
    CHECK(chooseOwner(unused, OwnerSelectionPolicy::Tightest) == 2U);
}
