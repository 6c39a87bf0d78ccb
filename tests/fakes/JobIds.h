#pragma once

#include <string>

namespace auburndoor {

/** The id of the job with that number: 16 digits. */
inline std::string jobIdOf(int number)
{
    constexpr std::size_t idLength = 16;
    auto digits = std::to_string(number);
    return std::string(idLength - digits.size(), '0') + digits;
}

} // namespace auburndoor
