#pragma once

#include "core/Clock.h"
#include "http/HttpClient.h"

#include <map>
#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** HTTP client of the operators' interface (docs/protocols/operators.md) of one instance. One thread. */
class OperatorClient
{
public:
    /** @param address "ip:port" of the operators' listener @param token may be empty */
    OperatorClient(const std::string &address, std::string token, Milliseconds timeout);

    /** Sends a GET request. @return the reply with any status; empty on failure, with failure and delivery set */
    std::optional<HttpReply> get(const std::string &path, Delivery &delivery, Failure &failure);

    /** Sends a POST request. @param headers sent in addition to the authorization @return as for get() */
    std::optional<HttpReply> post(const std::string &path,
                                  const std::string &body,
                                  const std::map<std::string, std::string> &headers,
                                  Delivery &delivery,
                                  Failure &failure);

    /** Percent-encodes everything but letters, digits, '-', '.', '_' and '~', for a part of a path or query. */
    static std::string escape(const std::string &text);

private:
    HttpClient client_;
    std::string token_;
    Milliseconds timeout_;
};

} // namespace auburndoor
