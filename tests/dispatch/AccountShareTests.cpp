#include "dispatch/AccountCell.h"
#include "dispatch/FairShares.h"
#include "dispatch/StepRank.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>

using namespace auburndoor;

namespace {

constexpr double tolerance = 1e-6;

ShareDemand demandOf(double weight, std::int64_t useCores, std::int64_t waitingCores, std::int64_t waitingAccelerators = 0)
{
    return { weight, { useCores * 1000, 0, 0, 0, 0 }, { waitingCores * 1000, 0, waitingAccelerators, 0, 0 } };
}

/** The part of its demand that an account gets by its level. */
double servedPart(const ShareDemand &demand, double level, const Resources &capacity)
{
    const auto share = dominantShare(demand.use + demand.waiting, capacity);
    return share > 0 ? std::min(1.0, level / share) : 1.0;
}

} // namespace

// Guards against shares that keep capacity from accounts which could use it, or that a large demand moves.
TEST_CASE("accounts get capacity by their weights, and what one does not need goes to the others", "[account-shares]")
{
    const Resources capacity { 100000, 0, 10, 0, 0 };
    CHECK(FairShares::compute(capacity, { demandOf(1, 30, 20), demandOf(1, 0, 50) }).levels.empty());
    const auto even = FairShares::compute(capacity, { demandOf(1, 90, 900), demandOf(3, 0, 200), demandOf(4, 10, 10) });
    REQUIRE(even.levels.size() == 3);
    CHECK(even.levels[0] == Approx(0.2));
    CHECK(even.levels[1] == Approx(0.6));
    CHECK(even.levels[2] == Approx(0.8));
    // Accelerators are scarce and cores are not: an account without accelerators is not kept back.
    const auto mixed = FairShares::compute(capacity, { demandOf(1, 0, 10, 40), demandOf(1, 0, 10, 10), demandOf(1, 0, 50) });
    REQUIRE(mixed.levels.size() == 3);
    CHECK(mixed.levels[0] == Approx(0.5));
    CHECK(mixed.levels[1] == Approx(0.5));
    CHECK(std::isinf(mixed.levels[2]));
}

// Guards against levels that promise more than there is, leave something idle that an account could use, or starve an account.
TEST_CASE("levels use up a resource that each account which is kept back needs", "[account-shares]")
{
    CHECK(rc::check([] {
        const auto draw = [](std::int64_t from, std::int64_t to) { return *rc::gen::inRange(from, to); };
        const Resources capacity { draw(1, 200) * 1000, draw(1, 200), draw(0, 20), 0, 0 };
        std::vector<ShareDemand> demands(static_cast<std::size_t>(draw(1, 8)));
        double weights = 0;
        for (auto &demand : demands) {
            demand.weight = static_cast<double>(draw(1, 10));
            demand.use = { draw(0, 50) * 1000, draw(0, 50), 0, 0, 0 };
            demand.waiting = { draw(0, 200) * 1000, draw(0, 200), draw(0, 9), 0, 0 };
            weights += demand.weight;
        }
        const auto result = FairShares::compute(capacity, demands);
        if (result.levels.empty()) {
            Resources sum;
            for (const auto &demand : demands) {
                sum += demand.use + demand.waiting;
            }
            sum.accelerators = capacity.accelerators == 0 ? 0 : sum.accelerators;
            RC_ASSERT(sum.fitsIn(capacity));
            return;
        }
        std::array<double, 3> used {};
        const auto sharesOf = [&](const ShareDemand &demand) {
            const auto all = demand.use + demand.waiting;
            const auto share = [](std::int64_t amount, std::int64_t of) {
                return of > 0 ? static_cast<double>(amount) / static_cast<double>(of) : 0.0;
            };
            return std::array<double, 3> { share(all.milliCores, capacity.milliCores),
                                           share(all.memoryMiB, capacity.memoryMiB),
                                           share(all.accelerators, capacity.accelerators) };
        };
        for (std::size_t index = 0; index < demands.size(); ++index) {
            const auto shares = sharesOf(demands[index]);
            for (std::size_t resource = 0; resource < used.size(); ++resource) {
                used[resource] += shares[resource] * servedPart(demands[index], result.levels[index], capacity);
            }
        }
        for (const auto part : used) {
            RC_ASSERT(part <= 1.0 + tolerance);
        }
        for (std::size_t index = 0; index < demands.size(); ++index) {
            // Each account has at least its share by weight of the whole.
            RC_ASSERT(result.levels[index] >= demands[index].weight / weights / used.size() - tolerance);
            const auto shares = sharesOf(demands[index]);
            bool needsScarce = servedPart(demands[index], result.levels[index], capacity) >= 1.0 - tolerance;
            for (std::size_t resource = 0; resource < used.size(); ++resource) {
                needsScarce = needsScarce || (shares[resource] > 0 && used[resource] >= 1.0 - tolerance);
            }
            RC_ASSERT(needsScarce);
        }
    }));
}

// Guards against an order in which shares go before lost services, or a priority before shares.
TEST_CASE("steps above their account's share come after the others, whatever their priority", "[account-shares]")
{
    StepRank urgentAbove;
    urgentAbove.isAboveShare = true;
    StepRank below;
    below.priority = 2;
    CHECK(below < urgentAbove);
    CHECK_FALSE(urgentAbove < below);
    StepRank lost;
    lost.isLost = true;
    CHECK(urgentAbove < lost);
    StepRank repair;
    repair.isRepair = true;
    repair.priority = 2;
    CHECK(repair < below);
}

// Guards against a burst of one account that delays the short work of the others, and against capacity that is left idle for them.
TEST_CASE("the burst of one account at a crest does not delay the short work of others, also with workers lost", "[account-shares]")
{
    const bool isRackLost = GENERATE(false, true);
    CAPTURE(isRackLost);
    AccountCell cell;
    for (int number = 0; number < 8; ++number) {
        cell.addWorker("w" + std::to_string(number), 4);
    }
    // With what it has on lost workers until their leases are over, it may still use all that the calm one leaves.
    cell.setLimit("hot", 28000);
    cell.setLimit("calm", 0);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(500), RunOutcome::Done }; };
    cell.takeOver();
    for (int job = 0; job < 50; ++job) {
        REQUIRE(cell.submitFor("hot", jobIdOf(job), 10, 1000, {}, "urgent") == ClientResult::Outcome::Accepted);
    }
    for (int number = 0; isRackLost && number < 2; ++number) {
        cell.fleet.worker("w" + std::to_string(number)).isCutOff = true;
    }
    cell.timers.advance(Milliseconds(isRackLost ? 3000 : 600));
    for (int job = 100; job < 108; ++job) {
        REQUIRE(cell.submitFor("calm", jobIdOf(job), 8, 1000) == ClientResult::Outcome::Accepted);
        const auto reachable = isRackLost ? 24000 : 32000;
        std::int64_t used = 0;
        constexpr int samples = 25;
        for (int sample = 0; sample < samples; ++sample) {
            cell.timers.advance(Milliseconds(20));
            used += (cell.useOfReachable("hot") + cell.useOfReachable("calm")) / samples;
        }
        CHECK(used >= reachable * 3 / 4);
        // Its share is at least half of the workers: one run, and a wait for the end of at most one other.
        CHECK(cell.runUntil(jobIdOf(job), JobStage::Completed, Milliseconds(900)));
    }
    CHECK(cell.overuse().empty());
    CHECK(cell.violations().empty());
}

// Guards against urgent work of an account that has its share which stops the runs of one that has less.
TEST_CASE("an account above its share preempts its own runs only", "[account-shares]")
{
    AccountCell cell;
    cell.addWorker("w1", 8);
    cell.addWorker("w2", 8);
    cell.setLimit("calm", 0);
    cell.setLimit("hot", 0);
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.job == jobIdOf(2) ? 500 : 6000), RunOutcome::Done };
    };
    cell.takeOver();
    REQUIRE(cell.submitFor("calm", jobIdOf(0), 6, 1000, R"(,"checkpoints":true)") == ClientResult::Outcome::Accepted);
    REQUIRE(cell.submitFor("hot", jobIdOf(1), 10, 1000, R"(,"checkpoints":true)") == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(300));
    REQUIRE(cell.use("calm") + cell.use("hot") == 16000);
    REQUIRE(cell.submitFor("hot", jobIdOf(2), 8, 1000, {}, "urgent") == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil(jobIdOf(2), JobStage::Completed, Milliseconds(1500)));
    cell.timers.advance(Milliseconds(1000));
    // Neither was stopped and started again.
    CHECK(std::count_if(cell.starts.begin(), cell.starts.end(), [](const auto &start) { return start.task.job == jobIdOf(0); })
          == 6);
}

// Guards against an account that starves beside others, and against shares that are not those of the weights.
TEST_CASE("accounts with backlogs get processor time by their weights, and all of it is used", "[account-shares]")
{
    AccountCell cell;
    for (int number = 0; number < 6; ++number) {
        cell.addWorker("w" + std::to_string(number), 4);
    }
    cell.setLimit("one", 0, 1);
    cell.setLimit("two", 0, 2);
    cell.setLimit("three", 0, 3);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(400), RunOutcome::Done }; };
    cell.takeOver();
    int job = 0;
    // The backlog that comes first is the most urgent as well: without shares it would be served first.
    for (const auto *name : { "one", "two", "three" }) {
        for (int count = 0; count < 30; ++count) {
            REQUIRE(cell.submitFor(name, jobIdOf(job++), 20, 1000, {}, *name == 'o' ? "urgent" : "normal")
                    == ClientResult::Outcome::Accepted);
        }
    }
    std::map<std::string, double> sums;
    constexpr int samples = 100;
    for (int sample = 0; sample < samples; ++sample) {
        cell.timers.advance(Milliseconds(40));
        for (const auto *name : { "one", "two", "three" }) {
            sums[name] += static_cast<double>(cell.use(name)) / samples;
        }
    }
    CHECK(sums["one"] == Approx(4000).margin(1500));
    CHECK(sums["two"] == Approx(8000).margin(1500));
    CHECK(sums["three"] == Approx(12000).margin(1500));
    CHECK(sums["one"] + sums["two"] + sums["three"] >= 19000);
    CHECK(cell.violations().empty());
}
