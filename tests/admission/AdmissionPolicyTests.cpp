#include "admission/AdmissionPolicy.h"
#include "admission/QueueEntry.h"
#include "admission/RetryBudget.h"
#include "admission/ShareAccounts.h"
#include "core/ManualClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburndoor;

TEST_CASE("a request that cannot start before its deadline is refused at once with a time to retry", "[admission]")
{
    // Guards against callers that wait until their deadline although it was known on arrival that it cannot be met.
    AdmissionQuery query { Milliseconds(1000), Milliseconds(100), 1000, 100, 0, Milliseconds(200) };
    const auto refused = AdmissionPolicy::decide(query);
    CHECK_FALSE(refused.isAdmitted);
    CHECK(refused.estimatedWait == Milliseconds(2002));
    CHECK(refused.retryAfter == Milliseconds(1102));
    query.queuedAhead = 400;
    const auto admitted = AdmissionPolicy::decide(query);
    CHECK(admitted.isAdmitted);
    CHECK(admitted.retryAfter == Milliseconds(0));
}

TEST_CASE("no request is refused below 80% load, and at any load none that is expected to meet its deadline", "[admission]")
{
    // Guards against refusing work that there is capacity for.
    const bool holds = rc::check([] {
        AdmissionQuery query;
        query.remaining = Milliseconds(*rc::gen::inRange(0, 10'000));
        query.expectedRunTime = Milliseconds(*rc::gen::inRange(0, 100'000));
        query.queuedAhead = static_cast<std::size_t>(*rc::gen::inRange(0, 5000));
        query.totalPlaces = *rc::gen::inRange(1, 2000);
        query.freePlaces = *rc::gen::inRange<long long>(0, query.totalPlaces + 1);
        query.meanRunTime = Milliseconds(*rc::gen::inRange(0, 10'000));
        const auto decision = AdmissionPolicy::decide(query);
        const bool isBelowLoadLimit = (query.totalPlaces - query.freePlaces) * 5 < query.totalPlaces * 4;
        const bool isOnTime = decision.estimatedWait + query.expectedRunTime <= query.remaining;
        RC_ASSERT(decision.isAdmitted || (!isBelowLoadLimit && !isOnTime));
        RC_ASSERT(decision.isAdmitted == (decision.retryAfter == Milliseconds(0)));
    });
    CHECK(holds);
}

TEST_CASE("at most half of the caller's time is kept for the run, however long the estimate", "[admission]")
{
    // Guards against a wrong declared run time that prevents every request of a kind from starting.
    ManualClock clock;
    QueueEntry entry;
    entry.arrival = clock.now();
    entry.deadline = clock.now() + Milliseconds(1000);
    entry.expectedRunTime = Milliseconds(100);
    CHECK(entry.latestStart() == clock.now() + Milliseconds(900));
    entry.expectedRunTime = Milliseconds(10'000);
    CHECK(entry.latestStart() == clock.now() + Milliseconds(500));
}

TEST_CASE("retries stay within their share of the requests, with a minimum per second", "[admission]")
{
    // Guards against retries that multiply the load while most attempts fail.
    ManualClock clock;
    RetryBudget budget(clock);
    const auto countRetries = [&budget](int requests) {
        int retries = 0;
        for (int request = 0; request < requests; ++request) {
            budget.recordRequest();
            retries += budget.takeRetry() ? 1 : 0;
        }
        return retries;
    };
    const auto retries = countRetries(1000);
    CHECK(retries >= 99);
    CHECK(retries <= 102);
    while (budget.takeRetry()) {
    }
    clock.advance(Milliseconds(1000));
    CHECK(budget.takeRetry());
    CHECK_FALSE(budget.takeRetry());
    clock.advance(Milliseconds(3'600'000));
    CHECK(budget.takeRetry());
    CHECK_FALSE(budget.takeRetry());
}

TEST_CASE("unused retries are kept only up to the limit", "[admission]")
{
    // Guards against a budget that grows without limit while nothing fails and then allows too many retries at once.
    ManualClock clock;
    RetryBudget budget(clock);
    for (int request = 0; request < 100'000; ++request) {
        budget.recordRequest();
    }
    int retries = 0;
    while (budget.takeRetry()) {
        ++retries;
    }
    CHECK(retries == 20);
}

TEST_CASE("each instance enforces the part of a quota that its capacity has in the cell, but at least one unit", "[admission]")
{
    // Guards against a team that can run on no instance because its quota is smaller than the number of instances.
    ShareAccounts shares;
    const Resources total { 80'000, 80'000, 8, 80, 800 };
    const Resources owned { 10'000, 10'000, 1, 10, 100 };
    const TeamId team("guild");
    shares.setTeams({ { team, { team, {}, 2, { 0, 0, 1, 16, 0 } } } });
    shares.setCapacity(owned, total);
    CHECK(shares.isWithinQuota(team, { 90'000, 0, 1, 2, 0 }));
    CHECK_FALSE(shares.isWithinQuota(team, { 0, 0, 0, 3, 0 }));
    CHECK_FALSE(shares.isWithinQuota(team, { 0, 0, 2, 0, 0 }));
    shares.setUse({ { team, { 0, 0, 0, 2, 0 } } });
    CHECK(shares.weightedShare(team) == Approx(0.1));
    CHECK_FALSE(shares.isWithinQuota(team, { 0, 0, 0, 1, 0 }));
    CHECK(shares.isWithinQuota(TeamId("undeclared"), total));
}
