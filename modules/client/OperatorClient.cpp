#include "client/OperatorClient.h"

#include <cctype>

namespace auburndoor {

OperatorClient::OperatorClient(const std::string &address, std::string token, Milliseconds timeout)
    : client_(address, 1), token_(std::move(token)), timeout_(timeout)
{
}

std::optional<HttpReply> OperatorClient::get(const std::string &path, Delivery &delivery, Failure &failure)
{
    std::map<std::string, std::string> headers;
    if (!token_.empty()) {
        headers["Authorization"] = "Bearer " + token_;
    }
    return client_.exchange("GET", path, {}, headers, timeout_, true, delivery, failure);
}

std::optional<HttpReply> OperatorClient::post(const std::string &path,
                                              const std::string &body,
                                              const std::map<std::string, std::string> &headers,
                                              Delivery &delivery,
                                              Failure &failure)
{
    auto allHeaders = headers;
    if (!token_.empty()) {
        allHeaders["Authorization"] = "Bearer " + token_;
    }
    return client_.exchange("POST", path, body, allHeaders, timeout_, false, delivery, failure);
}

std::string OperatorClient::escape(const std::string &text)
{
    static constexpr auto digits = "0123456789ABCDEF";
    static const std::string plain = "-._~";
    std::string escaped;
    for (const auto letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || plain.find(letter) != std::string::npos) {
            escaped += letter;
        } else {
            escaped += { '%', digits[byte >> 4U], digits[byte & 15U] };
        }
    }
    return escaped;
}

} // namespace auburndoor
