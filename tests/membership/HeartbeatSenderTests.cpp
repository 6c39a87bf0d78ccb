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

/** A member whose exchanges wait for a gate, as with a host that has vanished. */
class VanishedPeer : public MockPeer
{
public:
    std::optional<Member> heartbeat(const Member &, Milliseconds, Failure &failure) override
    {
        isCalled = true;
        opened.wait();
        failure.reason = FailureReason::TimedOut;
        return std::nullopt;
    }

    std::atomic<bool> isCalled { false };
    std::promise<void> gate;
    std::shared_future<void> opened = gate.get_future().share();
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
        return member.id == InstanceId("a") ? std::static_pointer_cast<Peer>(first) : second;
    }

    /** Waits, in real time, until the exchange with "b" that is due now has ended. */
    bool isToldNow()
    {
        const auto giveUp = std::chrono::steady_clock::now() + 20s;
        while (std::chrono::steady_clock::now() < giveUp) {
            for (const auto &target : view.heartbeatTargets()) {
                if (target.id == InstanceId("b") && target.lastTold == clock.now()) {
                    return true;
                }
            }
            std::this_thread::yield();
        }
        return false;
    }

    ManualClock clock;
    Metrics metrics;
    std::shared_ptr<VanishedPeer> first = std::make_shared<VanishedPeer>();
    std::shared_ptr<MockPeer> second = std::make_shared<MockPeer>();
    MembershipView view { makeMember("m"), [this](const Member &member) { return connect(member); }, {}, clock, metrics };
    HeartbeatSender sender { view, {}, clock, metrics };
};

HeartbeatTarget target(const std::string &id, TimePoint lastTold, long long toldRevision)
{
    return { InstanceId(id), nullptr, lastTold, toldRevision };
}

} // namespace

TEST_CASE("a change is told after the change period, an unchanged state after the rest period", "[membership]")
{
    // Guards against heartbeats that exceed the network budget, and against silences that raise suspicion.
    const HeartbeatTiming timing;
    const TimePoint told = TimePoint(1h);
    const InstanceId self("m");
    const auto due = [&](const HeartbeatTarget &target, TimePoint attempt) {
        return HeartbeatSender::dueTime(target, attempt, self, 5, timing) - told;
    };
    CHECK(due(target("z", told, 4), TimePoint::min()) == 150ms);
    CHECK(due(target("z", told, 5), TimePoint::min()) == 425ms);
    // The instance with the higher id waits a little longer, so that the answer of the other one saves its own exchange.
    CHECK(due(target("a", told, 4), TimePoint::min()) == 175ms);
    CHECK(due(target("a", told, 5), TimePoint::min()) == 450ms);
    // A failed exchange is not repeated at once.
    CHECK(due(target("z", told - 10s, 4), told) == 150ms);
    CHECK(HeartbeatSender::dueTime(target("z", TimePoint::min(), 0), TimePoint::min(), self, 5, timing) < told);
}

TEST_CASE("a dead member delays no heartbeat to others", "[membership]")
{
    // Guards against a cell that falls apart because one instance does not answer.
    SenderFixture fixture;
    std::atomic<int> heartbeats { 0 };
    ALLOW_CALL(*fixture.second, heartbeat(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(++heartbeats)
        .RETURN(makeMember("b"));
    fixture.sender.start();
    REQUIRE(fixture.isToldNow());
    // "m" is the higher id of the pair, so the rest period has the delay added.
    for (int round = 0; round < 4; ++round) {
        fixture.clock.advance(450ms);
        REQUIRE(fixture.isToldNow());
    }
    CHECK(heartbeats == 5);
    // The exchange with the dead member was under way all the time.
    while (!fixture.first->isCalled) {
        std::this_thread::yield();
    }
    CHECK(fixture.view.livePeers() == std::vector { InstanceId("b") });
    fixture.first->gate.set_value();
    fixture.sender.stop();
}

TEST_CASE("a stream of changes is sent at the change period", "[membership]")
{
    // Guards against one message for each placement, which would be thousands a second.
    SenderFixture fixture;
    fixture.first->gate.set_value();
    std::atomic<int> heartbeats { 0 };
    std::atomic<long long> lastSequence { 0 };
    ALLOW_CALL(*fixture.second, heartbeat(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(++heartbeats)
        .LR_SIDE_EFFECT(lastSequence = _1.summary.sequence)
        .RETURN(makeMember("b"));
    fixture.view.addRegistered({ makeMember("b") });
    fixture.sender.start();
    REQUIRE(fixture.isToldNow());
    auto lastTold = fixture.clock.now();
    for (int places = 1; places <= 300; ++places) {
        fixture.view.setPools({ { ServiceId("s"), places, 0 } });
        fixture.clock.advance(5ms);
        if (fixture.clock.now() >= lastTold + 175ms) {
            REQUIRE(fixture.isToldNow());
            lastTold = fixture.clock.now();
            CHECK(lastSequence == fixture.view.self().summary.sequence);
        }
    }
    // One at the start and one for each 175 ms of 1.5 s, although the state changed 300 times.
    CHECK(heartbeats == 9);
    fixture.sender.stop();
}
