#include "entry/AdvicePool.h"

#include "entry/PeerCodec.h"
#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace auburndoor {

namespace {

constexpr HttpChannelLimits requesterLimits { .maxConnections = 8, .connectTimeout = Milliseconds(400) };
// How long a process at which a request failed is not used.
constexpr Milliseconds failureBackoff { 1000 };
// Requests that are expected to take longer count as long. Those of urgent queues take about 30 ms, others 200 to 800 ms.
constexpr Milliseconds maxShortRequestTime { 100 };
// If there are several processes, one in this many, and at least one, is kept free for short requests.
constexpr std::size_t requestersPerReserved = 4;
// A request fails after this many failed attempts at other processes.
constexpr int maxAttempts = 4;
// Time allowed for transmission and for a busy process, beyond the time that the service needs for the request.
constexpr Milliseconds replyMargin { 700 };

} // namespace

struct AdvicePool::Impl : std::enable_shared_from_this<AdvicePool::Impl>
{
    /** An entry process that sends requests to the advisory service from its machine. */
    struct Requester
    {
        std::unique_ptr<HttpChannels> channels;
        int openRequests = 0;
        /** Not used before this time, because a request failed there. */
        TimePoint avoidUntil;
    };
    /** A request that has not been sent, or has failed and is to be sent again. */
    struct WaitingRequest
    {
        AdviceRequest adviceRequest;
        Callback callback;
        std::uint64_t sequenceNumber = 0;
        int failures = 0;
    };

    Impl(EventLoop &loop, Advisor *localAdvisor, Address selfAddress, std::function<std::vector<Address>()> members)
        : loop(loop), localAdvisor(localAdvisor), selfAddress(std::move(selfAddress)), members(std::move(members))
    {
    }

    /** Sends as many of the waiting requests as there are processes for them, the most urgent first. */
    void sendWaiting();
    /** Processes that are not avoided and have no request in flight. @param usableCount set to the number of all not avoided */
    std::vector<Address> freeRequesters(std::size_t &usableCount);
    /** Queues a failed request again, or ends it as failed after maxAttempts. */
    void retry(WaitingRequest entry);
    void sendToPeer(const Address &address, WaitingRequest entry);
    void askLocalAdvisor(WaitingRequest entry);
    void finish(const Address &address, const Callback &callback, const AdviceResult &result);

    EventLoop &loop;
    Advisor *localAdvisor;
    Address selfAddress;
    std::function<std::vector<Address>()> members;
    std::map<Address, Requester> requesters;
    std::vector<WaitingRequest> waitingRequests;
    std::uint64_t nextSequenceNumber = 0;
};

std::vector<Address> AdvicePool::Impl::freeRequesters(std::size_t &usableCount)
{
    auto candidates = members();
    candidates.push_back(selfAddress);
    const auto now = loop.now();
    std::erase_if(candidates, [&](const Address &address) { return requesters[address].avoidUntil > now; });
    usableCount = candidates.size();
    std::erase_if(candidates, [&](const Address &address) { return requesters[address].openRequests > 0; });
    return candidates;
}

void AdvicePool::Impl::sendWaiting()
{
    std::size_t usableCount = 0;
    auto available = freeRequesters(usableCount);
    std::sort(waitingRequests.begin(), waitingRequests.end(), [](const WaitingRequest &left, const WaitingRequest &right) {
        return std::tuple(left.adviceRequest.priority, left.sequenceNumber)
               < std::tuple(right.adviceRequest.priority, right.sequenceNumber);
    });
    const auto reserved = std::max<std::size_t>(1, usableCount / requestersPerReserved);
    for (auto next = waitingRequests.begin(); next != waitingRequests.end() && !available.empty();) {
        const bool isLong = next->adviceRequest.expected > maxShortRequestTime;
        if (isLong && usableCount > 1 && available.size() <= reserved) {
            ++next;
            continue;
        }
        auto entry = std::move(*next);
        next = waitingRequests.erase(next);
        const auto address = available.front();
        available.erase(available.begin());
        if (address == selfAddress) {
            askLocalAdvisor(std::move(entry));
        } else {
            sendToPeer(address, std::move(entry));
        }
    }
}

void AdvicePool::Impl::finish(const Address &address, const Callback &callback, const AdviceResult &result)
{
    --requesters[address].openRequests;
    callback(result);
    sendWaiting();
}

void AdvicePool::Impl::askLocalAdvisor(WaitingRequest entry)
{
    ++requesters[selfAddress].openRequests;
    localAdvisor->ask(entry.adviceRequest,
                      [impl = shared_from_this(), callback = std::move(entry.callback)](const AdviceResult &result) {
                          impl->finish(impl->selfAddress, callback, result);
                      });
}

void AdvicePool::Impl::sendToPeer(const Address &address, WaitingRequest entry)
{
    auto &requester = requesters[address];
    if (!requester.channels) {
        requester.channels = std::make_unique<HttpChannels>(loop, address, requesterLimits);
    }
    ++requester.openRequests;
    auto request = PeerCodec::adviceRequest(entry.adviceRequest);
    const auto timeout = std::min(entry.adviceRequest.timeout, entry.adviceRequest.expected * 3 / 2 + replyMargin);
    requester.channels->send(std::move(request), timeout, [impl = shared_from_this(), address, entry](const SendResult &sent) {
        auto result = sent.hasStatus(200) ? PeerCodec::readAdviceReply(sent.reply) : std::nullopt;
        if (result && result->outcome == AdviceResult::Outcome::Answered) {
            impl->finish(address, entry.callback, *result);
            return;
        }
        EventLog::write("advice.failed",
                        { { "job", entry.adviceRequest.step.job }, { "at", address.text() }, { "detail", sent.error } });
        auto &failedRequester = impl->requesters[address];
        --failedRequester.openRequests;
        failedRequester.avoidUntil = impl->loop.now() + failureBackoff;
        impl->retry(entry);
    });
}

void AdvicePool::Impl::retry(WaitingRequest entry)
{
    if (++entry.failures < maxAttempts) {
        waitingRequests.push_back(std::move(entry));
    } else {
        entry.callback({});
    }
    sendWaiting();
}

AdvicePool::AdvicePool(EventLoop &loop, Advisor *localAdvisor, Address selfAddress, std::function<std::vector<Address>()> members)
    : impl_(std::make_shared<Impl>(loop, localAdvisor, std::move(selfAddress), std::move(members)))
{
}

AdvicePool::~AdvicePool() = default;

void AdvicePool::ask(const AdviceRequest &adviceRequest, Callback callback)
{
    if (impl_->localAdvisor == nullptr) {
        impl_->loop.after(Milliseconds(0), [callback = std::move(callback)] { callback({}); });
        return;
    }
    impl_->waitingRequests.push_back({ adviceRequest, std::move(callback), impl_->nextSequenceNumber++ });
    impl_->sendWaiting();
}

bool AdvicePool::canSendNow(Milliseconds expected) const
{
    if (impl_->localAdvisor == nullptr) {
        return true;
    }
    std::size_t usableCount = 0;
    const auto available = impl_->freeRequesters(usableCount).size();
    const auto reserved = expected > maxShortRequestTime && usableCount > 1
                              ? std::max<std::size_t>(1, usableCount / requestersPerReserved)
                              : 0;
    return available > reserved + impl_->waitingRequests.size();
}

} // namespace auburndoor
