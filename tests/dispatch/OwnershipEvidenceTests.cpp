#include "dispatch/OwnerFixture.h"
#include "dispatch/OwnershipEvidence.h"
#include "dispatch/RosterQuorum.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr EvidenceTiming timing { Milliseconds(6000), Milliseconds(20000), Milliseconds(1000) };

std::string workerName(int number)
{
    return "w" + std::to_string(number);
}

/** True if an owner that has heard these workers may go on. */
bool mayGoOn(int rosterSize, unsigned heard)
{
    RosterQuorum quorum;
    std::vector<TimePoint> acceptedAt;
    for (int number = 0; number < rosterSize; ++number) {
        quorum.add(workerName(number));
        acceptedAt.push_back((heard >> number & 1U) != 0 ? TimePoint(Milliseconds(1)) : TimePoint());
    }
    return quorum.quorumTime(acceptedAt).has_value();
}

/** True if a successor that has read these workers may take the leases of the others for over in time. */
bool mayTakeLeasesForOver(int rosterSize, unsigned read)
{
    RosterQuorum quorum;
    for (int number = 0; number < rosterSize; ++number) {
        quorum.addInherited(workerName(number));
    }
    for (int number = 0; number < rosterSize; ++number) {
        if ((read >> number & 1U) != 0) {
            quorum.noteReached(workerName(number));
        }
    }
    return quorum.hasReachedInheritedMajority();
}

} // namespace

// Guards against an owner and its successor that each reach enough workers to go on, with none in common that would reject the
// former owner.
TEST_CASE("the workers of an owner that goes on and of a successor have one in common")
{
    for (int size = 1; size <= 6; ++size) {
        const unsigned subsets = 1U << size;
        CHECK(mayGoOn(size, subsets - 1));
        CHECK(mayTakeLeasesForOver(size, subsets - 1));
        for (unsigned heard = 0; heard < subsets; ++heard) {
            CAPTURE(size, heard);
            CHECK_FALSE((mayGoOn(size, heard) && mayTakeLeasesForOver(size, ~heard & (subsets - 1))));
        }
    }
}

// Guards against a roster that counts as smaller than the one that a successor reads.
TEST_CASE("a worker counts as in the roster until its removal is stored")
{
    RosterQuorum quorum;
    quorum.addInherited("w1");
    quorum.add("w2");
    CHECK(quorum.quorumTime({ TimePoint(Milliseconds(5)) }) == TimePoint(Milliseconds(5)));
    quorum.add("w3");
    CHECK_FALSE(quorum.quorumTime({ TimePoint(Milliseconds(5)) }));
    quorum.remove("w3");
    CHECK(quorum.quorumTime({ TimePoint(Milliseconds(5)) }) == TimePoint(Milliseconds(5)));
}

// Guards against leases that outlast what a successor waits for.
TEST_CASE("the permission of an owner ends a fixed time after its last evidence")
{
    ManualTimers timers;
    OwnershipEvidence evidence(timers, timing, CallTime::now(timers));
    CHECK(evidence.remaining() == timing.validity);
    timers.advance(Milliseconds(5500));
    CHECK(evidence.remaining() == Milliseconds(500));
    CHECK_FALSE(evidence.mayStart());
    evidence.noteQuorum(timers.bootNow() - Milliseconds(1000));
    CHECK(evidence.remaining() == Milliseconds(5000));
    CHECK(evidence.mayStart());
    CHECK_FALSE(evidence.requireConfirmation(timers.now() - Milliseconds(1000)));
    timers.advance(timing.maxTimeWithoutStore);
    evidence.noteQuorum(timers.bootNow());
    CHECK(evidence.remaining() == Milliseconds(500));
    timers.suspend(Milliseconds(500));
    CHECK(evidence.remaining() == Milliseconds(0));
    evidence.noteStoreConfirmation(CallTime::now(timers));
    CHECK(evidence.remaining() == timing.validity);
    CHECK(evidence.requireConfirmation(timers.now()));
}

// Guards against a successor that takes the leases of unread workers for over while an owner that half of the workers obey may
// still extend them, and against one that waits for good.
TEST_CASE("a new owner that reads at most half of the roster waits as long as a former owner may go on without the store")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(60000), RunOutcome::Done }; };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    cell.fleet.worker("w1").isCutOff = true;
    cell.addWorker("w2", 8);
    cell.takeOver();
    cell.timers.advance(timing.validity + timing.maxTimeWithoutStore - Milliseconds(1000));
    CHECK(cell.starts.size() == 1);
    cell.timers.advance(Milliseconds(3000));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}
