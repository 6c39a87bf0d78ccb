#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace auburndoor {

/** True if the bytes are well-formed UTF-8, so that a JSON string can hold them. */
bool isUtf8(std::string_view bytes);

/** Encodes bytes in base64 with padding. */
std::string toBase64(std::string_view bytes);

/** Decodes a base64 text with padding; empty if it is malformed. */
std::optional<std::string> fromBase64(std::string_view text);

} // namespace auburndoor
