#include "entry/AdvicePool.h"
#include "entry/PeerCodec.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

/** The advisory service as this machine reaches it: it records all requests and answers none by itself. */
class RecordingAdvisor : public Advisor
{
public:
    void ask(const AdviceRequest &adviceRequest, Callback callback) override
    {
        adviceRequests.emplace_back(adviceRequest, std::move(callback));
    }

    std::vector<std::pair<AdviceRequest, Callback>> adviceRequests;
};

AdviceRequest adviceRequestFor(const std::string &job)
{
    AdviceRequest adviceRequest;
    adviceRequest.step.job = job;
    adviceRequest.workers = { "w1" };
    adviceRequest.expected = Milliseconds(50);
    adviceRequest.timeout = Milliseconds(2000);
    return adviceRequest;
}

/** An event loop, this machine's advisor, and another entry process that answers each advice request with a permit. */
struct AdvicePoolFixture
{
    AdvicePoolFixture()
        : listener(loop, HttpListenerLimits(), [this](const WebRequest &request, const HttpResponderPointer &responder) {
            const auto adviceRequest = PeerCodec::readAdviceRequest(request);
            INFO(request.method << " " << request.target << " " << request.body);
            REQUIRE(adviceRequest);
            ++receivedByPeer;
            responder->reply(PeerCodec::adviceReply(
                { AdviceResult::Outcome::Answered, { { adviceRequest->workers.front(), "ticket" } }, Milliseconds(2000) }));
        })
    {
        std::string error;
        REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
    }

    void runFor(Milliseconds time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    EventLoop loop;
    RecordingAdvisor localAdvisor;
    HttpListener listener;
    int receivedByPeer = 0;
};

// The peer address of a process that has ended: nothing listens there.
const Address endedProcess { "127.0.0.1", 1 };

} // namespace

// Guards against requests that all wait for the owner's own machine after the processes that sent them have ended.
TEST_CASE("an advice request that fails at one process is sent by another one")
{
    AdvicePoolFixture fixture;
    const Address peer { "127.0.0.1", fixture.listener.port() };
    AdvicePool pool(fixture.loop, &fixture.localAdvisor, { "127.0.0.1", 2 }, [&] {
        return std::vector<Address> { endedProcess, peer };
    });
    int answered = 0;
    for (const auto *job : { "a", "b", "c", "d" }) {
        pool.ask(adviceRequestFor(job), [&answered](const AdviceResult &result) {
            answered += result.outcome == AdviceResult::Outcome::Answered ? 1 : 0;
        });
    }
    fixture.runFor(Milliseconds(800));
    // One of them is in flight at this machine, whose advisor does not answer.
    CHECK(fixture.localAdvisor.adviceRequests.size() == 1);
    CHECK(answered == 3);
}

// Guards against requests that wait in the pool for a free process: they hold capacity of workers meanwhile.
TEST_CASE("the pool can send a request at once while a process has none in flight")
{
    AdvicePoolFixture fixture;
    AdvicePool pool(fixture.loop, &fixture.localAdvisor, { "127.0.0.1", 2 }, [] { return std::vector<Address>(); });
    CHECK(pool.canSendNow(Milliseconds(50)));
    pool.ask(adviceRequestFor("a"), [](const AdviceResult &) {});
    CHECK_FALSE(pool.canSendNow(Milliseconds(50)));
    fixture.localAdvisor.adviceRequests.front().second({ AdviceResult::Outcome::Answered, {}, Milliseconds(2000) });
    CHECK(pool.canSendNow(Milliseconds(50)));
}

// Guards against a pool that seems full, or free, after requests have failed: its count is kept and not taken anew for each call.
TEST_CASE("a process at which a request failed counts neither as free nor as busy until it is used again")
{
    AdvicePoolFixture fixture;
    const Address self { "127.0.0.1", 2 };
    AdvicePool pool(fixture.loop, &fixture.localAdvisor, self, [&] { return std::vector<Address> { endedProcess, self }; });
    pool.ask(adviceRequestFor("a"), [](const AdviceResult &) {});
    CHECK(pool.canSendNow(Milliseconds(50)));
    // The request fails at the ended process and is then in flight at this one.
    fixture.runFor(Milliseconds(100));
    REQUIRE(fixture.localAdvisor.adviceRequests.size() == 1);
    CHECK_FALSE(pool.canSendNow(Milliseconds(50)));
    fixture.localAdvisor.adviceRequests.front().second({ AdviceResult::Outcome::Answered, {}, Milliseconds(2000) });
    CHECK(pool.canSendNow(Milliseconds(50)));
    // One usable process has none to keep free for short requests. Two have, once the ended one is no longer avoided.
    CHECK(pool.canSendNow(Milliseconds(500)));
    pool.ask(adviceRequestFor("b"), [](const AdviceResult &) {});
    CHECK_FALSE(pool.canSendNow(Milliseconds(50)));
    fixture.runFor(Milliseconds(1000));
    CHECK(pool.canSendNow(Milliseconds(50)));
    CHECK_FALSE(pool.canSendNow(Milliseconds(500)));
}

// Guards against requests to processes that have left the cell.
TEST_CASE("a process that left the cell is not counted, and one that joined is")
{
    AdvicePoolFixture fixture;
    const Address peer { "127.0.0.1", fixture.listener.port() };
    std::vector<Address> members { peer };
    AdvicePool pool(fixture.loop, &fixture.localAdvisor, { "127.0.0.1", 2 }, [&] { return members; });
    CHECK(pool.canSendNow(Milliseconds(500)));
    members.clear();
    fixture.runFor(Milliseconds(150));
    pool.ask(adviceRequestFor("a"), [](const AdviceResult &) {});
    CHECK(fixture.localAdvisor.adviceRequests.size() == 1);
    CHECK_FALSE(pool.canSendNow(Milliseconds(50)));
    members.push_back(peer);
    fixture.runFor(Milliseconds(150));
    CHECK(pool.canSendNow(Milliseconds(50)));
    int answered = 0;
    pool.ask(adviceRequestFor("b"),
             [&answered](const AdviceResult &result) { answered += result.outcome == AdviceResult::Outcome::Answered ? 1 : 0; });
    CHECK_FALSE(pool.canSendNow(Milliseconds(50)));
    fixture.runFor(Milliseconds(100));
    CHECK(fixture.receivedByPeer == 1);
    CHECK(answered == 1);
    CHECK(pool.canSendNow(Milliseconds(50)));
}
