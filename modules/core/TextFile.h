#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace auburndoor {

/**
    Reads a file.

    @param limit the largest size in bytes that the caller accepts
    @return      empty if the file cannot be read; the first limit + 1 bytes of a larger file, so that the caller can detect it
*/
std::optional<std::string> readTextFile(const std::string &fileName, std::size_t limit);

} // namespace auburndoor
