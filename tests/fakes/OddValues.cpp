#include "fakes/OddValues.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

std::string deepArray()
{
    constexpr std::size_t depth = 100'000;
    return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> withOddValues(const std::string &text)
{
    const std::string marker = "@odd@";
    const std::vector<std::string> oddValues {
        deepArray(),
        "1e300",
        "-1e300",
        "9223372036854775807",
        "18446744073709551615",
        "9007199254740991",
        "-1",
        "0",
        "null",
        "{}",
        "[]",
        "true",
        R"("")",
        R"("10.0.0.1:0")",
        R"("10.0.0.1:65536")",
        R"("10.0.0.1:99999999999")",
        R"("no address")",
    };
    std::vector<std::string> texts { "", "{", deepArray(), R"({"a":)" + deepArray() + "}", std::string("\xff\xfe\0{", 4), "1e999" };
    const auto valid = nlohmann::json::parse(text);
    const auto values = valid.flatten();
    for (const auto &[path, value] : values.items()) {
        auto changed = valid;
        changed[nlohmann::json::json_pointer(path)] = marker;
        const auto withMarker = changed.dump();
        const auto position = withMarker.find("\"" + marker + "\"");
        for (const auto &odd : oddValues) {
            auto replaced = withMarker;
            texts.push_back(replaced.replace(position, marker.size() + 2, odd));
        }
    }
    return texts;
}

} // namespace auburndoor
