#include "core/JsonBytes.h"

#include "core/TextEncoding.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace auburndoor {

void setBytes(nlohmann::json &json, const std::string &key, const std::string &bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (isUtf8(bytes)) {
        json[key] = bytes;
    } else {
        json[key + "Base64"] = toBase64(bytes);
    }
}

std::string bytesOf(const nlohmann::json &json, const std::string &key)
{
    const auto encoded = json.find(key + "Base64");
    if (encoded == json.end()) {
        return json.value(key, std::string());
    }
    auto bytes = fromBase64(encoded->get<std::string>());
    if (!bytes) {
        throw std::invalid_argument("malformed base64 in " + key);
    }
    return *std::move(bytes);
}

} // namespace auburndoor
