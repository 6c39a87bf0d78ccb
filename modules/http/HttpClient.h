#pragma once

#include "core/Clock.h"
#include "http/HttpMessage.h"

#include <memory>
#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** Whether the request of a failed exchange may have reached the other side. */
enum class Delivery {
    /** The request did not leave this process completely; the other side cannot have acted on it. */
    NotSent,
    /** The request may have arrived; the other side may have acted on it. */
    MaybeSent,
};

/**
    Sends requests to one address over a pool of keep-alive connections.

    All members may be called from any thread; no two calls use a connection at the same time.
*/
class HttpClient
{
public:
    /** @param address "ip:port" @param connectionLimit number of idle connections that are kept for reuse */
    HttpClient(std::string address, std::size_t connectionLimit);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
        Sends a request and waits for the whole reply.

        If the exchange fails on a reused connection before the timeout, the request is sent once more on a new connection, but only
        if isRepeatable is true: the other side may have closed the reused connection while it was idle.

        @param path     path with query
        @param timeout  for connecting, and for each read and write on the connection, not for the whole exchange
        @param delivery set on failure only
        @return the reply, whatever its status; empty with ConnectionFailed, ConnectionLost or TimedOut
    */
    std::optional<HttpReply> exchange(const std::string &method,
                                      const std::string &path,
                                      const std::string &body,
                                      const std::map<std::string, std::string> &headers,
                                      Milliseconds timeout,
                                      bool isRepeatable,
                                      Delivery &delivery,
                                      Failure &failure);

    const std::string &address() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburndoor
