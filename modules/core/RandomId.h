#pragma once

#include <string>

namespace auburndoor {

/**
    A new identifier of 32 hexadecimal digits.

    The digits come from a generator that is seeded by the system's random source. May be called from any thread.
*/
std::string makeRandomId();

/** A random number in [0, limit), for jitter. May be called from any thread. @param limit at least 1 */
long long randomBelow(long long limit);

} // namespace auburndoor
