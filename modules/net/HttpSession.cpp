#include "net/HttpSession.h"

#include "net/HttpWriter.h"

#include <algorithm>

namespace auburndoor {

namespace asio = boost::asio;
namespace http = boost::beast::http;

HttpSession::HttpSession(std::shared_ptr<HttpListenerContext> context, LoopSocket socket)
    : context_(std::move(context))
    , share_(context_->memory, context_->purpose)
    , stream_(std::move(socket), context_->loop, [this] { onDeadline(); })
{
    stream_.configure();
    context_->sessions.insert(this);
}

HttpSession::~HttpSession()
{
    context_->sessions.erase(this);
    context_->rejectedSessions -= isRejected_ ? 1 : 0;
    finishRequest();
}

void HttpSession::read()
{
    state_ = State::Reading;
    busySince_ = context_->loop.now();
    isArriving_ = false;
    isHeaderChecked_ = false;
    parser_.emplace(context_->limits.maxHeaderBytes, context_->limits.maxBodyBytes);
    stream_.freeLargeBuffers();
    holdBuffersOnly();
    stream_.deadline().set(busySince_ + context_->limits.idleTimeout);
    if (stream_.hasInput()) {
        // On the next turn, so that a series of requests that arrived together doesn't nest their handlers.
        asio::post(context_->loop.context(), [self = shared_from_this()] { self->readRest(); });
        return;
    }
    readRest();
}

void HttpSession::reject()
{
    isRejected_ = true;
    ++context_->rejectedSessions;
    keepAlive_ = false;
    busySince_ = context_->loop.now();
    parser_.emplace(context_->limits.maxHeaderBytes, context_->limits.maxBodyBytes);
    stream_.deadline().set(context_->loop.now() + context_->limits.lingerTimeout);
    stream_.awaitInput([self = shared_from_this()](const ErrorCode &error) {
        if (error || self->state_ != State::Reading) {
            self->close();
            return;
        }
        self->beginRequest();
        self->reply({ 503, "{\"error\":\"too many connections\"}", { { "Retry-After", "1" } } });
    });
}

void HttpSession::reply(WebReply reply)
{
    if (state_ != State::Handling) {
        return;
    }
    state_ = State::Writing;
    auto &output = stream_.output();
    output.clear();
    if (keepAlive_ && context_->isDraining && !stream_.hasUnreadInput()) {
        keepAlive_ = false;
        isEndAnnounced_ = true;
    }
    appendReply(output, reply, keepAlive_);
    holdBuffersOnly();
    stream_.deadline().set(context_->loop.now() + context_->limits.transferTimeout);
    stream_.write([self = shared_from_this()](const ErrorCode &error) { self->onWritten(error); });
}

void HttpSession::abandon()
{
    close();
}

bool HttpSession::isIdle() const
{
    return state_ == State::Reading && !parser_->got_some() && !stream_.hasUnreadInput();
}

void HttpSession::closeIfIdle(Milliseconds minimumIdle)
{
    if (!isIdle() || context_->loop.now() - busySince_ < minimumIdle) {
        return;
    }
    // The pending read notices the end of the connection.
    state_ = State::Lingering;
    stream_.shutDownSend();
    stream_.deadline().set(context_->loop.now() + context_->limits.lingerTimeout);
}

void HttpSession::addTo(HttpListenerLoad &load) const
{
    if (state_ == State::Lingering || state_ == State::Closed) {
        return;
    }
    if (state_ == State::Handling) {
        ++load.openRequests;
    } else if (state_ == State::Writing) {
        ++load.unwrittenReplies;
    } else if (isIdle()) {
        ++load.idleConnections;
        return;
    } else {
        ++load.partialRequests;
    }
    load.oldestAge = std::max(load.oldestAge, std::chrono::duration_cast<Milliseconds>(context_->loop.now() - busySince_));
}

void HttpSession::onRead(const ErrorCode &error)
{
    if (state_ == State::Lingering) {
        onReadWhileLingering(error);
        return;
    }
    if (state_ != State::Reading) {
        return;
    }
    const bool isTooLarge = error == http::error::body_limit || error == http::error::header_limit;
    if (error && !isTooLarge) {
        close();
        return;
    }
    if (isTooLarge) {
        refuse({ 413, "{\"error\":\"request too large\"}", {} });
        return;
    }
    if (!takeDecodedBytes()) {
        return;
    }
    beginRequest();
    keepAlive_ = parser_->keep_alive();
    stream_.deadline().clear();
    context_->handler(std::move(parser_->message()), shared_from_this());
}

void HttpSession::onWritten(const ErrorCode &error)
{
    finishRequest();
    wasAnswered_ = true;
    if (error || state_ != State::Writing) {
        close();
    } else if (keepAlive_) {
        read();
    } else {
        linger();
    }
}

void HttpSession::onReadWhileLingering(const ErrorCode &error)
{
    if (error) {
        close();
        return;
    }
    ++context_->discardedRequests;
    discardInput();
}

void HttpSession::linger()
{
    const auto &limits = context_->limits;
    state_ = State::Lingering;
    stream_.shutDownSend();
    stream_.deadline().set(context_->loop.now() + (isRestExpected_ ? limits.transferTimeout : limits.lingerTimeout));
    discardInput();
}

void HttpSession::discardInput()
{
    parser_.reset();
    share_.resize(std::min(share_.bytes(), ConnectionMemory::connectionBytes));
    stream_.discardInput([self = shared_from_this()](const ErrorCode &, std::size_t size) {
        self->context_->discardedRequests += self->isEndAnnounced_ && size > 0 ? 1 : 0;
        self->close();
    });
}

void HttpSession::beginRequest()
{
    state_ = State::Handling;
    isRequestOpen_ = true;
    ++context_->openRequests;
    busySince_ = context_->loop.now();
}

void HttpSession::finishRequest()
{
    if (isRequestOpen_) {
        isRequestOpen_ = false;
        --context_->openRequests;
    }
}

void HttpSession::close()
{
    finishRequest();
    state_ = State::Closed;
    stream_.close();
}

} // namespace auburndoor
