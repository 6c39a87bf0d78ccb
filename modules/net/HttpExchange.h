#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

/** A header line; names of requests that arrive are in lower case. */
using HttpHeader = std::pair<std::string, std::string>;

/** A request as the event-driven server and client carry it. */
struct WebRequest
{
    std::string method = "GET";
    /** Path and query. */
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    /** When it is sent on a kept connection that turns out to be closed, it may be sent once more on a new one. */
    bool isRepeatable = false;

    /** The value of a header, given in lower case; empty if absent. */
    std::string header(std::string_view name) const;
};

/** A reply as the event-driven server and client carry it. */
struct WebReply
{
    int status = 200;
    std::string body;
    std::vector<HttpHeader> headers;
};

/** What became of a request that was sent. */
enum class SendOutcome {
    /** A whole reply arrived. */
    Answered,
    /** Nothing of the request was sent: the connection could not be opened. */
    NotSent,
    /** The connection ended or the time-out passed; the request may have been carried out, or may be later. */
    Lost,
};

/** The result of HttpChannels::send(). */
struct SendResult
{
    SendOutcome outcome = SendOutcome::Lost;
    WebReply reply;
    /** For a person, if there is no reply. */
    std::string error;

    bool hasStatus(int status) const
    {
        return outcome == SendOutcome::Answered && reply.status == status;
    }
};

using SendCallback = std::function<void(SendResult)>;

} // namespace auburndoor
