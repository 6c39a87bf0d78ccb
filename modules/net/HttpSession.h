#pragma once

// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EvictionOrder.h"
#include "net/HttpListenerContext.h"
#include "net/HttpStream.h"
#include "net/MemoryShare.h"

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

    /** Moves the socket into a connection if the budget has room for one. @return null, with the socket unchanged, if not */
    static std::shared_ptr<HttpSession> open(const std::shared_ptr<HttpListenerContext> &context, LoopSocket &socket);

    /** Waits for a request. */
    void read();

    /** Answers the first request with status 503, without reading it, since the listener is full. To be called instead of read().
     */
    void reject();

    void reply(WebReply reply) override;
    void abandon() override;

    /** Begins to end the connection if it has waited for a request for so long. */
    void closeIfIdle(Milliseconds minimumIdle);

    /** What is known of this connection if it may be closed to make room; without an index. */
    std::optional<EvictionCandidate> evictionCandidate(TimePoint now) const;
    /** Closes the connection, unless its request goes on to arrive. @return whether it was closed */
    bool evict();

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
    /** Reads what arrives next, if the budget has room for it. */
    void readNext();
    void onPart(const ErrorCode &error);
    /** Sets the deadline for the rest of a request of which a part has arrived. */
    void setArrivalDeadline();
    void onDeadline();
    /** Takes what the request holds from the budget, or answers that it has no room. @return false if it was answered */
    bool takeArrivingBytes();
    /** As takeArrivingBytes(), for a request that has arrived and is decoded now. */
    bool takeDecodedBytes();
    bool takeBytes(std::size_t bytes);
    /** Sets what the connection holds apart from a message, whether or not the budget has room. */
    void holdBuffersOnly();
    /** Answers a request that has not been read in full; its connection ends. */
    void refuse(WebReply reply);
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
    MemoryShare share_;
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
    /** A part of the current request has arrived, but not all of it. */
    bool isArriving_ = false;
    /** The headers of the current request were checked before its body arrived. */
    bool isHeaderChecked_ = false;
    /** A request of the connection was answered. */
    bool wasAnswered_ = false;
    /** When the first bytes of the current request arrived. */
    TimePoint arrivingSince_;
    /** When the current request was read in full, or when the connection became ready for it. */
    TimePoint busySince_;
};

} // namespace auburndoor
