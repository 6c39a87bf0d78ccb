#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

/** The name and value of a header. In received requests the names are in lower case. */
using HttpHeader = std::pair<std::string, std::string>;

/** An HTTP request, as HttpListener receives it and HttpChannels sends it. */
struct WebRequest
{
    std::string method = "GET";
    /** Path and query. */
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    /** If a kept connection breaks before the reply arrives, the client may send the request once more, on a new connection. */
    bool isRepeatable = false;
    /** The only connection that may carry the request (SendResult::connection of an earlier reply); 0 permits any. */
    std::uint64_t connection = 0;

    /** The value of the first header with this name, compared letter for letter; empty if there is none. */
    std::string header(std::string_view name) const;
};

/** An HTTP reply, as HttpListener sends it and HttpChannels receives it. */
struct WebReply
{
    int status = 200;
    std::string body;
    /** Empty in received replies: HttpChannels doesn't keep their headers, which no caller needs. */
    std::vector<HttpHeader> headers;
};

/** The outcome of a request given to HttpChannels::send(). */
enum class SendOutcome {
    /** A whole reply arrived. */
    Answered,
    /** Nothing of the request was sent: no connection could be opened or became free in time. */
    NotSent,
    /** The connection broke or the timeout passed; the request may have been carried out, or may still be carried out later. */
    Lost,
};

/** The result of HttpChannels::send(). */
struct SendResult
{
    SendOutcome outcome = SendOutcome::Lost;
    WebReply reply;
    /** If there is no reply: describes why, for logs. */
    std::string error;
    /** The connection that carried the reply, by a number that is used once in this process; 0 if there is none. */
    std::uint64_t connection = 0;
    /** The time from the first bytes of the reply to the last ones; also of the part of a reply that was lost. */
    Milliseconds receiveDuration { 0 };
    /** The bytes of the reply's body that have arrived, also if the rest was lost. */
    std::size_t receivedBytes = 0;
    /** The request was not sent because the connection that it was bound to is closed. */
    bool isConnectionClosed = false;

    /** True if a reply with this HTTP status arrived. */
    bool hasStatus(int status) const
    {
        return outcome == SendOutcome::Answered && reply.status == status;
    }
};

using SendCallback = std::function<void(SendResult)>;

} // namespace auburndoor
