#pragma once

#include "core/Clock.h"
#include "http/HttpMessage.h"

#include <memory>
#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** How far a failed exchange may have got. */
enum class Delivery {
    /** The request did not leave this process whole; the other side cannot have acted on it. */
    NotSent,
    /** The request may have arrived; the other side may have acted on it. */
    MaybeSent,
};

/**
    Exchanges requests with one address over a pool of kept-alive connections.

    All members may be called from any thread; each call uses a connection of its own.
*/
class HttpClient
{
public:
    /** @param address "ip:port" @param connectionLimit idle connections that are kept */
    HttpClient(std::string address, std::size_t connectionLimit);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
        Sends a request and waits for the whole reply.

        A request on a kept-alive connection that the other side has closed meanwhile is sent again on a fresh one only if
        isRepeatable is true.

        @param path     path with query
        @param timeout  for connecting, and for each wait for bytes
        @param delivery filled on failure
        @return the reply, whatever its status, or empty with ConnectionFailed, ConnectionLost or TimedOut
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
