#include "PlatformProtocol.h"
#include "PlatformStore.h"
#include "core/TextEncoding.h"
#include "entry/DesiredStateExchange.h"
#include "entry/DesiredStateHolder.h"
#include "entry/LeadershipFixture.h"
#include "fakes/CapturedLog.h"
#include "fakes/RatedLink.h"
#include "observability/Metrics.h"
#include "workload/StoreTimeline.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace auburndoor;

namespace {

// A link on which the row of largeState() takes 2.4 s or more, longer than any time limit for a reply without a length.
constexpr std::size_t slowLinkRate = 250000;
constexpr int largeQueueCount = 2500;
constexpr Milliseconds patience { 20000 };

/** The text of a desired state with many queues, some 450 KB; version 3 has one queue more than version 2. */
std::string largeState(int version)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"services":[{"name":"cpu"}],"routes":[)";
    for (int i = 0; i < largeQueueCount + (version > 2 ? 1 : 0); ++i) {
        // Names that do not repeat each other.
        const auto name = toBase64(std::to_string(i * 7919L * 104729L));
        text += i == 0 ? "" : ",";
        text.append(R"({"name":"q)").append(name).append(R"(","host":"h)").append(name);
        text
            += R"(.example","pathPrefix":"/jobs/","service":"cpu","priority":2,"maxAttempts":3,"slackFactor":1.5,"targetLatencyMs":800})";
    }
    return text + "]}";
}

/** A store over HTTP that holds the desired state, and the process that reads it over a link with a rate. */
struct LargeStateFixture
{
    explicit LargeStateFixture(int version)
        : server(loop, {}, [this](const WebRequest &request, const HttpResponderPointer &responder) { serve(request, responder); })
    {
        write(version);
        std::string error;
        REQUIRE(server.listen({ "127.0.0.1", 0 }, error));
        link = std::make_unique<RatedLink>(loop, Address { "127.0.0.1", server.port() }, slowLinkRate);
        store = std::make_unique<platform::PlatformStore>(loop, link->address());
        holder = std::make_unique<DesiredStateHolder>(
            loop, *store, timeline, protocol, [](const DesiredState &) {}, metrics);
    }

    void write(int version)
    {
        state = version;
        row = R"({"table":"op","part":"","key":"config","schemaVer":)" + std::to_string(100 + version) + R"(,"value":")"
              + toBase64(largeState(version)) + R"("})";
    }

    void serve(const WebRequest &request, const HttpResponderPointer &responder)
    {
        const auto head = R"({"schemaVer":)" + std::to_string(100 + state) + R"(,"rows":[)";
        const bool isFeed = request.target.starts_with("/api/rows-feed");
        const auto known = "dependsOn=" + std::to_string(100 + state);
        if (!isFeed || request.target.find(known) == std::string::npos) {
            responder->reply({ 200, head + row + "]}", {} });
            return;
        }
        const bool waits = request.target.find("waitMs=0") == std::string::npos;
        loop.after(Milliseconds(waits ? 100 : 0), [responder, reply = head + "]}"] { responder->reply({ 200, reply, {} }); });
    }

    void runFor(Milliseconds time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    /** Runs until a version is in force. @return false if it is not within the patience */
    bool waitFor(int version)
    {
        const auto end = loop.now() + patience;
        while (holder->current().version < version && loop.now() < end) {
            runFor(Milliseconds(20));
        }
        return holder->current().version >= version;
    }

    EventLoop loop;
    int state = 0;
    std::string row;
    HttpListener server;
    std::unique_ptr<RatedLink> link;
    std::unique_ptr<platform::PlatformStore> store;
    StoreTimeline timeline;
    platform::PlatformProtocol protocol;
    Metrics metrics;
    std::unique_ptr<DesiredStateHolder> holder;
};

/** Another process, the owner of the cell, that has a version of the desired state. */
struct HolderProcess
{
    HolderProcess(EventLoop &loop, int version)
        : version(version), listener(loop, {}, [this](const WebRequest &request, const HttpResponderPointer &responder) {
            serve(request, responder);
        })
    {
        std::string error;
        REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
    }

    void serve(const WebRequest &request, const HttpResponderPointer &responder)
    {
        if (request.target.starts_with(PeerCodec::heartbeatPath)) {
            OwnerHeartbeat heartbeat;
            heartbeat.owner = "outside";
            heartbeat.token = 7;
            heartbeat.isReady = true;
            heartbeat.desiredStateVersion = version;
            heartbeat.processorShare = 1.0;
            responder->reply(PeerCodec::heartbeatReply(heartbeat));
            return;
        }
        const auto base = PeerCodec::readDesiredStateBase(request).value_or(-1);
        bases.push_back(base);
        const std::string baseText = base == 2 && !refusesBase ? largeState(2) : std::string();
        const DesiredStateCopy copy { largeState(version), 100 + version };
        responder->reply({ 200, copy.encode({ baseText.empty() ? 0 : base, baseText }), {} });
    }

    int version;
    bool refusesBase = false;
    std::vector<std::int64_t> bases;
    HttpListener listener;
};

} // namespace

// Guards against a process with a slow link that never gets a desired state whose transfer takes longer than a time limit.
TEST_CASE("a process with a slow link starts with a desired state of thousands of queues", "[large-state]")
{
    LargeStateFixture fixture(1);
    fixture.holder->start();
    REQUIRE(fixture.waitFor(1));
    CHECK(fixture.holder->current().queues.size() == largeQueueCount);
}

// Guards against a process with a slow link that keeps an old version, since each transfer of a newer one is given up and repeated.
TEST_CASE("a process with a slow link takes a change of thousands of queues from the feed", "[large-state]")
{
    LargeStateFixture fixture(1);
    fixture.holder->start();
    REQUIRE(fixture.waitFor(1));
    fixture.write(2);
    const auto before = fixture.link->passedBytes();
    REQUIRE(fixture.waitFor(2));
    // One transfer, not the parts of several.
    CHECK(fixture.link->passedBytes() - before < 2 * fixture.row.size());
}

// Guards against a feed that waits for a reply which has broken off: that is to be noticed as soon as a silent store.
TEST_CASE("a transfer that stops midway is given up within a second", "[large-state]")
{
    LargeStateFixture fixture(1);
    CapturedLog log;
    fixture.holder->start();
    REQUIRE(fixture.waitFor(1));
    fixture.write(2);
    while (fixture.link->passedBytes() < fixture.row.size() + fixture.row.size() / 4) {
        fixture.runFor(Milliseconds(20));
    }
    fixture.link->stall();
    const auto stalledAt = fixture.loop.now();
    while (log.lines("watch.lost").empty() && fixture.loop.now() - stalledAt < patience) {
        fixture.runFor(Milliseconds(10));
    }
    CHECK(fixture.loop.now() - stalledAt < Milliseconds(1000));
}

// Guards against a link that is full with a row which has not changed, read again for each call that names no known queue.
TEST_CASE("a refresh of an unchanged desired state does not transfer it again", "[large-state]")
{
    LargeStateFixture fixture(1);
    fixture.holder->start();
    REQUIRE(fixture.waitFor(1));
    fixture.runFor(Milliseconds(300));
    const auto before = fixture.link->passedBytes();
    int runCount = 0;
    for (int i = 0; i < 5; ++i) {
        fixture.holder->runWhenFresh(1, [&] { ++runCount; });
        fixture.runFor(Milliseconds(250));
    }
    CHECK(runCount == 5);
    CHECK(fixture.link->passedBytes() - before < 10000);
}

// Guards against a small change that costs each process the whole desired state, and against a transfer that goes on although its
// version is known.
TEST_CASE("a copy of another process brings a change and ends the transfer of the row", "[large-state]")
{
    LargeStateFixture fixture(2);
    HolderProcess other(fixture.loop, 2);
    EntrySettings settings;
    settings.nodeName = "n";
    FakeStore cellStore(fixture.loop);
    cellStore.write(FencingRows::table,
                    FencingRows::epochKey,
                    R"({"token":7,"owner":"outside","address":"127.0.0.1:)" + std::to_string(other.listener.port()) + R"("})");
    std::unique_ptr<DesiredStateExchange> exchange;
    Leadership leadership(fixture.loop,
                          cellStore,
                          settings,
                          {},
                          { [](const Ownership &) {},
                            [] { return std::nullopt; },
                            {},
                            [&] { return fixture.holder->current().version; },
                            [&] { exchange->fetchNewer(); } });
    exchange = std::make_unique<DesiredStateExchange>(fixture.loop, *fixture.holder, leadership);
    fixture.holder->start();
    leadership.start();
    exchange->start();
    REQUIRE(fixture.waitFor(2));

    const auto before = fixture.link->passedBytes();
    const auto copiedBefore = fixture.metrics.counter("desired_state_bytes_total", "source=copy");
    const auto changedAt = fixture.loop.now();
    fixture.write(3);
    other.version = 3;
    SECTION("as a difference")
    {
        REQUIRE(fixture.waitFor(3));
        CHECK(other.bases.back() == 2);
        CHECK(fixture.metrics.counter("desired_state_bytes_total", "source=copy") - copiedBefore < 2000);
    }
    SECTION("as a whole if the other process does not have its version")
    {
        other.refusesBase = true;
        REQUIRE(fixture.waitFor(3));
    }
    CHECK(fixture.loop.now() - changedAt < Milliseconds(2400));
    fixture.runFor(Milliseconds(1500));
    CHECK(fixture.link->passedBytes() - before < fixture.row.size());
    CHECK_FALSE(exchange->holderOfNewerState());
    CHECK(fixture.holder->current().queues.size() == largeQueueCount + 1);
}
