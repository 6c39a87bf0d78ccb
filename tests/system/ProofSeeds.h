#pragma once

#include <chrono>
#include <random>
#include <vector>

namespace auburndoor {

/** @return the seeds 1 to the value of the environment variable PROOF_SEEDS; only seed 1 if the variable is not set */
std::vector<unsigned> proofSeeds();

/** Generates pseudo-random delays between the faults of one scenario. The same seed gives the same delays. */
class FaultTimes
{
public:
    explicit FaultTimes(unsigned seed);

    /** @return a delay in the closed range of both bounds */
    std::chrono::milliseconds drawDelay(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum);

private:
    std::mt19937 generator_;
};

} // namespace auburndoor
