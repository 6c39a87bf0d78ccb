#include "core/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

constexpr int maxDepth = 32;
// 2^53: above this a double cannot represent every integer.
constexpr double largestExactInteger = 9007199254740992.0;

/** Builds the value, and stops the parser at a level that is too deep or at a value too many. */
class BoundedParser : public nlohmann::detail::json_sax_dom_parser<Json>
{
public:
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;

    BoundedParser(Json &result, std::size_t maxValues) : Base(result, false), valuesLeft_(maxValues)
    {
    }

    bool null()
    {
        return takeValue() && Base::null();
    }

    bool boolean(bool value)
    {
        return takeValue() && Base::boolean(value);
    }

    bool number_integer(Json::number_integer_t value)
    {
        return takeValue() && Base::number_integer(value);
    }

    bool number_unsigned(Json::number_unsigned_t value)
    {
        return takeValue() && Base::number_unsigned(value);
    }

    bool number_float(Json::number_float_t value, const Json::string_t &text)
    {
        return takeValue() && Base::number_float(value, text);
    }

    bool string(Json::string_t &value)
    {
        return takeValue() && Base::string(value);
    }

    bool binary(Json::binary_t &value)
    {
        return takeValue() && Base::binary(value);
    }

    bool key(Json::string_t &name)
    {
        return takeValue() && Base::key(name);
    }

    bool start_array(std::size_t size)
    {
        return takeValue() && ++depth_ <= maxDepth && Base::start_array(size);
    }

    bool end_array()
    {
        --depth_;
        return Base::end_array();
    }

    bool start_object(std::size_t size)
    {
        return takeValue() && ++depth_ <= maxDepth && Base::start_object(size);
    }

    bool end_object()
    {
        --depth_;
        return Base::end_object();
    }

private:
    bool takeValue()
    {
        if (valuesLeft_ == 0) {
            return false;
        }
        --valuesLeft_;
        return true;
    }

    std::size_t valuesLeft_;
    int depth_ = 0;
};

Json parse(const std::string &text, Json::input_format_t format, std::size_t maxValues)
{
    Json json;
    BoundedParser parser(json, maxValues);
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

Json parseBoundedJson(const std::string &text, std::size_t maxValues)
{
    return parse(text, Json::input_format_t::json, maxValues);
}

Json parseBoundedMessagePack(const std::string &bytes)
{
    return parse(bytes, Json::input_format_t::msgpack, maxMessagePackValues);
}

std::optional<std::int64_t> toExactInteger(const Json &value)
{
    const auto number = value.is_number() ? value.get<double>() : std::nan("");
    return std::abs(number) <= largestExactInteger ? std::optional(static_cast<std::int64_t>(number)) : std::nullopt;
}

} // namespace auburndoor
