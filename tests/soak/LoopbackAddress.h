#pragma once

#include <string>
#include <unistd.h>

namespace auburndoor {

/** Returns a loopback address that is derived from the process id, so that several test processes can run side by side. */
inline std::string makeLoopbackAddress(int number)
{
    constexpr int byteValues = 256;
    const auto id = getpid();
    return "127." + std::to_string(id / byteValues % byteValues) + "." + std::to_string(id % byteValues) + "."
           + std::to_string(number);
}

} // namespace auburndoor
