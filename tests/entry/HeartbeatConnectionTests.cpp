#include "dispatch/CommitQueue.h"
#include "entry/Leadership.h"
#include "fakes/FakeStore.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace auburndoor;

namespace {

/** The owner of a large cell, which holds each heartbeat request for long, and whose connections a test resets. */
class DistantOwner
{
public:
    explicit DistantOwner(EventLoop &loop)
        : loop_(loop)
        , listener_(std::make_unique<HttpListener>(
              loop,
              HttpListenerLimits(),
              [this](const WebRequest &request, const HttpResponderPointer &responder) { answer(request, responder); }))
    {
        std::string error;
        REQUIRE(listener_->listen({ "127.0.0.1", 0 }, error));
        port_ = listener_->port();
    }

    /** Breaks the connections on which heartbeats are awaited; new ones open as before. */
    void resetConnections()
    {
        for (const auto &[number, responder] : std::exchange(openRequests_, {})) {
            responder->abandon();
        }
    }

    /** Ends the owner: its connections break, and further ones are refused. */
    void kill()
    {
        resetConnections();
        listener_.reset();
    }

    Address address() const
    {
        return { "127.0.0.1", port_ };
    }

private:
    void answer(const WebRequest &request, const HttpResponderPointer &responder)
    {
        const bool isFirst = request.target.ends_with(PeerCodec::firstHeartbeatQuery);
        const int number = ++lastRequest_;
        openRequests_[number] = responder;
        loop_.after(isFirst ? Milliseconds(0) : heartbeatDelay, [this, number] {
            if (const auto open = openRequests_.extract(number)) {
                OwnerHeartbeat heartbeat { "owner", 1, Milliseconds(0), true, 1, 1.0, {} };
                heartbeat.nextDelay = heartbeatDelay;
                open.mapped()->reply(PeerCodec::heartbeatReply(heartbeat));
            }
        });
    }

    static constexpr Milliseconds heartbeatDelay { 600 };

    EventLoop &loop_;
    std::unique_ptr<HttpListener> listener_;
    std::uint16_t port_ = 0;
    /** The requests without an answer, by number. */
    std::map<int, HttpResponderPointer> openRequests_;
    int lastRequest_ = 0;
};

} // namespace

// Guards against a takeover because connections were reset: a request that was repeated on a new connection was held for the whole
// delay again, and its time had passed then.
TEST_CASE("a follower whose connection to the owner is reset asks again, and replaces only an owner that is gone")
{
    constexpr int resets = 5;
    EventLoop loop;
    FakeStore store(loop);
    DistantOwner owner(loop);
    store.write(
        FencingRows::table, FencingRows::epochKey, R"({"token":1,"owner":"owner","address":")" + owner.address().text() + R"("})");
    EntrySettings settings;
    settings.nodeName = "follower";
    settings.peers = { "127.0.0.1", 1 };
    std::optional<Ownership> won;
    Leadership leadership(loop,
                          store,
                          settings,
                          LeadershipTiming(),
                          { [&won](const Ownership &ownership) { won = ownership; }, [] { return std::nullopt; } });
    leadership.start();
    const auto runFor = [&loop](Milliseconds duration) {
        loop.after(duration, [&loop] { loop.stop(); });
        loop.run();
    };
    runFor(Milliseconds(200));
    for (int reset = 0; reset < resets; ++reset) {
        runFor(Milliseconds(500));
        owner.resetConnections();
    }
    runFor(Milliseconds(1500));
    CHECK_FALSE(won.has_value());
    CHECK(leadership.ownerAddress() == owner.address());
    owner.kill();
    runFor(Milliseconds(300));
    CHECK(won.has_value());
}
