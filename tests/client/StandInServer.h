#pragma once

#include "http/HttpServer.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace auburndoor {

/** An HTTP server that records the last request and replies to all requests with the same status and body. */
class FixedReplyServer
{
public:
    FixedReplyServer(int status, const std::string &body);

    std::string address;
    /** The last request. */
    HttpRequest request;

private:
    HttpServer server_;
};

/** A server that accepts one connection, reads a request, and closes the connection without a reply. */
class ClosingServer
{
public:
    ClosingServer();
    ~ClosingServer();
    ClosingServer(const ClosingServer &) = delete;
    ClosingServer &operator=(const ClosingServer &) = delete;

    std::string address;

private:
    int socket_ = -1;
    std::thread thread_;
};

/** Returns a loopback address at which nothing listens. */
std::string unusedAddress();

} // namespace auburndoor
