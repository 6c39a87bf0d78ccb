#pragma once

// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/HttpListenerContext.h"
#include "net/HttpStream.h"

#include <memory>
#include <optional>

namespace auburndoor {

/**
    One client's connection to an HttpListener.

    A pending read or write, or the responder of an unanswered request, keeps it alive. Used on the loop's thread only.
*/
class HttpSession : public HttpResponder, public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(std::shared_ptr<HttpListenerContext> context, LoopSocket socket);
    ~HttpSession() override;

    /** Waits for a request. */
    void read();

    /** Answers the first request with status 503, without reading it, since the listener is full. To be called instead of read().
     */
    void reject();

    void reply(WebReply reply) override;
    void abandon() override;

    /** Begins to end the connection if it has waited for a request for so long. */
    void closeIfIdle(Milliseconds minimumIdle);

    /** Adds this connection to the counts. */
    void addTo(HttpListenerLoad &load) const;

private:
    using ErrorCode = HttpStream::ErrorCode;

    enum class State {
        /** Waits for a request, or has read a part of it. */
        Reading,
        /** The handler has the request. */
        Handling,
        /** The reply is being sent. */
        Writing,
        /** Nothing more is sent. Input is dropped until the client ends the connection. */
        Lingering,
        Closed,
    };

    bool isIdle() const;
    void readRest();
    void onRead(const ErrorCode &error);
    void onWritten(const ErrorCode &error);
    /** The end of a request that was still arriving when the connection began to end. */
    void onReadWhileLingering(const ErrorCode &error);
    /**
        Ends the connection after a reply: closing it with unread input would reset it, on which the client's system may discard
        the reply.
    */
    void linger();
    void discardInput();
    /** Counts the current request as open, and the connection as busy from now on. */
    void beginRequest();
    void finishRequest();
    void close();

    std::shared_ptr<HttpListenerContext> context_;
    HttpStream stream_;
    std::optional<HttpParser<true>> parser_;
    State state_ = State::Reading;
    /** The connection may be used for another request after the current one. */
    bool keepAlive_ = true;
    /** Set with the last reply of a connection that its client would have kept, so that further input may be a request. */
    bool isEndAnnounced_ = false;
    /** The current request was refused before it was read in full, so the rest of it may still arrive. */
    bool isRestExpected_ = false;
    /** The connection counts in HttpListenerContext::rejectedSessions. */
    bool isRejected_ = false;
    /** The request counts in HttpListenerContext::openRequests. */
    bool isRequestOpen_ = false;
    /** When the current request was read in full, or when the connection became ready for it. */
    TimePoint busySince_;
};

} // namespace auburndoor
