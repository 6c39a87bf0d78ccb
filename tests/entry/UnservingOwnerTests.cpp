#include "entry/LeadershipFixture.h"

using namespace auburndoor;

namespace {

/** A process that does not own the cell and does not know that the epoch row names it. */
class UnawareProcess
{
public:
    explicit UnawareProcess(EventLoop &loop)
        : listener_(loop, HttpListenerLimits(), [](const WebRequest &, const HttpResponderPointer &responder) {
            responder->reply(PeerCodec::notOwnerReply("it does not know whether it owns the cell"));
        })
    {
        std::string error;
        REQUIRE(listener_.listen({ "127.0.0.1", 0 }, error));
    }

    Address address() const
    {
        return { "127.0.0.1", listener_.port() };
    }

private:
    HttpListener listener_;
};

/** Waits for the only process of the fixture to become the owner, and then runs with so many followers. @return the owner */
LeadershipProcess *startFollowers(LeadershipFixture &fixture, int count, Milliseconds duration)
{
    auto *owner = fixture.waitForOwner(1);
    REQUIRE(owner != nullptr);
    fixture.addProcesses(count);
    fixture.runFor(duration);
    return owner;
}

} // namespace

// Guards against a cell that nobody serves while the store names a process that has not learned that it has won: the answer to its
// takeover was lost, and the store refuses it since.
TEST_CASE("a process that the store names as the owner and that denies it is replaced")
{
    constexpr Milliseconds limit { 3000 };
    LeadershipFixture fixture {};
    const UnawareProcess unaware(fixture.loop);
    fixture.writeOwner(7, unaware.address());
    fixture.addProcesses(3);
    CHECK(fixture.waitForOwner(8, limit) != nullptr);
}

// Guards against a takeover while the store is slow for all: a winner learns that it has won later than others can read it.
TEST_CASE("a winner that waits for a store that is slow for all is not replaced")
{
    LeadershipFixture fixture {};
    fixture.store.setAnswerTime(Milliseconds(300));
    fixture.addProcesses(4);
    REQUIRE(fixture.waitForOwner(1) != nullptr);
    fixture.runFor(Milliseconds(4000));
    CHECK(fixture.highestToken() == 1);
}

// Guards against a process that the store does not serve and that never goes back to an owner which was silent for a while: it
// turns its callers away although the owner answers again.
TEST_CASE("a process without the store goes back to an owner that answers again")
{
    constexpr Milliseconds silence { 2500 };
    LeadershipFixture fixture { 1.0 };
    auto *owner = startFollowers(fixture, 1, Milliseconds(800));
    auto &follower = *fixture.processes.back();
    REQUIRE(follower.leadership().ownerAddress());
    follower.storeLink.isCut = true;
    owner->heartbeatLateness = Milliseconds(60000);
    fixture.runFor(silence);
    CHECK_FALSE(follower.leadership().ownerAddress());
    owner->heartbeatLateness = Milliseconds(0);
    fixture.runFor(Milliseconds(4000));
    CHECK(follower.leadership().ownerAddress());
    CHECK(fixture.highestToken() == 1);
}

// Guards against a process that acts on an outdated conclusion: it gave an owner up while the store did not serve it, goes on to
// follow it, and replaces it long after, when a single heartbeat to this process is lost.
TEST_CASE("a process does not replace an owner because it gave that owner up seconds ago")
{
    constexpr Milliseconds silence { 4500 };
    constexpr Milliseconds settleTime { 4000 };
    constexpr Milliseconds lostHeartbeat { 2500 };
    LeadershipFixture fixture { 1.0 };
    auto *owner = startFollowers(fixture, 2, Milliseconds(1500));
    const auto setStoreCut = [&](bool isCut) {
        for (const auto &process : fixture.processes) {
            process->storeLink.isCut = isCut && process.get() != owner;
        }
    };
    setStoreCut(true);
    owner->heartbeatLateness = Milliseconds(60000);
    fixture.runFor(silence);
    owner->heartbeatLateness = Milliseconds(0);
    fixture.runFor(settleTime);
    setStoreCut(false);
    fixture.runFor(settleTime);
    REQUIRE(fixture.highestToken() == 1);
    owner->lateFollower = fixture.processes.back()->address();
    owner->heartbeatLateness = Milliseconds(60000);
    fixture.runFor(lostHeartbeat);
    owner->heartbeatLateness = Milliseconds(0);
    fixture.runFor(settleTime);
    CHECK(fixture.highestToken() == 1);
}

// Guards against a process that turns its callers away while a reading of the store takes its time to fail, though others know the
// next owner: each takeover would cost it that time.
TEST_CASE("a process that the store leaves without a reply learns of the next owner from other processes at once")
{
    constexpr Milliseconds limit { 900 };
    LeadershipFixture fixture { 1.0 };
    auto *first = startFollowers(fixture, 2, Milliseconds(1500));
    auto &cutOff = *fixture.processes.back();
    cutOff.storeLink.isCut = true;
    first->kill();
    REQUIRE(fixture.waitForOwner(2) != nullptr);
    fixture.runFor(limit);
    CHECK(cutOff.leadership().ownerAddress());
}

// Guards against a process that turns its callers away long after a takeover: it has gone back to an owner that others still
// reached, and then waits for a heartbeat as if it knew nothing of that owner's pace.
TEST_CASE("a process that goes back to a silent owner notices its successor in time")
{
    constexpr Milliseconds limit { 1000 };
    LeadershipFixture fixture { 1.0 };
    // A new owner announces for 3 s that it may be late.
    auto *first = startFollowers(fixture, 2, Milliseconds(4000));
    auto &early = *fixture.processes.back();
    first->lateFollower = early.address();
    first->heartbeatLateness = Milliseconds(60000);
    fixture.runFor(Milliseconds(700));
    first->lateFollower.reset();
    REQUIRE(fixture.waitForOwner(2) != nullptr);
    fixture.runFor(limit);
    CHECK((early.ownership || early.leadership().ownerAddress()));
}

// Guards against a takeover from an owner whose listener is full for a moment: an answer that says nothing of the ownership is no
// denial.
TEST_CASE("an owner whose listener is full for one process is not replaced while others reach it")
{
    LeadershipFixture fixture { 1.0 };
    auto *owner = startFollowers(fixture, 2, Milliseconds(1500));
    owner->lateFollower = fixture.processes.back()->address();
    owner->isListenerFull = true;
    fixture.runFor(Milliseconds(4000));
    CHECK(fixture.highestToken() == 1);
    owner->isListenerFull = false;
    fixture.runFor(Milliseconds(1000));
    CHECK(fixture.processes.back()->leadership().ownerAddress());
}

// Guards against a process that reports itself ready to the balancer while every call to the owner is turned away.
TEST_CASE("an owner that does not serve calls yet is not taken for a ready one")
{
    LeadershipFixture fixture { 1.0 };
    auto *owner = fixture.waitForOwner(1);
    REQUIRE(owner != nullptr);
    owner->isReady = false;
    fixture.addProcesses(1);
    fixture.runFor(Milliseconds(1000));
    const auto &follower = fixture.processes.back()->leadership();
    CHECK(follower.ownerAddress());
    CHECK_FALSE(follower.isOwnerReady());
    owner->isReady = true;
    fixture.runFor(Milliseconds(1000));
    CHECK(follower.isOwnerReady());
}
