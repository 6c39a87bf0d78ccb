#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace auburndoor {

/**
    Renders JSON for a person: fields as "name: value" lines, lists of objects as tables, inner values indented.

    Control characters of texts are replaced, so that a value from the network cannot steer the terminal.
*/
std::string renderText(const nlohmann::ordered_json &value);

/** The text with control characters replaced by '?'. */
std::string printable(const std::string &text);

} // namespace auburndoor
