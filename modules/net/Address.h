#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburndoor {

/** An IPv4 address and a TCP port. */
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    /** Formats the address as "HOST:PORT". */
    std::string text() const;

    /** False for port 0, which no peer can be reached at. */
    bool hasPort() const
    {
        return port != 0;
    }

    /** Parses "HOST:PORT"; empty if it is malformed. The host is not checked to be an IP address. */
    static std::optional<Address> parse(std::string_view text);

    auto operator<=>(const Address &other) const = default;
};

} // namespace auburndoor
