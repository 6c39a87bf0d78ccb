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

constexpr HttpChannelLimits askerLimits { .maxConnections = 8, .connectTimeout = Milliseconds(400) };
// An asker that failed is left out for a while.
constexpr Milliseconds failurePause { 1000 };
// Questions of urgent queues take some 30 ms, those of others 200 to 800 ms.
constexpr Milliseconds shortQuestion { 100 };
// One process in so many is left to short questions.
constexpr std::size_t reservedShare = 4;
// So many processes may fail one after the other before the question does.
constexpr int mostTries = 4;
// Beyond the time that the service works on a question: the ways there and back, and a busy asker.
constexpr Milliseconds answerSlack { 700 };

} // namespace

struct AdvicePool::Impl : std::enable_shared_from_this<AdvicePool::Impl>
{
    /** One machine that asks. */
    struct Asker
    {
        std::unique_ptr<HttpChannels> channels;
        int open = 0;
        TimePoint avoidUntil;
    };
    struct Waiting
    {
        AdviceRequest question;
        Callback callback;
        std::uint64_t number = 0;
        int failures = 0;
    };

    Impl(EventLoop &loop, Advisor *local, Address self, std::function<std::vector<Address>()> members)
        : loop(loop), local(local), self(std::move(self)), members(std::move(members))
    {
    }

    void dispatch();
    std::vector<Address> freeAskers(std::size_t &count);
    /** Asks from another process, or gives the question up. */
    void askAgain(Waiting waiting);
    void askAt(const Address &address, Waiting waiting);
    void askLocally(Waiting waiting);
    void finish(const Address &address, const Callback &callback, const AdviceResult &result);

    EventLoop &loop;
    Advisor *local;
    Address self;
    std::function<std::vector<Address>()> members;
    std::map<Address, Asker> askers;
    std::vector<Waiting> waiting;
    std::uint64_t nextNumber = 0;
};

std::vector<Address> AdvicePool::Impl::freeAskers(std::size_t &count)
{
    auto all = members();
    all.push_back(self);
    const auto now = loop.now();
    std::erase_if(all, [&](const Address &address) { return askers[address].avoidUntil > now; });
    count = all.size();
    std::erase_if(all, [&](const Address &address) { return askers[address].open > 0; });
    return all;
}

void AdvicePool::Impl::dispatch()
{
    std::size_t count = 0;
    auto free = freeAskers(count);
    std::sort(waiting.begin(), waiting.end(), [](const Waiting &left, const Waiting &right) {
        return std::tuple(left.question.priority, left.number) < std::tuple(right.question.priority, right.number);
    });
    const auto reserved = std::max<std::size_t>(1, count / reservedShare);
    for (auto next = waiting.begin(); next != waiting.end() && !free.empty();) {
        const bool isLong = next->question.expected > shortQuestion;
        if (isLong && count > 1 && free.size() <= reserved) {
            ++next;
            continue;
        }
        auto taken = std::move(*next);
        next = waiting.erase(next);
        const auto address = free.front();
        free.erase(free.begin());
        if (address == self) {
            askLocally(std::move(taken));
        } else {
            askAt(address, std::move(taken));
        }
    }
}

void AdvicePool::Impl::finish(const Address &address, const Callback &callback, const AdviceResult &result)
{
    --askers[address].open;
    callback(result);
    dispatch();
}

void AdvicePool::Impl::askLocally(Waiting taken)
{
    ++askers[self].open;
    local->ask(taken.question, [impl = shared_from_this(), callback = std::move(taken.callback)](const AdviceResult &result) {
        impl->finish(impl->self, callback, result);
    });
}

void AdvicePool::Impl::askAt(const Address &address, Waiting taken)
{
    auto &asker = askers[address];
    if (!asker.channels) {
        asker.channels = std::make_unique<HttpChannels>(loop, address, askerLimits);
    }
    ++asker.open;
    auto request = PeerCodec::adviceRequest(taken.question);
    const auto timeout = std::min(taken.question.timeout, taken.question.expected * 3 / 2 + answerSlack);
    asker.channels->send(std::move(request), timeout, [impl = shared_from_this(), address, taken](const SendResult &sent) {
        auto result = sent.hasStatus(200) ? PeerCodec::readAdviceReply(sent.reply) : std::nullopt;
        if (result && result->outcome == AdviceResult::Outcome::Answered) {
            impl->finish(address, taken.callback, *result);
            return;
        }
        EventLog::write("advice.failed",
                        { { "job", taken.question.step.job }, { "at", address.text() }, { "detail", sent.error } });
        auto &used = impl->askers[address];
        --used.open;
        used.avoidUntil = impl->loop.now() + failurePause;
        impl->askAgain(taken);
    });
}

void AdvicePool::Impl::askAgain(Waiting taken)
{
    if (++taken.failures < mostTries) {
        waiting.push_back(std::move(taken));
    } else {
        taken.callback({});
    }
    dispatch();
}

AdvicePool::AdvicePool(EventLoop &loop, Advisor *local, Address self, std::function<std::vector<Address>()> members)
    : impl_(std::make_shared<Impl>(loop, local, std::move(self), std::move(members)))
{
}

AdvicePool::~AdvicePool() = default;

void AdvicePool::ask(const AdviceRequest &question, Callback callback)
{
    if (impl_->local == nullptr) {
        impl_->loop.after(Milliseconds(0), [callback = std::move(callback)] { callback({}); });
        return;
    }
    impl_->waiting.push_back({ question, std::move(callback), impl_->nextNumber++ });
    impl_->dispatch();
}

bool AdvicePool::canSendNow(Milliseconds expected) const
{
    if (impl_->local == nullptr) {
        return true;
    }
    std::size_t count = 0;
    const auto free = impl_->freeAskers(count).size();
    const auto reserved = expected > shortQuestion && count > 1 ? std::max<std::size_t>(1, count / reservedShare) : 0;
    return free > reserved + impl_->waiting.size();
}

} // namespace auburndoor
