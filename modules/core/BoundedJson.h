#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace auburndoor {

/**
    Parses JSON that another program may have written.

    Code that copies, compares or writes a value uses the stack for each of its levels, so text that is nested deeper than any
    message is rejected.

    @return a discarded value if the text is not JSON, holds a number out of range or is nested deeper than 32 levels
*/
nlohmann::json parseBoundedJson(const std::string &text);

/** As parseBoundedJson(), for MessagePack, whose parser is itself recursive. */
nlohmann::json parseBoundedMessagePack(const std::string &bytes);

/** The value as an integer without its fraction; empty if it is no number or outside +-2^53, where a double is not exact. */
std::optional<std::int64_t> toExactInteger(const nlohmann::json &value);

} // namespace auburndoor
