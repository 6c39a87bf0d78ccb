#pragma once

#include "http/HttpServer.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace auburndoor {

/** Records requests and replies to each with the same status and body. */
class CannedServer
{
public:
    CannedServer(int status, const std::string &body);

    std::string address;
    /** The last request. */
    HttpRequest request;

private:
    HttpServer server_;
};

/** Accepts one connection, reads a request, and closes without an answer. */
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

/** An address at which nothing listens. */
std::string deadAddress();

} // namespace auburndoor
