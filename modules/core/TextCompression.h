#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace auburndoor {

/**
    Compresses a text with Zstandard.

    What the text has in common with the reference takes almost no room, so that the result for a text and its former version has
    about the size of the difference. May be called from any thread.

    @param reference must be given to decompressText() as well; may be empty
    @throws std::runtime_error if the library fails
*/
std::string compressText(std::string_view text, std::string_view reference);

/**
    Reverses compressText().

    @param maxBytes of the text
    @return empty if the data is damaged, was compressed with another reference or yields more than maxBytes
*/
std::optional<std::string> decompressText(std::string_view data, std::string_view reference, std::size_t maxBytes);

} // namespace auburndoor
