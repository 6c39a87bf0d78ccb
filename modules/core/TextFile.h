#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace auburndoor {

/** Reads a whole file. @return empty if it cannot be read; at most limit + 1 bytes, so that the caller can tell a larger file */
std::optional<std::string> readTextFile(const std::string &fileName, std::size_t limit);

} // namespace auburndoor
