#include "core/Failure.h"
#include "core/ManualClock.h"
#include "membership/HeartbeatSender.h"
#include "observability/Metrics.h"
#include "peer/Peer.h"

#include <catch2/catch.hpp>

#include <catch2/trompeloeil.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

class MockPeer : public trompeloeil::mock_interface<Peer>
{
public:
    IMPLEMENT_MOCK3(heartbeat);
    IMPLEMENT_MOCK2(execute);
    IMPLEMENT_MOCK3(announce);
    IMPLEMENT_MOCK2(fetchConfiguration);
    IMPLEMENT_MOCK3(hold);
    IMPLEMENT_MOCK3(release);
    IMPLEMENT_MOCK4(startHeld);
    IMPLEMENT_MOCK4(queryTask);
    IMPLEMENT_MOCK4(cancelTask);
    IMPLEMENT_MOCK4(notifyJob);
};

/** A peer whose heartbeats block until the test allows the answer, and then time out, as with a host that is down. */
class UnresponsivePeer : public MockPeer
{
public:
    std::optional<Member> heartbeat(const Member &, Milliseconds, Failure &failure) override
    {
        isCalled = true;
        answerAllowed.wait();
        failure.reason = FailureReason::TimedOut;
        return std::nullopt;
    }

    std::atomic<bool> isCalled { false };
    std::promise<void> answerPromise;
    std::shared_future<void> answerAllowed = answerPromise.get_future().share();
};

Member makeMember(const std::string &id)
{
    Member member;
    member.id = InstanceId(id);
    member.incarnation = 1;
    member.summary.sequence = 1;
    return member;
}

struct SenderFixture
{
    SenderFixture()
    {
        view.addRegistered({ makeMember("b"), makeMember("a") });
    }

    std::shared_ptr<Peer> connect(const Member &member)
    {
        return member.id == InstanceId("a") ? std::static_pointer_cast<Peer>(unresponsivePeer) : respondingPeer;
    }

    /** Waits up to 20 s of real time for a delivery to "b" at the present manual time. @return false if there was none */
    bool waitForDelivery()
    {
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (std::chrono::steady_clock::now() < deadline) {
            for (const auto &target : view.heartbeatTargets()) {
                if (target.id == InstanceId("b") && target.lastDeliveryTime == clock.now()) {
                    return true;
                }
            }
            std::this_thread::yield();
        }
        return false;
    }

    ManualClock clock;
    Metrics metrics;
    std::shared_ptr<UnresponsivePeer> unresponsivePeer = std::make_shared<UnresponsivePeer>();
    std::shared_ptr<MockPeer> respondingPeer = std::make_shared<MockPeer>();
    MembershipView view { makeMember("m"), [this](const Member &member) { return connect(member); }, {}, clock, metrics };
    HeartbeatSender sender { view, {}, clock, metrics };
};

HeartbeatTarget makeTarget(const std::string &id, TimePoint lastDeliveryTime, long long deliveredRevision)
{
    return { InstanceId(id), nullptr, lastDeliveryTime, deliveredRevision };
}

} // namespace

TEST_CASE("a changed state is sent after the change period, an unchanged state after the rest period", "[membership]")
{
    // Guards against heartbeats that exceed the network budget, and against gaps that make peers suspect this instance.
    const HeartbeatTiming timing;
    const TimePoint deliveryTime = TimePoint(1h);
    const InstanceId self("m");
    const auto due = [&](const HeartbeatTarget &target, TimePoint lastAttempt) {
        return HeartbeatSender::dueTime(target, lastAttempt, self, 5, timing) - deliveryTime;
    };
    CHECK(due(makeTarget("z", deliveryTime, 4), TimePoint::min()) == 150ms);
    CHECK(due(makeTarget("z", deliveryTime, 5), TimePoint::min()) == 425ms);
    // The instance with the higher id waits 25 ms longer, so that it can answer the other's heartbeat instead of sending its own.
    CHECK(due(makeTarget("a", deliveryTime, 4), TimePoint::min()) == 175ms);
    CHECK(due(makeTarget("a", deliveryTime, 5), TimePoint::min()) == 450ms);
    // A failed exchange is not repeated at once.
    CHECK(due(makeTarget("z", deliveryTime - 10s, 4), deliveryTime) == 150ms);
    CHECK(HeartbeatSender::dueTime(makeTarget("z", TimePoint::min(), 0), TimePoint::min(), self, 5, timing) < deliveryTime);
}

TEST_CASE("a dead member delays no heartbeat to others", "[membership]")
{
    // Guards against a cell in which all instances suspect each other because one of them does not answer.
    SenderFixture fixture;
    std::atomic<int> heartbeats { 0 };
    ALLOW_CALL(*fixture.respondingPeer, heartbeat(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(++heartbeats)
        .RETURN(makeMember("b"));
    fixture.sender.start();
    REQUIRE(fixture.waitForDelivery());
    // "m" has the higher id of the pair, so the delay of 25 ms is added to the rest period of 425 ms.
    for (int round = 0; round < 4; ++round) {
        fixture.clock.advance(450ms);
        REQUIRE(fixture.waitForDelivery());
    }
    CHECK(heartbeats == 5);
    // The exchange with the dead member was in progress all the time.
    while (!fixture.unresponsivePeer->isCalled) {
        std::this_thread::yield();
    }
    CHECK(fixture.view.livePeers() == std::vector { InstanceId("b") });
    fixture.unresponsivePeer->answerPromise.set_value();
    fixture.sender.stop();
}

TEST_CASE("a stream of changes is sent at the change period", "[membership]")
{
    // Guards against one heartbeat for each placement, which would be thousands a second.
    SenderFixture fixture;
    fixture.unresponsivePeer->answerPromise.set_value();
    std::atomic<int> heartbeats { 0 };
    std::atomic<long long> lastSequence { 0 };
    ALLOW_CALL(*fixture.respondingPeer, heartbeat(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(++heartbeats)
        .LR_SIDE_EFFECT(lastSequence = _1.summary.sequence)
        .RETURN(makeMember("b"));
    fixture.view.addRegistered({ makeMember("b") });
    fixture.sender.start();
    REQUIRE(fixture.waitForDelivery());
    auto lastDeliveryTime = fixture.clock.now();
    for (int places = 1; places <= 300; ++places) {
        fixture.view.setPools({ { ServiceId("s"), places, 0 } });
        fixture.clock.advance(5ms);
        if (fixture.clock.now() >= lastDeliveryTime + 175ms) {
            REQUIRE(fixture.waitForDelivery());
            lastDeliveryTime = fixture.clock.now();
            CHECK(lastSequence == fixture.view.self().summary.sequence);
        }
    }
    // One heartbeat at the start and one in each 175 ms of 1.5 s, although the state changed 300 times.
    CHECK(heartbeats == 9);
    fixture.sender.stop();
}
