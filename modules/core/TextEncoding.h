#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace auburndoor {

/** True if the bytes are well-formed UTF-8, so that they can stand in a JSON string. */
bool isUtf8(std::string_view bytes);

/** The bytes in base64 with padding. */
std::string toBase64(std::string_view bytes);

/** The bytes that a base64 text with padding stands for; empty if it is malformed. */
std::optional<std::string> fromBase64(std::string_view text);

} // namespace auburndoor
