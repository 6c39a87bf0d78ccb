#include "core/ManualClock.h"
#include "membership/MembershipView.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

const ServiceId service("service");

Member makeMember(const std::string &id, int freePlaces, long long sequence = 1, long long incarnation = 1)
{
    Member member;
    member.id = InstanceId(id);
    member.incarnation = incarnation;
    member.peerAddress = "127.0.0.1:1";
    member.summary = { sequence, { { service, freePlaces, 0 } } };
    return member;
}

struct ViewFixture
{
    std::shared_ptr<Peer> connect(const Member &)
    {
        ++connections;
        return nullptr;
    }

    /** Claims places 1000 times, more than the peers have. @return the claimed places by peer */
    std::map<std::string, int> claimAllPlaces(const std::set<InstanceId> &excluded = {})
    {
        std::map<std::string, int> claims;
        for (int count = 0; count < 1000; ++count) {
            if (const auto peer = view.claimPlace(service, excluded)) {
                ++claims[peer->text()];
            }
        }
        return claims;
    }

    ManualClock clock;
    Metrics metrics;
    int connections = 0;
    MembershipView view { makeMember("self", 0), [this](const Member &member) { return connect(member); }, {}, clock, metrics };
};

} // namespace

TEST_CASE("messages of an earlier process or an older summary are dropped", "[membership]")
{
    // Guards against an old message that restores free places already taken, or a process that has ended.
    ViewFixture fixture;
    fixture.view.receive(makeMember("a", 5, 7, 3));
    fixture.view.receive(makeMember("a", 50, 6, 3));
    fixture.view.receive(makeMember("a", 50, 99, 2));
    CHECK(fixture.view.member(InstanceId("a"))->summary.pools.at(0).freePlaces == 5);
    CHECK(fixture.metrics.counter("heartbeats_dropped_total", "old-summary") == 1);
    CHECK(fixture.metrics.counter("heartbeats_dropped_total", "old-incarnation") == 1);
    // A later process starts its sequence at 1 again.
    fixture.view.receive(makeMember("a", 4, 1, 4));
    CHECK(fixture.view.member(InstanceId("a"))->summary.pools.at(0).freePlaces == 4);
    CHECK(fixture.connections == 2);
}

TEST_CASE("a member is live until the suspicion time after its last message", "[membership]")
{
    // Guards against forwarding to instances that are gone.
    ViewFixture fixture;
    fixture.view.receive(makeMember("a", 1));
    fixture.clock.advance(1999ms);
    CHECK(fixture.view.livePeers() == std::vector { InstanceId("a") });
    fixture.clock.advance(1ms);
    CHECK(fixture.view.livePeers().empty());
    CHECK_FALSE(fixture.view.claimPlace(service, {}));
    CHECK(fixture.view.heartbeatTargets().size() == 1);
    fixture.view.update(makeMember("a", 1));
    CHECK(fixture.view.livePeers().size() == 1);
}

TEST_CASE("requests of one summary period are spread by free places", "[membership]")
{
    // Guards against sending all requests between two summaries to the peer that had the most free places in the first summary.
    ViewFixture fixture;
    fixture.view.receive(makeMember("a", 10));
    fixture.view.receive(makeMember("b", 9));
    fixture.view.receive(makeMember("c", 3));
    CHECK(fixture.claimAllPlaces() == std::map<std::string, int> { { "a", 10 }, { "b", 9 }, { "c", 3 } });
    // Only the next summary of a peer makes places free again.
    fixture.view.receive(makeMember("a", 2, 2));
    CHECK(fixture.claimAllPlaces() == std::map<std::string, int> { { "a", 2 } });
}

TEST_CASE("claims that had no effect on the summary expire with a later heartbeat", "[membership]")
{
    // Guards against a peer that gets no more requests because its summary does not change and so never removes the claims.
    ViewFixture fixture;
    fixture.view.receive(makeMember("a", 2));
    CHECK(fixture.claimAllPlaces().at("a") == 2);
    fixture.clock.advance(100ms);
    fixture.view.receive(makeMember("a", 2));
    CHECK(fixture.claimAllPlaces().empty());
    fixture.clock.advance(400ms);
    fixture.view.receive(makeMember("a", 2));
    CHECK(fixture.claimAllPlaces().at("a") == 2);
}

TEST_CASE("a leaving member gets work only while it announces free places; excluded and unheard members get none", "[membership]")
{
    // Guards against new work for an instance that has released its workers or has just refused, and against workers that are idle
    // while their leaving owner waits for the table to release them.
    ViewFixture fixture;
    auto leaving = makeMember("a", 2);
    leaving.isLeaving = true;
    fixture.view.receive(leaving);
    CHECK(fixture.claimAllPlaces() == std::map<std::string, int> { { "a", 2 } });
    leaving.summary.pools.clear();
    ++leaving.summary.sequence;
    fixture.view.receive(leaving);
    fixture.view.receive(makeMember("b", 8));
    fixture.view.receive(makeMember("c", 1));
    fixture.view.addRegistered({ leaving, makeMember("b", 8), makeMember("c", 1), makeMember("d", 99) });
    CHECK(fixture.claimAllPlaces({ InstanceId("b") }) == std::map<std::string, int> { { "c", 1 } });
    CHECK_FALSE(fixture.view.claimPlace(ServiceId("other"), {}));
}

TEST_CASE("ties are broken at random", "[membership]")
{
    // Guards against all instances of the cell choosing the same one of several peers with equally many free places.
    ViewFixture fixture;
    std::map<std::string, int> first;
    for (long long round = 1; round <= 300; ++round) {
        for (const auto *id : { "a", "b", "c" }) {
            fixture.view.receive(makeMember(id, 4, round));
        }
        ++first[fixture.view.claimPlace(service, {})->text()];
    }
    for (const auto *id : { "a", "b", "c" }) {
        CHECK(first[id] > 50);
    }
}

TEST_CASE("members are discovered from the table and removed after the retention time without a message", "[membership]")
{
    // Guards against instances that never exchange heartbeats because neither knows the other, and against heartbeats to dead ones.
    ViewFixture fixture;
    int changes = 0;
    fixture.view.setChangeListener([&] { ++changes; });
    fixture.view.addRegistered({ makeMember("self", 0), makeMember("a", 0) });
    fixture.view.addRegistered({ makeMember("self", 0), makeMember("a", 0) });
    CHECK(changes == 1);
    REQUIRE(fixture.view.heartbeatTargets().size() == 1);
    CHECK(fixture.view.livePeers().empty());
    fixture.view.receive(makeMember("a", 1));
    fixture.clock.advance(29s);
    fixture.view.addRegistered({});
    CHECK(fixture.view.heartbeatTargets().size() == 1);
    fixture.clock.advance(1s);
    fixture.view.addRegistered({});
    CHECK(fixture.view.heartbeatTargets().empty());
}

TEST_CASE("an answer to a heartbeat counts as a delivery", "[membership]")
{
    // Guards against two exchanges for each pair and change instead of one, which would double the traffic.
    ViewFixture fixture;
    fixture.view.setPools({ { service, 3, 1 } });
    fixture.view.receive(makeMember("a", 1));
    const auto target = fixture.view.heartbeatTargets().at(0);
    CHECK(target.deliveredRevision == fixture.view.revision());
    CHECK(target.lastDeliveryTime == fixture.clock.now());
    fixture.view.setPools({ { service, 2, 1 } });
    CHECK(fixture.view.heartbeatTargets().at(0).deliveredRevision < fixture.view.revision());
}

TEST_CASE("each change of the instance's own state raises the sequence once", "[membership]")
{
    // Guards against peers that drop a change as an old message, and against heartbeats sent early without a change.
    ViewFixture fixture;
    int changes = 0;
    fixture.view.setChangeListener([&] { ++changes; });
    const auto before = fixture.view.self().summary.sequence;
    fixture.view.setPools({ { service, 3, 1 } });
    fixture.view.setPools({ { service, 3, 1 } });
    fixture.view.setConfigurationVersion(4);
    fixture.view.setLeaving();
    fixture.view.setLeaving();
    CHECK(changes == 3);
    CHECK(fixture.view.self().summary.sequence == before + 3);
    CHECK(fixture.view.self().isLeaving);
}
