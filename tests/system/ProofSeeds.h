#pragma once

#include <chrono>
#include <random>
#include <vector>

namespace auburndoor {

/** The seeds of this run: 1 to PROOF_SEEDS of the environment, or 1 alone without it. */
std::vector<unsigned> proofSeeds();

/** The times of the faults of one scenario; the same for the same seed. */
class FaultTimes
{
public:
    explicit FaultTimes(unsigned seed);

    std::chrono::milliseconds between(std::chrono::milliseconds least, std::chrono::milliseconds most);

private:
    std::mt19937 engine_;
};

} // namespace auburndoor
