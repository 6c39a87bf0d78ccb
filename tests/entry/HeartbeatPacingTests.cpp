#include "entry/HeartbeatPacing.h"
#include "entry/PeerCodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace auburndoor;

namespace {

constexpr Milliseconds minDelay { 250 };
constexpr Milliseconds minGrace { 350 };

std::vector<Address> makeMembers(std::size_t count)
{
    std::vector<Address> members;
    for (std::size_t number = 0; number < count; ++number) {
        members.push_back({ "10.20." + std::to_string(number / 250) + "." + std::to_string(number % 250), 8701 });
    }
    return members;
}

/** The bytes of heartbeats that the owner of a cell of this size sends in a second. */
double heartbeatBytesInSecond(std::size_t followers)
{
    std::mt19937_64 random(1);
    OwnerHeartbeat heartbeat;
    heartbeat.owner = "edge-kingston-a-3";
    heartbeat.members = HeartbeatPacing::sampleMembers(makeMembers(followers), random);
    const auto bytes = PeerCodec::heartbeatReply(heartbeat).body.size();
    const auto delay = HeartbeatPacing::computeDelay(followers, minDelay);
    return static_cast<double>(bytes * followers) * 1000.0 / static_cast<double>(delay.count());
}

} // namespace

// The pattern is traffic that grows with the square of the size: each of n followers gets a list of n members several times a
// second. The smallest links carry 2 Mbit/s, of which heartbeats may use a quarter at 150 machines.
TEST_CASE("the heartbeats of a large cell leave the owner's link to the work")
{
    constexpr double quarterOfLink = 2e6 / 8 / 4;
    CHECK(heartbeatBytesInSecond(24) < quarterOfLink);
    CHECK(heartbeatBytesInSecond(150) < 2 * quarterOfLink);
    // Beyond that the cost grows in proportion to the number of followers at most.
    CHECK(heartbeatBytesInSecond(600) < 4.2 * heartbeatBytesInSecond(150));
}

TEST_CASE("the delay of heartbeats grows with the cell within its bounds")
{
    CHECK(HeartbeatPacing::computeDelay(0, minDelay) == minDelay);
    CHECK(HeartbeatPacing::computeDelay(45, minDelay) == minDelay);
    CHECK(HeartbeatPacing::computeDelay(100, minDelay) > minDelay);
    CHECK(HeartbeatPacing::computeDelay(10000, minDelay) < Milliseconds(1000));
}

TEST_CASE("a follower waits longer for a busy owner, and a frozen one is found all the same")
{
    CHECK(HeartbeatPacing::computeGracePeriod(Milliseconds(0), minGrace) == minGrace);
    CHECK(HeartbeatPacing::computeGracePeriod(Milliseconds(500), minGrace) >= Milliseconds(1000));
    CHECK(HeartbeatPacing::computeGracePeriod(Milliseconds(60000), minGrace) <= Milliseconds(2000));
    CHECK(HeartbeatPacing::computeGracePeriod(Milliseconds::max(), minGrace) <= Milliseconds(2000));
    CHECK(HeartbeatPacing::limitAnnouncedDelay(Milliseconds::max(), minDelay) < Milliseconds(1000));
    CHECK(HeartbeatPacing::limitAnnouncedDelay(Milliseconds(0), minDelay) == minDelay);
}

TEST_CASE("a sample of the members names different ones each time")
{
    std::mt19937_64 random(1);
    const auto members = makeMembers(300);
    const auto first = HeartbeatPacing::sampleMembers(members, random);
    const auto second = HeartbeatPacing::sampleMembers(members, random);
    CHECK(first.size() == HeartbeatPacing::maxSampledMembers);
    CHECK(first != second);
    const auto few = makeMembers(3);
    CHECK(HeartbeatPacing::sampleMembers(few, random) == few);
}

TEST_CASE("the heartbeat of an earlier release is read")
{
    const WebReply reply { 200, R"({"owner":"n","token":3,"store_away":0,"ready":true,"desired":1,"share":0.5,"members":[]})", {} };
    const auto heartbeat = PeerCodec::readHeartbeat(reply);
    REQUIRE(heartbeat);
    CHECK(heartbeat->loopDelay == Milliseconds(0));
    CHECK(heartbeat->nextDelay == Milliseconds(0));
}
