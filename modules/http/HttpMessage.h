#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** A request as handlers see it. Header names are in lower case. */
struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::map<std::string, std::string> query;
    /** The groups of the route's pattern, without the whole match. */
    std::vector<std::string> pathParts;
    std::string body;
    /** How long its connection waited for a thread before the first request on it could be read; zero for later requests. */
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

/** A reply as handlers return it and clients receive it. Header names of received replies are in lower case. */
struct HttpReply
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    /** Filled by HttpClient: the bytes of the request and of this reply as HTTP/1.1 sends them, with lines and headers. */
    std::size_t exchangedBytes = 0;
};

} // namespace auburndoor
