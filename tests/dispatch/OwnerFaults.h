#pragma once

#include "dispatch/OwnerFixture.h"

#include <functional>

namespace auburndoor {

/**
    What befalls the owners of a cell at random.

    They are killed, replaced unawares, stopped as planned and suspended, their way to the store is cut, the store refuses reads,
   loses answers, applies transactions late, and is down.
*/
class OwnerFaults
{
public:
    /** Draws a number from a range, both ends included. */
    using Draw = std::function<int(int from, int to)>;

    /** @param rarity how many calls of disturb() pass between two faults of one kind, on average */
    OwnerFaults(OwnerFixture &cell, Draw draw, int rarity);

    /** Lets one of the faults happen, or none. */
    void disturb();

private:
    void stopOwner();
    /** Suspends the owner; it goes on later, most of the time after it was replaced. */
    void pauseOwner();
    /** Cuts the owner off from some of the workers, and in half of the cases from the store, for a time. */
    void cutOwnerOff();
    void endLater(bool &fault);

    OwnerFixture &cell_;
    Draw draw_;
    int rarity_;
};

} // namespace auburndoor
