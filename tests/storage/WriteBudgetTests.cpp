#include "core/Failure.h"
#include "core/ManualClock.h"
#include "storage/WriteBudget.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace auburndoor;

TEST_CASE("an instance gets its share of the cell's writes", "[platform][budget]")
{
    // Guards against instances that together exceed the table's write rate.
    ManualClock clock;
    WriteBudget budget(300, clock);
    budget.setLiveInstances(8);
    Failure failure;
    int taken = 0;
    for (int step = 0; step < 10'000; ++step) {
        taken += budget.acquire(WritePurpose::Logbook, clock.now(), failure) ? 1 : 0;
        clock.advance(Milliseconds(1));
    }
    // 10 s at 37.5 tokens a second, and the 3 whole tokens of the full bucket at the start.
    CHECK(taken >= 375);
    CHECK(taken <= 379);
    CHECK(failure.reason == FailureReason::Throttled);
}

TEST_CASE("a write never takes a token while a write of an earlier purpose waits", "[platform][budget]")
{
    // Guards against lease renewals that wait for logbook rows. In the order of arrival the logbook would be served first.
    ManualClock clock;
    WriteBudget budget(10, clock);
    Failure failure;
    REQUIRE(budget.acquire(WritePurpose::Logbook, clock.now(), failure));
    std::mutex mutex;
    std::vector<WritePurpose> order;
    const auto acquireAndRecord = [&](WritePurpose purpose) {
        Failure waiterFailure;
        if (budget.acquire(purpose, clock.now() + Milliseconds(1000), waiterFailure)) {
            const std::lock_guard lock(mutex);
            order.push_back(purpose);
        }
    };
    const auto countServed = [&] {
        const std::lock_guard lock(mutex);
        return order.size();
    };
    std::vector<std::thread> waiters;
    for (const auto purpose : { WritePurpose::Logbook, WritePurpose::JobProgress, WritePurpose::Ownership }) {
        waiters.emplace_back(acquireAndRecord, purpose);
        while (clock.waiterCount() < waiters.size()) {
            std::this_thread::yield();
        }
    }
    for (std::size_t served = 1; served <= waiters.size(); ++served) {
        clock.advance(Milliseconds(100));
        while (countServed() < served) {
            std::this_thread::yield();
        }
    }
    for (auto &waiter : waiters) {
        waiter.join();
    }
    CHECK(order == std::vector { WritePurpose::Ownership, WritePurpose::JobProgress, WritePurpose::Logbook });
}

TEST_CASE("a cancelled wait for a token ends and takes none", "[platform][budget]")
{
    // Guards against a member that was merged into another batch and stays blocked or takes a token that it does not use.
    ManualClock clock;
    WriteBudget budget(1, clock);
    Failure failure;
    REQUIRE(budget.acquire(WritePurpose::Logbook, clock.now(), failure));
    std::atomic<bool> isCancelled = false;
    Failure waiterFailure;
    std::thread waiter(
        [&] { budget.acquire(WritePurpose::Logbook, clock.now() + Milliseconds(5000), isCancelled, waiterFailure); });
    while (clock.waiterCount() == 0) {
        std::this_thread::yield();
    }
    isCancelled = true;
    budget.wakeWaiters();
    waiter.join();
    CHECK(waiterFailure.reason == FailureReason::Cancelled);
    clock.advance(Milliseconds(1000));
    CHECK(budget.acquire(WritePurpose::Logbook, clock.now(), failure));
}
