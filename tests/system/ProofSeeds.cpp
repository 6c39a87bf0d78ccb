#include "system/ProofSeeds.h"

#include <cstdlib>

namespace auburndoor {

std::vector<unsigned> proofSeeds()
{
    const auto *const text = std::getenv("PROOF_SEEDS");
    const auto count = text == nullptr ? 1UL : std::strtoul(text, nullptr, 10);
    std::vector<unsigned> seeds { 1 };
    while (seeds.size() < count) {
        seeds.push_back(static_cast<unsigned>(seeds.size()) + 1);
    }
    return seeds;
}

FaultTimes::FaultTimes(unsigned seed) : generator_(seed)
{
}

std::chrono::milliseconds FaultTimes::drawDelay(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum)
{
    // Standard library distributions may give other values in another version of the library; a remainder does not.
    const auto span = static_cast<std::uint_fast32_t>((maximum - minimum).count()) + 1;
    return minimum + std::chrono::milliseconds(generator_() % span);
}

} // namespace auburndoor
