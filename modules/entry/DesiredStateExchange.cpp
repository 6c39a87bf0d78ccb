#include "entry/DesiredStateExchange.h"

#include "entry/DesiredStateHolder.h"
#include "entry/Leadership.h"
#include "entry/PeerCodec.h"
#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

namespace auburndoor {

namespace {

constexpr Milliseconds checkInterval { 300 };
constexpr Milliseconds reportInterval { 1000 };
// The other process may compress the copy first.
constexpr HttpReplyTimeouts copyTimeouts { Milliseconds(700), Milliseconds(700), Milliseconds(30000) };

} // namespace

DesiredStateExchange::DesiredStateExchange(EventLoop &loop, DesiredStateHolder &desiredState, const Leadership &leadership)
    : loop_(loop), desiredState_(desiredState), leadership_(leadership)
{
}

DesiredStateExchange::~DesiredStateExchange() = default;

void DesiredStateExchange::start()
{
    loop_.after(checkInterval, [this] { start(); });
    check();
}

void DesiredStateExchange::check()
{
    desiredState_.noteRunning();
    fetchNewer();
    reportBehind();
}

std::optional<Address> DesiredStateExchange::holderOfNewerState() const
{
    return leadership_.holderOfNewerState(desiredState_.current().version);
}

void DesiredStateExchange::fetchNewer()
{
    const auto holder = holderOfNewerState();
    if (!holder) {
        behindSince_.reset();
        return;
    }
    behindSince_ = behindSince_.value_or(loop_.now());
    if (isCopyUnderWay_) {
        return;
    }
    if (!channel_ || channel_->peer() != *holder) {
        channel_ = std::make_unique<HttpChannels>(loop_, *holder, HttpChannelLimits { .maxConnections = 1 });
    }
    isCopyUnderWay_ = true;
    channel_->send(
        PeerCodec::desiredStateRequest(desiredState_.copyBase()),
        copyTimeouts,
        [this, from = *holder, version = desiredState_.current().version](const SendResult &sent) {
            isCopyUnderWay_ = false;
            if (desiredState_.current().version != version) {
                // The store was faster, and the copy may rest on a version that is not in force any more.
                fetchNewer();
                return;
            }
            if (sent.hasStatus(200)) {
                desiredState_.takeCopy(sent.reply.body, sent.receiveDuration);
                return;
            }
            EventLog::writeRateLimited(
                "desired.copy_failed",
                { { "from", from.text() },
                  { "received_bytes", sent.receivedBytes },
                  { "detail", sent.outcome == SendOutcome::Answered ? PeerCodec::describeRefusedCall(sent.reply) : sent.error } });
        });
}

Milliseconds DesiredStateExchange::behindDuration() const
{
    return behindSince_ && holderOfNewerState() ? std::chrono::duration_cast<Milliseconds>(loop_.now() - *behindSince_)
                                                : Milliseconds(0);
}

void DesiredStateExchange::reportBehind()
{
    const auto behind = behindDuration();
    if (behind < reportInterval || loop_.now() < nextReportAt_) {
        return;
    }
    nextReportAt_ = loop_.now() + reportInterval;
    EventLog::write("desired.behind",
                    { { "version", desiredState_.current().version },
                      { "newest_known", leadership_.newestKnownState() },
                      { "for_ms", behind.count() },
                      { "store_age_ms", desiredState_.age().count() } });
}

void DesiredStateExchange::updateMetrics(Metrics &metrics) const
{
    metrics.setGauge("desired_state_version", static_cast<double>(desiredState_.current().version));
    metrics.setGauge("desired_state_newest_known", static_cast<double>(leadership_.newestKnownState()));
    metrics.setGauge("desired_state_behind_milliseconds", static_cast<double>(behindDuration().count()));
    metrics.setGauge("desired_state_age_milliseconds", static_cast<double>(desiredState_.age().count()));
    metrics.setGauge("desired_state_queues", static_cast<double>(desiredState_.current().queues.size()));
}

} // namespace auburndoor
