#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace auburndoor {

/** A message with more values than this, and names of members, is none that a program of the cell or its platform writes. */
constexpr std::size_t maxJsonValues = std::size_t(4) << 20;
/** As maxJsonValues, for MessagePack, which only other processes of the cell write. */
constexpr std::size_t maxMessagePackValues = std::size_t(1) << 18;

/**
    Parses JSON that another program may have written.

    Code that copies, compares or writes a value uses the stack for each of its levels, so text that is nested deeper than any
    message is rejected.

    @param maxValues the largest number of values and names of members, each of which takes up to some hundred bytes
    @return a discarded value if the text is not JSON, holds a number out of range or more values, or is nested deeper than 32
            levels
*/
nlohmann::json parseBoundedJson(const std::string &text, std::size_t maxValues = maxJsonValues);

/** As parseBoundedJson(), for MessagePack, whose parser is itself recursive. */
nlohmann::json parseBoundedMessagePack(const std::string &bytes);

/** The value as an integer without its fraction; empty if it is no number or outside +-2^53, where a double is not exact. */
std::optional<std::int64_t> toExactInteger(const nlohmann::json &value);

} // namespace auburndoor
