#include "entry/AdvicePool.h"

#include "entry/PeerCodec.h"
#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <map>

namespace auburndoor {

namespace {

constexpr HttpChannelLimits askerLimits { .maxConnections = 8, .connectTimeout = Milliseconds(400) };
// An asker that failed is left out for a while.
constexpr Milliseconds failurePause { 1000 };

} // namespace

struct AdvicePool::Impl : std::enable_shared_from_this<AdvicePool::Impl>
{
    /** One machine that asks. */
    struct Asker
    {
        std::unique_ptr<HttpChannels> channels;
        /** Workers named in open questions, with a constant for each question: the work that waits there. */
        std::size_t openWork = 0;
        TimePoint avoidUntil;
    };

    Impl(EventLoop &loop, Advisor *local, Address self, std::function<std::vector<Address>()> members)
        : loop(loop)
        , local(local)
        , self(std::move(self))
        , members(std::move(members))
    {
    }

    Address leastLoaded();
    void askAt(const Address &address, const AdviceQuestion &question, Callback callback);
    void askLocally(const AdviceQuestion &question, Callback callback);

    EventLoop &loop;
    Advisor *local;
    Address self;
    std::function<std::vector<Address>()> members;
    std::map<Address, Asker> askers;
    bool isClosed = false;
};

namespace {

/** A question costs a fixed time and a time for each worker; the first is that of about 70 workers in the deployments. */
std::size_t workOf(const AdviceQuestion &question)
{
    constexpr std::size_t fixedPart = 70;
    return fixedPart + question.workers.size();
}

} // namespace

Address AdvicePool::Impl::leastLoaded()
{
    Address best = self;
    auto bestWork = askers[self].openWork;
    for (const auto &member : members()) {
        auto &asker = askers[member];
        if (asker.openWork < bestWork && asker.avoidUntil <= loop.now()) {
            best = member;
            bestWork = asker.openWork;
        }
    }
    return best;
}

void AdvicePool::Impl::askLocally(const AdviceQuestion &question, Callback callback)
{
    askers[self].openWork += workOf(question);
    local->ask(question.step,
               question.workers,
               question.timeout,
               [impl = shared_from_this(), work = workOf(question), callback = std::move(callback)](AdviceResult result) {
                   impl->askers[impl->self].openWork -= work;
                   callback(std::move(result));
               });
}

void AdvicePool::Impl::askAt(const Address &address, const AdviceQuestion &question, Callback callback)
{
    auto &asker = askers[address];
    if (!asker.channels) {
        asker.channels = std::make_unique<HttpChannels>(loop, address, askerLimits);
    }
    asker.openWork += workOf(question);
    asker.channels->send(PeerCodec::adviceRequest(question),
                         question.timeout,
                         [impl = shared_from_this(), address, question, callback = std::move(callback)](const SendResult &sent) {
                             auto &used = impl->askers[address];
                             used.openWork -= workOf(question);
                             auto result = sent.hasStatus(200) ? PeerCodec::readAdviceReply(sent.reply) : std::nullopt;
                             if (result && result->outcome == AdviceResult::Outcome::Answered) {
                                 callback(std::move(*result));
                                 return;
                             }
                             EventLog::write("advice.failed", { { "job", question.step.job }, { "at", address.text() }, { "detail", sent.error } });
                             used.avoidUntil = impl->loop.now() + failurePause;
                             impl->askLocally(question, callback);
                         });
}

AdvicePool::AdvicePool(EventLoop &loop, Advisor *local, Address self, std::function<std::vector<Address>()> members)
    : impl_(std::make_shared<Impl>(loop, local, std::move(self), std::move(members)))
{
}

AdvicePool::~AdvicePool() = default;

void AdvicePool::ask(const TaskName &step, const std::vector<std::string> &workers, Milliseconds timeout, Callback callback)
{
    const AdviceQuestion question { step, workers, timeout };
    if (impl_->local == nullptr) {
        impl_->loop.after(Milliseconds(0), [callback = std::move(callback)] { callback({}); });
        return;
    }
    const auto address = impl_->leastLoaded();
    if (address == impl_->self) {
        impl_->askLocally(question, std::move(callback));
    } else {
        impl_->askAt(address, question, std::move(callback));
    }
}

} // namespace auburndoor
