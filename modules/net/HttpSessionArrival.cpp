#include "net/HttpSession.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Of a request that a handler has not answered: a client's call that waits for the owner is held in up to three copies, and a
// decoded value takes several times the memory of its text. The limits of what a job may hold bound the second. Other processes of
// the cell send few values, and their messages are not passed on.
constexpr std::size_t clientCopies = 3;
constexpr std::size_t clientDecodedFactor = 8;
constexpr std::size_t peerCopies = 2;
constexpr std::size_t peerDecodedFactor = 2;
constexpr std::size_t maxDecodedBytes = 65536;
// While the loop is late, what a client has sent in time may still wait in the operating system.
constexpr Milliseconds lateReadGrace { 1000 };

WebReply makeNoRoomReply()
{
    return { 503, "{\"error\":\"too many requests are arriving\"}", { { "Retry-After", "1" } } };
}

} // namespace

std::shared_ptr<HttpSession> HttpSession::open(const std::shared_ptr<HttpListenerContext> &context, LoopSocket &socket)
{
    if (context->memory) {
        const auto tryTake = [&context] {
            return context->memory->tryTake(context->purpose, ConnectionMemory::connectionBytes, true);
        };
        if (!tryTake()) {
            context->closeLargest();
            if (!tryTake()) {
                return nullptr;
            }
        }
        // Taken again by the connection's own share.
        context->memory->release(context->purpose, ConnectionMemory::connectionBytes);
    }
    auto session = std::make_shared<HttpSession>(context, std::move(socket));
    session->share_.resize(ConnectionMemory::connectionBytes);
    return session;
}

void HttpSession::readRest()
{
    if (state_ != State::Reading) {
        return;
    }
    ErrorCode error;
    stream_.parse(*parser_, error);
    if (error || parser_->is_done()) {
        onRead(error);
        return;
    }
    if (stream_.hasInput() || parser_->got_some()) {
        onPart(error);
        return;
    }
    readNext();
}

void HttpSession::readNext()
{
    if (takeArrivingBytes()) {
        stream_.readPart(*parser_, [self = shared_from_this()](const ErrorCode &error) { self->onPart(error); });
    }
}

void HttpSession::onPart(const ErrorCode &error)
{
    if (error || state_ != State::Reading || parser_->is_done()) {
        onRead(error);
        return;
    }
    if (!isArriving_) {
        isArriving_ = true;
        arrivingSince_ = context_->loop.now();
    }
    if (parser_->is_header_done() && !isHeaderChecked_) {
        isHeaderChecked_ = true;
        auto reply = context_->headerCheck ? context_->headerCheck(parser_->message()) : std::nullopt;
        if (reply) {
            if (context_->memory) {
                ++context_->memory->refusals.early;
            }
            refuse(std::move(*reply));
            return;
        }
    }
    setArrivalDeadline();
    readNext();
}

void HttpSession::setArrivalDeadline()
{
    const auto &limits = context_->limits;
    auto allowed = limits.headerTimeout;
    if (parser_->is_header_done()) {
        constexpr std::size_t millisecondsInSecond = 1000;
        allowed = 2 * limits.headerTimeout
                  + Milliseconds(parser_->messageBytes() * millisecondsInSecond / limits.minBytesPerSecond);
    }
    stream_.deadline().set(std::min(arrivingSince_ + allowed, context_->loop.now() + limits.stallTimeout));
}

void HttpSession::onDeadline()
{
    const bool isArriving = state_ == State::Reading && isArriving_;
    if (isArriving && stream_.hasUnreadSocketInput()) {
        stream_.deadline().set(context_->loop.now() + lateReadGrace);
        return;
    }
    if (context_->memory && isArriving) {
        ++context_->memory->refusals.slowSenders;
    } else if (context_->memory && state_ == State::Writing) {
        ++context_->memory->refusals.slowReaders;
    }
    close();
}

bool HttpSession::takeBytes(std::size_t bytes)
{
    const bool isSmall = parser_->messageBytes() <= ConnectionMemory::maxSmallBytes;
    if (share_.tryResize(bytes, isSmall)) {
        return true;
    }
    if (isSmall) {
        context_->closeLargest();
    }
    return share_.tryResize(bytes, isSmall);
}

bool HttpSession::takeArrivingBytes()
{
    const auto bytes = [this] { return ConnectionMemory::connectionBytes + stream_.bufferBytes() + parser_->heldBytes(); };
    if (share_.tryResize(bytes(), parser_->messageBytes() <= ConnectionMemory::maxSmallBytes)) {
        return true;
    }
    stream_.useSmallReads();
    if (takeBytes(bytes())) {
        return true;
    }
    ++context_->memory->refusals.requests;
    refuse(makeNoRoomReply());
    return false;
}

bool HttpSession::takeDecodedBytes()
{
    const auto bodyBytes = parser_->message().body.size();
    const bool isClient = context_->purpose == ConnectionPurpose::Clients;
    const auto copies = isClient ? clientCopies : peerCopies;
    const auto decodedFactor = isClient ? clientDecodedFactor : peerDecodedFactor;
    const auto excess = bodyBytes * (copies - 1) + std::min(bodyBytes * decodedFactor, maxDecodedBytes);
    if (takeBytes(ConnectionMemory::connectionBytes + stream_.bufferBytes() + parser_->heldBytes() + excess)) {
        return true;
    }
    ++context_->memory->refusals.requests;
    refuse(makeNoRoomReply());
    return false;
}

void HttpSession::holdBuffersOnly()
{
    share_.resize(ConnectionMemory::connectionBytes + stream_.bufferBytes());
}

void HttpSession::refuse(WebReply refusal)
{
    isRestExpected_ = !parser_->is_done();
    keepAlive_ = false;
    parser_.reset();
    beginRequest();
    reply(std::move(refusal));
}

std::optional<EvictionCandidate> HttpSession::evictionCandidate(TimePoint now) const
{
    if (isRejected_ || (state_ != State::Reading && state_ != State::Lingering)) {
        return std::nullopt;
    }
    const auto since = state_ == State::Reading && isArriving_ ? arrivingSince_ : busySince_;
    const bool isKept = wasAnswered_ && state_ == State::Reading && !isArriving_;
    return EvictionCandidate { 0, share_.bytes(), std::chrono::duration_cast<Milliseconds>(now - since), isKept };
}

bool HttpSession::evict()
{
    if (stream_.hasUnreadSocketInput() && state_ == State::Reading && !isArriving_) {
        return false;
    }
    close();
    // The buffers go with the pending read, on the next turn of the loop.
    share_.resize(0);
    return true;
}

} // namespace auburndoor
