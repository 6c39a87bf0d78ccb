#include "core/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

constexpr int maxDepth = 32;
// 2^53: above this a double cannot represent every integer.
constexpr double largestExactInteger = 9007199254740992.0;

/** Builds the value, and stops the parser at a level that is too deep. */
class BoundedParser : public nlohmann::detail::json_sax_dom_parser<Json>
{
public:
    explicit BoundedParser(Json &result) : json_sax_dom_parser(result, false)
    {
    }

    bool start_array(std::size_t size)
    {
        return ++depth_ <= maxDepth && json_sax_dom_parser::start_array(size);
    }

    bool end_array()
    {
        --depth_;
        return json_sax_dom_parser::end_array();
    }

    bool start_object(std::size_t size)
    {
        return ++depth_ <= maxDepth && json_sax_dom_parser::start_object(size);
    }

    bool end_object()
    {
        --depth_;
        return json_sax_dom_parser::end_object();
    }

private:
    int depth_ = 0;
};

Json parse(const std::string &text, Json::input_format_t format)
{
    Json json;
    BoundedParser parser(json);
    try {
        if (Json::sax_parse(text, &parser, format)) {
            return json;
        }
    } catch (const Json::exception &) {
        // Thrown for the size of an array or object that no memory holds.
    }
    return Json::value_t::discarded;
}

} // namespace

Json parseBoundedJson(const std::string &text)
{
    return parse(text, Json::input_format_t::json);
}

Json parseBoundedMessagePack(const std::string &bytes)
{
    return parse(bytes, Json::input_format_t::msgpack);
}

std::optional<std::int64_t> toExactInteger(const Json &value)
{
    const auto number = value.is_number() ? value.get<double>() : std::nan("");
    return std::abs(number) <= largestExactInteger ? std::optional(static_cast<std::int64_t>(number)) : std::nullopt;
}

} // namespace auburndoor
