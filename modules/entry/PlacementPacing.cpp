#include "entry/PlacementPacing.h"

#include <algorithm>

namespace auburndoor {

Milliseconds PlacementPacing::computeDelay(std::chrono::microseconds lastRound)
{
    // A delay as long as the round. A longer one costs throughput: the loop would idle while steps wait.
    return std::clamp(std::chrono::ceil<Milliseconds>(lastRound), minDelay, maxDelay);
}

} // namespace auburndoor
