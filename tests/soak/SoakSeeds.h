#pragma once

#include <cstdlib>
#include <span>
#include <vector>

namespace auburndoor {

/** An environment variable as a number. */
inline int readIntegerVariable(const char *variable, int fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::atoi(text);
}

/** The seeds from SOAK_SEED on, SOAK_SEEDS of them; without SOAK_SEED those given. */
inline std::vector<unsigned> selectSeeds(std::span<const unsigned> regressionSeeds)
{
    const auto first = readIntegerVariable("SOAK_SEED", 0);
    if (first == 0) {
        return { regressionSeeds.begin(), regressionSeeds.end() };
    }
    std::vector<unsigned> seeds;
    for (auto seed = first; seed < first + readIntegerVariable("SOAK_SEEDS", 1); ++seed) {
        seeds.push_back(static_cast<unsigned>(seed));
    }
    return seeds;
}

} // namespace auburndoor
