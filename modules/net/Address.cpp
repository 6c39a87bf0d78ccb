#include "net/Address.h"

#include <charconv>

namespace auburndoor {

std::string Address::text() const
{
    return host + ":" + std::to_string(port);
}

std::optional<Address> Address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    Address address { std::string(text.substr(0, colon)), 0 };
    const auto digits = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return address;
}

} // namespace auburndoor
