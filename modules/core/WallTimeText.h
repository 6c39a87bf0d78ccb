#pragma once

#include "core/Clock.h"

#include <string>

namespace auburndoor {

/** The time in UTC as "2026-01-31T12:00:00.000Z". */
std::string toText(WallTime time);

/** Milliseconds since 1970-01-01 UTC. */
long long toMilliseconds(WallTime time);

/** The inverse of toMilliseconds(). */
WallTime wallTimeOf(long long milliseconds);

} // namespace auburndoor
