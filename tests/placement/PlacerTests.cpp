#include "placement/BestFitPlacer.h"
#include "placement/FirstFitPlacer.h"
#include "placement/RandomPlacer.h"
#include "placement/WorkerFit.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace auburndoor;

namespace {

const ServiceId studio("namestudio");
const Resources acceleratorWorker { 32'000, 65'536, 8, 8, 64 };
const Resources small { 2000, 4096, 1, 1, 1 };

WorkerView makeView(const std::string &id, const Resources &used = {}, const std::string &domain = "kingston-1")
{
    return { WorkerId(id), studio, FailureDomainId(domain), acceleratorWorker, used, 0, true };
}

/** Places 24 small tasks on 6 workers and ends the oldest one after every third. @return the number of idle workers at the end */
long long countIdleWorkersAfterChurn(const Placer &placer)
{
    std::vector<WorkerView> views;
    for (int index = 0; index < 6; ++index) {
        views.push_back(makeView(std::to_string(index)));
    }
    std::vector<std::size_t> placed;
    for (int task = 0; task < 24; ++task) {
        const auto index = placer.choose({ studio, small, false, 0, {} }, views);
        views[*index].used += small;
        placed.push_back(*index);
        if (task % 3 == 2) {
            views[placed.front()].used -= small;
            placed.erase(placed.begin());
        }
    }
    return std::count_if(views.begin(), views.end(), [](const WorkerView &view) { return view.used == Resources {}; });
}

} // namespace

TEST_CASE("best fit keeps accelerator workers idle for large tasks", "[placement]")
{
    // Guards against small tasks on every worker, after which no large task fits anywhere. Negative control: random choice.
    CHECK(countIdleWorkersAfterChurn(BestFitPlacer()) >= 3);
    CHECK(countIdleWorkersAfterChurn(RandomPlacer(1)) < 3);
}

TEST_CASE("work without accelerators prefers workers without accelerators", "[placement]")
{
    // Guards against work that uses up the cores of an accelerator worker although it could run elsewhere.
    auto plain = makeView("plain");
    plain.capacity.accelerators = 0;
    const std::vector<WorkerView> views { makeView("accelerated", { 20'000, 0, 0, 0, 0 }), plain };
    const PlacementNeed need { studio, { 2000, 1024, 0, 1, 1 }, false, 0, {} };
    CHECK(BestFitPlacer().choose(need, views) == 1U);
    CHECK(FirstFitPlacer().choose(need, views) == 0U);
}

TEST_CASE("tasks of one service are spread over failure domains", "[placement]")
{
    // Guards against best fit that puts all tasks of a service into one failure domain.
    const std::vector<WorkerView> views { makeView("full", { 8000, 0, 4, 4, 4 }), makeView("empty", {}, "kingston-2") };
    PlacementNeed need { studio, small, false, 0, {} };
    CHECK(BestFitPlacer().choose(need, views) == 0U);
    need.spread = { { FailureDomainId("kingston-1"), 2 }, { FailureDomainId("kingston-2"), 1 } };
    CHECK(BestFitPlacer().choose(need, views) == 1U);
}

TEST_CASE("long work leaves the reserved slots of accelerator workers free", "[placement]")
{
    // Guards against long tasks that fill all slots, so that short work waits until they end.
    auto view = makeView("a");
    view.longTasks = 6;
    view.used = { 12'000, 0, 6, 6, 6 };
    const std::vector<WorkerView> views { view };
    CHECK_FALSE(BestFitPlacer().choose({ studio, small, true, 25, {} }, views));
    CHECK(BestFitPlacer().choose({ studio, small, false, 25, {} }, views));
    CHECK(BestFitPlacer().choose({ studio, small, true, 0, {} }, views));
    CHECK(longTaskLimit({ 1000, 1000, 1, 1, 1 }, 25) == 1);
    CHECK(longTaskLimit({ 1000, 1000, 0, 8, 8 }, 25) == 8);
}

TEST_CASE("all placers choose only open workers of the service that have capacity, and find one if there is one", "[placement]")
{
    // Guards against a placer whose check differs from hasCapacity(), which the ledger uses.
    const BestFitPlacer bestFit;
    const FirstFitPlacer firstFit;
    const RandomPlacer random(7);
    const bool holds = rc::check([&] {
        std::vector<WorkerView> views;
        const auto count = *rc::gen::inRange(0, 6);
        for (int index = 0; index < count; ++index) {
            const auto used = *rc::gen::inRange(0, 9);
            views.push_back(makeView(std::to_string(index), { 2000LL * used, 4096LL * used, used, used, used }));
            views.back().isOpen = *rc::gen::arbitrary<bool>();
            views.back().service = *rc::gen::arbitrary<bool>() ? studio : ServiceId("vitrina");
            views.back().longTasks = *rc::gen::inRange(0, 8);
        }
        const auto amount = *rc::gen::inRange(1, 9);
        const PlacementNeed need { studio, { 2000LL * amount, 1, amount, 1, 1 }, *rc::gen::arbitrary<bool>(), 25, {} };
        const bool isPossible = std::any_of(
            views.begin(), views.end(), [&need](const WorkerView &view) { return hasCapacity(need, view); });
        for (const Placer *placer : std::initializer_list<const Placer *> { &bestFit, &firstFit, &random }) {
            const auto chosen = placer->choose(need, views);
            RC_ASSERT(chosen.has_value() == isPossible);
            if (chosen) {
                RC_ASSERT(hasCapacity(need, views[*chosen]));
            }
        }
    });
    CHECK(holds);
}

TEST_CASE("freePlaces() is the number of tasks that can be placed one after the other", "[placement]")
{
    // Guards against a division that counts more places than the scarcest resource allows.
    const bool holds = rc::check([] {
        auto view = makeView("a");
        const auto used = *rc::gen::inRange(0, 9);
        view.used = { 1000LL * used, 512LL * used, used, used, used };
        view.longTasks = *rc::gen::inRange(0, 9);
        const PlacementNeed need { studio,
                                   { *rc::gen::inRange(0, 9000), *rc::gen::inRange(0, 20'000), *rc::gen::inRange(0, 4), 1, 1 },
                                   *rc::gen::arbitrary<bool>(),
                                   25,
                                   {} };
        const auto counted = freePlaces(need, view);
        int placed = 0;
        while (hasCapacity(need, view)) {
            view.used += need.need;
            view.longTasks += need.isLong ? 1 : 0;
            ++placed;
        }
        RC_ASSERT(counted == placed);
    });
    CHECK(holds);
}

TEST_CASE("the random placer repeats its choices for a seed and reaches every worker", "[placement]")
{
    // Guards against a baseline whose figures cannot be reproduced, or that never chooses some workers.
    const std::vector<WorkerView> views { makeView("a"), makeView("b"), makeView("c") };
    const RandomPlacer first(3);
    const RandomPlacer second(3);
    std::set<std::size_t> reached;
    for (int draw = 0; draw < 50; ++draw) {
        const auto choice = first.choose({ studio, small, false, 0, {} }, views);
        REQUIRE(choice == second.choose({ studio, small, false, 0, {} }, views));
        reached.insert(*choice);
    }
    CHECK(reached.size() == views.size());
}
