#pragma once

#include "core/Clock.h"
#include "http/HttpClient.h"

#include <map>
#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** Speaks the operators' interface (docs/protocols/operators.md) with one instance. One thread. */
class OperatorClient
{
public:
    /** @param address "ip:port" of the operators' listener @param token may be empty */
    OperatorClient(const std::string &address, std::string token, Milliseconds timeout);

    /** @return the reply, whatever its status; empty with the failure and delivery filled */
    std::optional<HttpReply> get(const std::string &path, Delivery &delivery, Failure &failure);

    /** @param headers beside the authorization */
    std::optional<HttpReply> post(const std::string &path,
                                  const std::string &body,
                                  const std::map<std::string, std::string> &headers,
                                  Delivery &delivery,
                                  Failure &failure);

    /** The text with everything but letters, digits, '-', '.', '_' and '~' escaped, for a part of a path or query. */
    static std::string escape(const std::string &text);

private:
    HttpClient client_;
    std::string token_;
    Milliseconds timeout_;
};

} // namespace auburndoor
