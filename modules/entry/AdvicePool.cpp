#include "entry/AdvicePool.h"

#include "entry/PeerCodec.h"
#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <map>
#include <optional>

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
// How old the list of processes may be. A process is a member for seconds after its last heartbeat, so reading the list for each
// request would find nothing new.
constexpr Milliseconds maxMembersAge { 100 };
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
    using Candidate = std::pair<const Address, Requester>;

    /** A request that has not been sent, or has failed and is to be sent again. */
    struct WaitingRequest
    {
        AdviceRequest adviceRequest;
        Callback callback;
        std::uint64_t sequenceNumber = 0;
        int failures = 0;

        /** The most urgent request has the lowest rank. */
        std::pair<int, std::uint64_t> rank() const
        {
            return { adviceRequest.priority, sequenceNumber };
        }
    };

    Impl(EventLoop &loop, Advisor *localAdvisor, Address selfAddress, std::function<std::vector<Address>()> members)
        : loop(loop), localAdvisor(localAdvisor), selfAddress(std::move(selfAddress)), members(std::move(members))
    {
    }

    void wait(WaitingRequest entry);
    /** Sends as many of the waiting requests as there are processes for them, the most urgent first. */
    void sendWaiting();
    /** Brings usableCount and freeCount up to date; nothing is read or counted if nothing can have changed since the last call. */
    void updateCounts();
    void updateCandidates();
    /** The number of processes that a request leaves free for short ones. */
    std::size_t reservedCount(Milliseconds expected) const;
    static bool isFree(const Requester &requester, TimePoint now);
    /** Counts a request that is sent by a process. */
    void open(Requester &requester);
    /** Counts a request that has ended at a process. */
    void close(Requester &requester);
    /** Queues a failed request again, or ends it as failed after maxAttempts. */
    void retry(WaitingRequest entry);
    void sendToPeer(Candidate &candidate, WaitingRequest entry);
    void onReply(Candidate &candidate, WaitingRequest entry, const SendResult &sent);
    void askLocalAdvisor(Requester &requester, WaitingRequest entry);
    void finish(Requester &requester, const Callback &callback, AdviceResult result);

    EventLoop &loop;
    Advisor *localAdvisor;
    Address selfAddress;
    std::function<std::vector<Address>()> members;
    /** All processes that were ever members. */
    std::map<Address, Requester> requesters;
    /** The present members in the order in which they are used, this process last. */
    std::vector<Candidate *> candidates;
    std::optional<TimePoint> candidatesReadAt;
    /** The candidates that are not avoided. */
    std::size_t usableCount = 0;
    /** Those of them that have no request in flight. */
    std::size_t freeCount = 0;
    bool areCountsValid = false;
    /** When the counts change because a candidate is no longer avoided. */
    TimePoint countsValidUntil;
    std::map<std::pair<int, std::uint64_t>, WaitingRequest> waitingRequests;
    std::uint64_t nextSequenceNumber = 0;
};

bool AdvicePool::Impl::isFree(const Requester &requester, TimePoint now)
{
    return requester.avoidUntil <= now && requester.openRequests == 0;
}

void AdvicePool::Impl::open(Requester &requester)
{
    ++requester.openRequests;
    areCountsValid = false;
}

void AdvicePool::Impl::close(Requester &requester)
{
    --requester.openRequests;
    areCountsValid = false;
}

void AdvicePool::Impl::updateCandidates()
{
    candidates.clear();
    for (const auto &address : members()) {
        if (address != selfAddress) {
            candidates.push_back(&*requesters.try_emplace(address).first);
        }
    }
    candidates.push_back(&*requesters.try_emplace(selfAddress).first);
    areCountsValid = false;
}

void AdvicePool::Impl::updateCounts()
{
    const auto now = loop.now();
    if (!candidatesReadAt || now - *candidatesReadAt >= maxMembersAge) {
        candidatesReadAt = now;
        updateCandidates();
    }
    if (areCountsValid && now < countsValidUntil) {
        return;
    }
    areCountsValid = true;
    countsValidUntil = TimePoint::max();
    usableCount = 0;
    freeCount = 0;
    for (const auto *candidate : candidates) {
        const auto &requester = candidate->second;
        if (requester.avoidUntil > now) {
            countsValidUntil = std::min(countsValidUntil, requester.avoidUntil);
            continue;
        }
        ++usableCount;
        freeCount += requester.openRequests == 0 ? 1 : 0;
    }
}

std::size_t AdvicePool::Impl::reservedCount(Milliseconds expected) const
{
    return expected > maxShortRequestTime && usableCount > 1 ? std::max<std::size_t>(1, usableCount / requestersPerReserved) : 0;
}

void AdvicePool::Impl::wait(WaitingRequest entry)
{
    const auto rank = entry.rank();
    waitingRequests.emplace(rank, std::move(entry));
    sendWaiting();
}

void AdvicePool::Impl::sendWaiting()
{
    updateCounts();
    const auto now = loop.now();
    auto available = freeCount;
    auto candidate = candidates.begin();
    for (auto next = waitingRequests.begin(); next != waitingRequests.end() && available > 0;) {
        if (available <= reservedCount(next->second.adviceRequest.expected)) {
            ++next;
            continue;
        }
        candidate = std::find_if(candidate, candidates.end(), [now](const auto *each) { return isFree(each->second, now); });
        if (candidate == candidates.end()) {
            return;
        }
        auto entry = std::move(next->second);
        next = waitingRequests.erase(next);
        --available;
        if ((*candidate)->first == selfAddress) {
            askLocalAdvisor((*candidate)->second, std::move(entry));
        } else {
            sendToPeer(**candidate, std::move(entry));
        }
    }
}

void AdvicePool::Impl::finish(Requester &requester, const Callback &callback, AdviceResult result)
{
    close(requester);
    callback(std::move(result));
    sendWaiting();
}

void AdvicePool::Impl::askLocalAdvisor(Requester &requester, WaitingRequest entry)
{
    open(requester);
    localAdvisor->ask(entry.adviceRequest,
                      [impl = shared_from_this(), &requester, callback = std::move(entry.callback)](AdviceResult result) {
                          impl->finish(requester, callback, std::move(result));
                      });
}

void AdvicePool::Impl::sendToPeer(Candidate &candidate, WaitingRequest entry)
{
    auto &[address, requester] = candidate;
    if (!requester.channels) {
        requester.channels = std::make_unique<HttpChannels>(loop, address, requesterLimits);
    }
    open(requester);
    auto request = PeerCodec::adviceRequest(entry.adviceRequest);
    const auto timeout = std::min(entry.adviceRequest.timeout, entry.adviceRequest.expected * 3 / 2 + replyMargin);
    requester.channels->send(std::move(request),
                             timeout,
                             [impl = shared_from_this(), &candidate, entry = std::move(entry)](const SendResult &sent) mutable {
                                 impl->onReply(candidate, std::move(entry), sent);
                             });
}

void AdvicePool::Impl::onReply(Candidate &candidate, WaitingRequest entry, const SendResult &sent)
{
    auto &[address, requester] = candidate;
    auto result = sent.hasStatus(200) ? PeerCodec::readAdviceReply(sent.reply) : std::nullopt;
    if (result && result->outcome == AdviceResult::Outcome::Answered) {
        finish(requester, entry.callback, std::move(*result));
        return;
    }
    EventLog::write("advice.failed",
                    { { "job", entry.adviceRequest.step.job }, { "at", address.text() }, { "detail", sent.error } });
    close(requester);
    requester.avoidUntil = loop.now() + failureBackoff;
    retry(std::move(entry));
}

void AdvicePool::Impl::retry(WaitingRequest entry)
{
    if (++entry.failures < maxAttempts) {
        wait(std::move(entry));
        return;
    }
    entry.callback({});
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
    impl_->wait({ adviceRequest, std::move(callback), impl_->nextSequenceNumber++ });
}

bool AdvicePool::canSendNow(Milliseconds expected) const
{
    if (impl_->localAdvisor == nullptr) {
        return true;
    }
    impl_->updateCounts();
    return impl_->freeCount > impl_->reservedCount(expected) + impl_->waitingRequests.size();
}

} // namespace auburndoor
