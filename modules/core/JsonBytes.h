#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace auburndoor {

/**
    Puts bytes into a JSON object; empty ones are left out.

    Bytes that are not UTF-8 cannot stand in a JSON string; they go in base64 under the key with "Base64" behind it. Any thread.
*/
void setBytes(nlohmann::json &json, const std::string &key, const std::string &bytes);

/** Reads what setBytes() has put; empty if there is nothing. @throws std::exception if the value is malformed */
std::string bytesOf(const nlohmann::json &json, const std::string &key);

} // namespace auburndoor
