#include "jobs/Cell.h"

#include "jobs/GangCoordinator.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace auburndoor;

namespace {

/** A gang that competes with others: asks one instance after another, and waits after a failed attempt. */
struct CompetingGang
{
    CompetingGang(Cell &cell, const InstanceId &self, int size)
        : directory(self, cell.owners), gateway(self, *cell.owners.at(self), directory), wantedCount(size)
    {
        request.need = { 1000, 1000, 0, 1, 1 };
        request.count = size;
        request.timeLimit = Milliseconds(60'000);
    }

    FakeDirectory directory;
    OwnerGateway gateway;
    HoldRequest request;
    std::size_t wantedCount;
    std::unique_ptr<GangAttempt> attempt;
    /** The number of steps until it asks the next instance. */
    long long stepsToWait = 0;
    int failures = 0;
    bool isDone = false;
};

/**
    Lets gangs compete until each has once held all its places.

    @param chooseLatency called after each request of a gang; returns the number of steps until its next one
    @return the number of steps; -1 if a gang got no places within the step limit
*/
int compete(std::vector<std::unique_ptr<CompetingGang>> &gangs, const std::function<long long()> &chooseLatency)
{
    constexpr int stepLimit = 20'000;
    int steps = 0;
    const auto areAllDone = [&] { return std::all_of(gangs.begin(), gangs.end(), [](const auto &gang) { return gang->isDone; }); };
    for (; steps < stepLimit && !areAllDone(); ++steps) {
        for (auto &gang : gangs) {
            if (gang->isDone || gang->stepsToWait-- > 0) {
                continue;
            }
            if (!gang->attempt) {
                gang->attempt = std::make_unique<GangAttempt>(gang->gateway, gang->request);
            }
            const auto state = gang->attempt->askNextInstance();
            gang->stepsToWait = chooseLatency();
            if (state == GangAttempt::State::Complete) {
                RC_ASSERT(gang->attempt->places().size() == gang->wantedCount);
                gang->attempt->releasePlaces();
                gang->isDone = true;
            } else if (state == GangAttempt::State::Failed) {
                RC_ASSERT(gang->attempt->places().empty());
                gang->attempt.reset();
                gang->stepsToWait = GangCoordinator::chooseRetryDelay(Priority::Normal, gang->failures++).count();
            }
        }
    }
    return areAllDone() ? steps : -1;
}

/** Lets two gangs ask the owners in different orders and keep the places they have. @return true if both get all places */
bool competeWithoutRelease(Cell &cell)
{
    const std::vector<std::shared_ptr<FakeOwner>> owners { cell.owners.begin()->second, std::next(cell.owners.begin())->second };
    std::size_t held[2] = { 0, 0 };
    constexpr std::size_t wantedCount = 5;
    for (std::size_t round = 0; round < 1000; ++round) {
        for (std::size_t gang = 0; gang < 2; ++gang) {
            HoldRequest request {
                {}, {}, {}, { 1000, 1000, 0, 1, 1 }, static_cast<int>(wantedCount - held[gang]), Milliseconds(60'000)
            };
            held[gang] += request.count > 0 ? owners[(gang + round) % 2]->hold(request).size() : 0;
        }
    }
    return held[0] == wantedCount && held[1] == wantedCount;
}

} // namespace

TEST_CASE("competing gangs all get their places and leave nothing held", "[jobs]")
{
    // Guards against deadlock, against gangs that starve each other, and against failed attempts that keep places held.
    CHECK(rc::check("gangs", [] {
        Cell cell(3);
        std::vector<std::unique_ptr<CompetingGang>> gangs;
        for (const auto &[id, owner] : cell.owners) {
            // The cell has twelve places, so two gangs of seven or more never fit at the same time.
            gangs.push_back(std::make_unique<CompetingGang>(cell, id, *rc::gen::inRange(3, 13)));
        }
        const auto latencies = *rc::gen::container<std::vector<int>>(97, rc::gen::inRange(0, 40));
        std::size_t draws = 0;
        const auto steps = compete(gangs, [&] { return latencies[draws++ % latencies.size()]; });
        RC_ASSERT(steps >= 0);
        RC_ASSERT(cell.heldCount() == 0U);
    }));
}

TEST_CASE("gangs that keep incomplete sets of places block each other", "[jobs]")
{
    // Negative control of the test above: two gangs of five never get all their places of eight if they release none.
    Cell cell;
    CHECK_FALSE(competeWithoutRelease(cell));
    CHECK(cell.heldCount() == 8);
}

TEST_CASE("two competing gang jobs both run, each as a whole", "[jobs]")
{
    // Guards against a gang of which only some tasks are started.
    Cell cell;
    cell.submit(JobKind::Gang, 5, R"({"runMs": 5000})", "one");
    cell.submit(JobKind::Gang, 6, R"({"runMs": 5000})", "two");
    const auto one = cell.runFor(Milliseconds(60'000), "one");
    const auto two = cell.runFor(Milliseconds(60'000), "two");
    CHECK(one.phase == JobPhase::Done);
    CHECK(two.phase == JobPhase::Done);
    CHECK(cell.startCount() == 11);
    CHECK(cell.heldCount() == 0);
}
