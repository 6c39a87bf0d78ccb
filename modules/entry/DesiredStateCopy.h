#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace auburndoor {

/** The row of the desired state as one process hands it to another. It holds keys and is not to be logged. */
struct DesiredStateCopy
{
    std::string text;
    /** The version of the store's row; 0 if it is not known. */
    std::int64_t rowVersion = 0;

    /** A text that the process which asks for a copy has as well. */
    struct Base
    {
        /** The version of the desired state that the text describes; 0 for an empty text. */
        std::int64_t version = 0;
        const std::string &text;
    };

    /** The message with this copy, for a process that has the base. */
    std::string encode(const Base &base) const;

    /**
        Reads the message of encode(), or the plain text that earlier releases send.

        @param maxBytes of the text
        @return empty if the message is damaged or rests on another base
    */
    static std::optional<DesiredStateCopy> decode(const std::string &message, const Base &base, std::size_t maxBytes);
};

} // namespace auburndoor
