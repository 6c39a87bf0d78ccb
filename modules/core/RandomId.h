#pragma once

#include <string>

namespace auburndoor {

/** A new identifier of 32 hexadecimal digits from the system's random source. Any thread. */
std::string makeRandomId();

/** A random number in [0, limit), for jitter. Any thread. @param limit at least 1 */
long long randomBelow(long long limit);

} // namespace auburndoor
