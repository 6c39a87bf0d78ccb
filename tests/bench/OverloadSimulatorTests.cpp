#include "OverloadSimulator.h"

#include <catch2/catch.hpp>

namespace {

OverloadResult simulate(double load, OverloadPolicy policy)
{
    OverloadResult sum;
    for (const std::uint64_t seed : { 11, 12 }) {
        OverloadOptions options;
        options.seed = seed;
        options.load = load;
        options.workers = 50;
        options.duration = std::chrono::seconds(45);
        sum.add(OverloadSimulator(options, policy).run(makeOverload(options)));
    }
    return sum;
}

} // namespace

// Guards against a change of the decisions that makes the callers of an overloaded service lose more than the order by priority and
// deadline does, or that starves a kind of job.
TEST_CASE("the order under scarce room costs callers less than that by deadline, and serves the worst kind better")
{
    const double load = GENERATE(1.3, 1.8);
    CAPTURE(load);
    const auto scarcity = simulate(load, OverloadPolicy::Scarcity);
    const auto deadline = simulate(load, OverloadPolicy::Deadline);
    CHECK(scarcity.cost() < deadline.cost());
    CHECK(scarcity.worstKind() > deadline.worstKind());
    CHECK(scarcity.discarded < deadline.discarded * 3 / 4);
    CHECK(scarcity.kinds[0].served() > deadline.kinds[0].served() - 0.02);
}

// Guards against an order that changes what happens while there is room.
TEST_CASE("while there is room, the orders cost callers the same")
{
    CHECK(simulate(0.4, OverloadPolicy::Scarcity).cost() <= simulate(0.4, OverloadPolicy::Deadline).cost());
}
