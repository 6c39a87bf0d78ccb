#include "fakes/Mutation.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace auburndoor {

namespace {

using Json = nlohmann::ordered_json;

std::size_t below(std::size_t limit)
{
    return *rc::gen::inRange<std::size_t>(0, limit);
}

std::string mutatedBytes(std::string text)
{
    const auto place = below(text.size());
    const auto length = std::min(below(40), text.size() - place);
    switch (below(4)) {
    case 0:
        return text.erase(place, length);
    case 1:
        return text.insert(place, 1, static_cast<char>(below(256)));
    case 2:
        return text.insert(place, text.substr(below(text.size()), length));
    default:
        return text.substr(0, place);
    }
}

/** Values that a field of any type may hold by mistake. */
Json strangeValue()
{
    static const std::vector<Json> values {
        nullptr,
        true,
        -1,
        0,
        1,
        9'223'372'036'854'775'807LL,
        18'446'744'073'709'551'615ULL,
        1e300,
        0.5,
        "",
        "batch",
        "\n\xC3\xA9\"",
        "7",
        100,
        2000,
        Json::array(),
        Json::object(),
        Json::array({ 1, "a" }),
        Json { { "id", 1 } },
    };
    return values[below(values.size())];
}

std::string mutatedValue(const std::string &text)
{
    auto value = Json::parse(text, nullptr, true, true);
    auto *node = &value;
    while (node->is_structured() && !node->empty()) {
        auto child = node->begin();
        std::advance(child, below(node->size()));
        if (below(4) == 0) {
            break;
        }
        node = &*child;
    }
    if (node->is_object() && below(2) == 0) {
        (*node)[*rc::gen::element<std::string>("need", "weight", "prot", "x", "")] = strangeValue();
    } else {
        *node = strangeValue();
    }
    return value.dump();
}

} // namespace

std::string mutated(const std::string &text)
{
    return below(2) == 0 ? mutatedBytes(text) : mutatedValue(text);
}

} // namespace auburndoor
