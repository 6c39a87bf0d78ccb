#include "configuration/ManagerCluster.h"
#include "core/Failure.h"
#include "declaration/Digest.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <thread>

using namespace auburndoor;

namespace {

class MockAnnouncer : public ConfigurationAnnouncer
{
public:
    MAKE_MOCK2(announce, std::vector<PeerVersion>(const ConfigurationAnnouncement &, TimePoint), override);
    MAKE_MOCK1(peerVersions, std::vector<PeerVersion>(TimePoint), override);
    MAKE_MOCK3(fetch, std::optional<ConfigurationAnnouncement>(const InstanceId &, TimePoint, Failure &), override);
};

ConfigurationAnnouncement makeAnnouncement(long long version, const std::string &text)
{
    return { version, Digest::of(text), text };
}

/** A manager whose calls to peers are mocked. */
struct ManagerWithMockedPeers
{
    AutoAdvancingClock clock;
    FakeTableService table;
    MemoryObjectStore objects;
    Metrics metrics;
    MockAnnouncer announcer;
    ConfigurationManager manager { table, objects, clock, metrics, announcer, { InstanceId("self"), {}, {}, {} } };
};

} // namespace

TEST_CASE("only a higher version whose text is valid and has the digest is accepted from a peer", "[configuration]")
{
    // Guards against going back to a lower version, and against a text that is damaged or belongs to another version.
    ManagerWithMockedPeers fixture;
    ALLOW_CALL(fixture.announcer, fetch(ANY(const InstanceId &), ANY(TimePoint), ANY(Failure &))).RETURN(std::nullopt);
    std::vector<long long> seen;
    fixture.manager.addListener([&](const auto &declaration) { seen.push_back(declaration->version); });
    CHECK(fixture.manager.offer(makeAnnouncement(5, makeFileText(5))) == 5);
    CHECK(fixture.manager.offer(makeAnnouncement(4, makeFileText(4))) == 5);
    CHECK(fixture.manager.offer({ 6, Digest::of(makeFileText(6)), makeFileText(7) }) == 5);
    CHECK(fixture.manager.offer(makeAnnouncement(6, "{\"service\":{}}")) == 5);
    CHECK(fixture.manager.offer(makeAnnouncement(5, makeFileText(9))) == 5);
    CHECK(fixture.manager.current()->text == makeFileText(5));
    CHECK(fixture.metrics.counter("configuration_refused_bodies_total", "other-digest") == 1);
    CHECK(fixture.manager.offer(makeAnnouncement(7, makeFileText(7))) == 7);
    CHECK(seen == std::vector<long long> { 5, 7 });
    fixture.manager.addListener([&](const auto &declaration) { seen.push_back(declaration->version * 10); });
    CHECK(seen.back() == 70);
}

TEST_CASE("the text of an announcement without one is read from the object store, else from the sender", "[configuration]")
{
    ManagerWithMockedPeers fixture;
    const auto announced = makeAnnouncement(3, makeFileText(3));
    const ConfigurationAnnouncement withoutText { announced.version, announced.digest, {} };
    const InstanceId sender("entry-9");
    SECTION("from the object store")
    {
        FORBID_CALL(fixture.announcer, fetch(ANY(const InstanceId &), ANY(TimePoint), ANY(Failure &)));
        REQUIRE(fixture.objects.put("configuration/" + announced.digest, announced.text, {}, *std::make_unique<Failure>()));
        CHECK(fixture.manager.offer(withoutText, sender) == 3);
    }
    SECTION("from the sender if the object in the store has another digest")
    {
        REQUIRE(fixture.objects.put("configuration/" + announced.digest, announced.text, {}, *std::make_unique<Failure>()));
        fixture.objects.corrupt();
        REQUIRE_CALL(fixture.announcer, fetch(sender, ANY(TimePoint), ANY(Failure &))).RETURN(announced);
        CHECK(fixture.manager.offer(withoutText, sender) == 3);
    }
    SECTION("not at all if the store is down and the sender's text has another digest")
    {
        fixture.objects.isDown = true;
        REQUIRE_CALL(fixture.announcer, fetch(sender, ANY(TimePoint), ANY(Failure &)))
            .RETURN(ConfigurationAnnouncement { 3, announced.digest, makeFileText(8) });
        CHECK(fixture.manager.offer(withoutText, sender) == 0);
    }
}

TEST_CASE("an instance is ready once it has the head's version or, with the table down, the peers' highest version",
          "[configuration]")
{
    // Guards against a new instance that serves with an empty or old configuration.
    ManagerCluster cluster(3);
    auto &newManager = cluster.manager(2);
    SECTION("the table is up, and nothing has been applied")
    {
        CHECK(newManager.refresh(cluster.deadline()));
        CHECK(newManager.isReady());
    }
    SECTION("the table is down, and no peer has a version")
    {
        cluster.table.setDown(true);
        CHECK_FALSE(newManager.refresh(cluster.deadline()));
        CHECK_FALSE(newManager.isReady());
    }
    SECTION("the table is down, and the peers have different versions")
    {
        cluster.announcers[0]->isDisconnected = true;
        cluster.apply(0, makeFileText(1));
        cluster.manager(1).refresh(cluster.deadline());
        cluster.apply(0, makeFileText(2));
        cluster.table.setDown(true);
        cluster.objects.isDown = true;
        CHECK_FALSE(newManager.isReady());
        CHECK(newManager.refresh(cluster.deadline()));
        CHECK(newManager.current()->version == 2);
        CHECK(newManager.isReady());
    }
    SECTION("the head can be read, but its text can be read neither from the store nor from a peer")
    {
        cluster.announcers[0]->isDisconnected = true;
        cluster.announcers[2]->isDisconnected = true;
        cluster.apply(0, makeFileText(1));
        cluster.objects.corrupt();
        CHECK_FALSE(newManager.refresh(cluster.deadline()));
        CHECK_FALSE(newManager.isReady());
        cluster.announcers[2]->isDisconnected = false;
        CHECK(newManager.refresh(cluster.deadline()));
        CHECK(newManager.isReady());
    }
}

TEST_CASE("the polling thread puts a version in force within one period, and at once when a heartbeat names it", "[configuration]")
{
    // Guards against a version that is in force at its writer only because the announcements to the peers were lost.
    ManualClock clock;
    FakeTableService table;
    MemoryObjectStore objects;
    Metrics metrics;
    LocalAnnouncer announcerWithoutPeers;
    const ConfigurationOptions options { InstanceId("entry-1"), Milliseconds(1000), Milliseconds(3000), Milliseconds(2000) };
    ConfigurationManager writer(table, objects, clock, metrics, announcerWithoutPeers, options);
    ConfigurationManager poller(table, objects, clock, metrics, announcerWithoutPeers, options);
    Failure failure;
    const auto awaitVersion = [&](long long version) {
        while (poller.current()->version < version) {
            std::this_thread::yield();
        }
    };
    const auto awaitPollerWaiting = [&] {
        while (clock.waiterCount() == 0) {
            std::this_thread::yield();
        }
    };
    poller.start();
    awaitPollerWaiting();
    REQUIRE(writer.apply(makeFileText(1), {}, "ana", clock.now() + Milliseconds(1000), failure).status == ApplyStatus::Accepted);
    CHECK(poller.current()->version == 0);
    clock.advance(Milliseconds(1000));
    awaitVersion(1);
    awaitPollerWaiting();
    REQUIRE(writer.apply(makeFileText(2), {}, "ana", clock.now() + Milliseconds(1000), failure).status == ApplyStatus::Accepted);
    poller.noticeVersion(2);
    awaitVersion(2);
    CHECK(poller.current()->text == makeFileText(2));
    poller.stop();
}
