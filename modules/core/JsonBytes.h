#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace auburndoor {

/**
    Stores bytes in a JSON object; an empty string is left out.

    JSON strings cannot hold bytes that are not UTF-8; such bytes are stored in base64 under the key with the suffix "Base64". May
    be called from any thread.
*/
void setBytes(nlohmann::json &json, const std::string &key, const std::string &bytes);

/** Reads bytes stored by setBytes(); empty if the key is absent. @throws std::exception if the value is malformed */
std::string bytesOf(const nlohmann::json &json, const std::string &key);

} // namespace auburndoor
