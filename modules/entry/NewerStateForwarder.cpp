#include "entry/NewerStateForwarder.h"

#include "net/HttpChannels.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

constexpr HttpChannelLimits holderChannelLimits { .maxConnections = 8, .connectTimeout = Milliseconds(300) };
// Part of the client's timeout that is kept for the answer to reach the client.
constexpr Milliseconds answerMargin { 150 };
constexpr const char *lostDetail = "the process that has the newer desired state did not answer";

std::optional<PassedRequestAnswer> readAnswer(const SendResult &sent, bool isReading)
{
    if (sent.hasStatus(200)) {
        if (auto answer = PassedRequestCodec::decodeAnswer(sent.reply)) {
            return answer;
        }
    }
    const bool isRefused = sent.outcome == SendOutcome::Answered && !sent.hasStatus(200);
    if (isReading || isRefused || sent.outcome == SendOutcome::NotSent) {
        return std::nullopt;
    }
    return PassedRequestAnswer { ClientCall::Kind::Other, { .outcome = ClientResult::Outcome::Unknown, .detail = lostDetail } };
}

} // namespace

NewerStateForwarder::NewerStateForwarder(EventLoop &loop) : loop_(loop)
{
}

NewerStateForwarder::~NewerStateForwarder() = default;

void NewerStateForwarder::forward(const WebRequest &request, const Address &holder, Milliseconds timeout, Callback callback)
{
    auto message = isClosed_ ? std::nullopt : PassedRequestCodec::encode(request);
    if (!message) {
        callback(std::nullopt);
        return;
    }
    if (!channels_ || channels_->peer() != holder) {
        channels_ = std::make_unique<HttpChannels>(loop_, holder, holderChannelLimits);
    }
    const bool isReading = request.method == "GET";
    const auto limit = std::max(Milliseconds(1), timeout - std::min(answerMargin, timeout / 4));
    channels_->send(std::move(*message), limit, [isReading, callback = std::move(callback)](const SendResult &sent) {
        callback(readAnswer(sent, isReading));
    });
}

void NewerStateForwarder::close()
{
    isClosed_ = true;
    if (channels_) {
        channels_->reset();
    }
}

} // namespace auburndoor
