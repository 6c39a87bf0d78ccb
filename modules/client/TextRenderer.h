#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace auburndoor {

/**
    Renders JSON as text: fields as "name: value" lines, lists of objects as tables, nested values indented.

    Control characters are replaced, so that a value from the network cannot send escape sequences to the terminal.
*/
std::string renderText(const nlohmann::ordered_json &value);

/** Returns the text with each control character replaced by '?'. */
std::string printable(const std::string &text);

} // namespace auburndoor
