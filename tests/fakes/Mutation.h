#pragma once

#include <string>

namespace auburndoor {

/** A change of a valid JSON text at a random place: of its bytes, or of one of its values. Call it inside a RapidCheck property. */
std::string mutated(const std::string &text);

} // namespace auburndoor
