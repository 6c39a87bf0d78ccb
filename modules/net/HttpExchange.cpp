#include "net/HttpExchange.h"

#include <algorithm>

namespace auburndoor {

std::string WebRequest::header(std::string_view name) const
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [name](const HttpHeader &header) { return header.first == name; });
    return found == headers.end() ? std::string() : found->second;
}

} // namespace auburndoor
