#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** A request as HttpServer passes it to handlers. Header names are in lower case. */
struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::map<std::string, std::string> query;
    /** The capture groups of the route's pattern, without the whole match. */
    std::vector<std::string> pathParts;
    std::string body;
    /** How long the connection waited for a thread, in the first request on the connection; zero in later requests. */
    std::chrono::milliseconds waited { 0 };

    /** The value of a header, given in lower case; empty if absent. */
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }

    /** The value of a query parameter; empty if absent. */
    std::string queryValue(const std::string &name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }
};

/** A reply that a handler returns or that HttpClient received. Header names of received replies are in lower case. */
struct HttpReply
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    /** Filled by HttpClient: the bytes of the request and of this reply on the connection, with start lines and headers. */
    std::size_t exchangedBytes = 0;
};

} // namespace auburndoor
