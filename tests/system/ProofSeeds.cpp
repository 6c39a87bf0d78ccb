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

FaultTimes::FaultTimes(unsigned seed) : engine_(seed)
{
}

std::chrono::milliseconds FaultTimes::between(std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    // The distributions of the standard library differ between its versions; the remainder does not.
    const auto span = static_cast<std::uint_fast32_t>((most - least).count()) + 1;
    return least + std::chrono::milliseconds(engine_() % span);
}

} // namespace auburndoor
