#include "entry/DesiredStateCopy.h"

#include "core/TextCompression.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace auburndoor {

namespace {

using Json = nlohmann::json;

constexpr const char *zstdEncoding = "zstd";
// The first line is far shorter; a plain text without a line break is not searched to its end.
constexpr std::size_t maxHeadBytes = 256;

} // namespace

std::string DesiredStateCopy::encode(const Base &base) const
{
    const Json head { { "base", base.version }, { "encoding", zstdEncoding }, { "row", rowVersion } };
    return head.dump() + '\n' + compressText(text, base.text);
}

std::optional<DesiredStateCopy> DesiredStateCopy::decode(const std::string &message, const Base &base, std::size_t maxBytes)
{
    const auto headEnd = std::string_view(message).substr(0, maxHeadBytes).find('\n');
    const auto head = headEnd == std::string_view::npos ? Json(Json::value_t::discarded)
                                                        : Json::parse(message.substr(0, headEnd), nullptr, false);
    if (!head.is_object() || !head.contains("encoding")) {
        return DesiredStateCopy { message, 0 };
    }
    const auto baseVersion = head.find("base");
    const auto rowVersion = head.find("row");
    if (head.at("encoding") != zstdEncoding || baseVersion == head.end() || !baseVersion->is_number_integer()
        || baseVersion->get<std::int64_t>() != base.version || rowVersion == head.end() || !rowVersion->is_number_integer()) {
        return std::nullopt;
    }
    auto text = decompressText(std::string_view(message).substr(headEnd + 1), base.text, maxBytes);
    return text ? std::optional(DesiredStateCopy { std::move(*text), rowVersion->get<std::int64_t>() }) : std::nullopt;
}

} // namespace auburndoor
