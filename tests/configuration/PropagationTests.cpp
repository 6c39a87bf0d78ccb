#include "configuration/Cell.h"
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

ConfigurationAnnouncement announcementOf(long long version, const std::string &text)
{
    return { version, Digest::of(text), text };
}

/** One manager whose peers are mocked. */
struct Lone
{
    SkippingClock clock;
    FakeTableService table;
    MemoryObjectStore objects;
    Metrics metrics;
    MockAnnouncer announcer;
    ConfigurationManager manager { table, objects, clock, metrics, announcer, { InstanceId("self"), {}, {}, {} } };
};

} // namespace

TEST_CASE("only higher versions whose text has the digest are taken from a peer", "[configuration]")
{
    // Guards against a version that reverts, and against a text that was damaged or belongs to another version.
    Lone lone;
    ALLOW_CALL(lone.announcer, fetch(ANY(const InstanceId &), ANY(TimePoint), ANY(Failure &))).RETURN(std::nullopt);
    std::vector<long long> seen;
    lone.manager.addListener([&](const auto &declaration) { seen.push_back(declaration->version); });
    CHECK(lone.manager.offer(announcementOf(5, fileOf(5))) == 5);
    CHECK(lone.manager.offer(announcementOf(4, fileOf(4))) == 5);
    CHECK(lone.manager.offer({ 6, Digest::of(fileOf(6)), fileOf(7) }) == 5);
    CHECK(lone.manager.offer(announcementOf(6, "{\"service\":{}}")) == 5);
    CHECK(lone.manager.offer(announcementOf(5, fileOf(9))) == 5);
    CHECK(lone.manager.current()->text == fileOf(5));
    CHECK(lone.metrics.counter("configuration_refused_bodies_total", "other-digest") == 1);
    CHECK(lone.manager.offer(announcementOf(7, fileOf(7))) == 7);
    CHECK(seen == std::vector<long long> { 5, 7 });
    lone.manager.addListener([&](const auto &declaration) { seen.push_back(declaration->version * 10); });
    CHECK(seen.back() == 70);
}

TEST_CASE("an announcement without text gets it from the object store, else from the sender", "[configuration]")
{
    Lone lone;
    const auto named = announcementOf(3, fileOf(3));
    const ConfigurationAnnouncement withoutText { named.version, named.digest, {} };
    const InstanceId sender("entry-9");
    SECTION("from the object store")
    {
        FORBID_CALL(lone.announcer, fetch(ANY(const InstanceId &), ANY(TimePoint), ANY(Failure &)));
        REQUIRE(lone.objects.put("configuration/" + named.digest, named.text, {}, *std::make_unique<Failure>()));
        CHECK(lone.manager.offer(withoutText, sender) == 3);
    }
    SECTION("from the sender when the store has other bytes")
    {
        REQUIRE(lone.objects.put("configuration/" + named.digest, named.text, {}, *std::make_unique<Failure>()));
        lone.objects.corrupt();
        REQUIRE_CALL(lone.announcer, fetch(sender, ANY(TimePoint), ANY(Failure &))).RETURN(named);
        CHECK(lone.manager.offer(withoutText, sender) == 3);
    }
    SECTION("from nowhere, if the sender's text has another digest")
    {
        lone.objects.isDown = true;
        REQUIRE_CALL(lone.announcer, fetch(sender, ANY(TimePoint), ANY(Failure &)))
            .RETURN(ConfigurationAnnouncement { 3, named.digest, fileOf(8) });
        CHECK(lone.manager.offer(withoutText, sender) == 0);
    }
}

TEST_CASE("an instance is ready once it has the head, or the peers' highest version while the table is down", "[configuration]")
{
    // Guards against a fresh instance that serves with an empty or old configuration.
    Cell cell(3);
    auto &fresh = cell.manager(2);
    SECTION("the table is up, and nothing has been applied")
    {
        CHECK(fresh.refresh(cell.deadline()));
        CHECK(fresh.isReady());
    }
    SECTION("the table is down, and no peer has a version")
    {
        cell.table.setDown(true);
        CHECK_FALSE(fresh.refresh(cell.deadline()));
        CHECK_FALSE(fresh.isReady());
    }
    SECTION("the table is down, and the peers have different versions")
    {
        cell.announcers[0]->isCut = true;
        cell.apply(0, fileOf(1));
        cell.manager(1).refresh(cell.deadline());
        cell.apply(0, fileOf(2));
        cell.table.setDown(true);
        cell.objects.isDown = true;
        CHECK_FALSE(fresh.isReady());
        CHECK(fresh.refresh(cell.deadline()));
        CHECK(fresh.current()->version == 2);
        CHECK(fresh.isReady());
    }
    SECTION("the head is known, but its text is nowhere")
    {
        cell.announcers[0]->isCut = true;
        cell.announcers[2]->isCut = true;
        cell.apply(0, fileOf(1));
        cell.objects.corrupt();
        CHECK_FALSE(fresh.refresh(cell.deadline()));
        CHECK_FALSE(fresh.isReady());
        cell.announcers[2]->isCut = false;
        CHECK(fresh.refresh(cell.deadline()));
        CHECK(fresh.isReady());
    }
}

TEST_CASE("the polling thread takes a version within one period, and at once when a heartbeat names it", "[configuration]")
{
    // Guards against a version that is in force nowhere else after the push to the peers was lost.
    ManualClock clock;
    FakeTableService table;
    MemoryObjectStore objects;
    Metrics metrics;
    LocalAnnouncer silent;
    const ConfigurationOptions options { InstanceId("entry-1"), Milliseconds(1000), Milliseconds(3000), Milliseconds(2000) };
    ConfigurationManager author(table, objects, clock, metrics, silent, options);
    ConfigurationManager poller(table, objects, clock, metrics, silent, options);
    Failure failure;
    const auto awaitVersion = [&](long long version) {
        while (poller.current()->version < version) {
            std::this_thread::yield();
        }
    };
    const auto awaitWaiter = [&] {
        while (clock.waiterCount() == 0) {
            std::this_thread::yield();
        }
    };
    poller.start();
    awaitWaiter();
    REQUIRE(author.apply(fileOf(1), {}, "ana", clock.now() + Milliseconds(1000), failure).status == ApplyStatus::Accepted);
    CHECK(poller.current()->version == 0);
    clock.advance(Milliseconds(1000));
    awaitVersion(1);
    awaitWaiter();
    REQUIRE(author.apply(fileOf(2), {}, "ana", clock.now() + Milliseconds(1000), failure).status == ApplyStatus::Accepted);
    poller.noticeVersion(2);
    awaitVersion(2);
    CHECK(poller.current()->text == fileOf(2));
    poller.stop();
}
