#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace auburndoor;

namespace {

// The time from which followers look for a process that reaches the store (LeadershipTiming::storeStallLimit).
constexpr Milliseconds storeStallLimit { 450 };

} // namespace

// Guards against an owner that serves nobody and is not replaced: the store does not answer it while it reads its tables, and it
// has nothing to write that could stall.
TEST_CASE("an owner that cannot read its tables reports that the store does not answer it")
{
    OwnerFixture cell;
    cell.cutOff(1, {}, true);
    cell.takeOver();
    cell.timers.advance(storeStallLimit);
    CHECK_FALSE(cell.owner->isReady());
    CHECK(cell.owner->storeStallDuration() >= storeStallLimit);
    cell.heal();
    // A reading without a reply ends after 1.5 s, and is repeated.
    cell.timers.advance(Milliseconds(2000));
    CHECK(cell.owner->isReady());
    CHECK(cell.owner->storeStallDuration() == Milliseconds(0));
}

namespace {

// Tables of 15 pages, each of which takes 240 ms to read.
constexpr int pageCount = 15;
constexpr Milliseconds pageTime { 240 };

void fillTable(OwnerFixture &cell)
{
    constexpr int rowsPerPage = 2;
    constexpr int firstNumber = 100;
    for (int number = 0; number < pageCount * rowsPerPage; ++number) {
        cell.store.write("roster", "w" + std::to_string(firstNumber + number), "not a roster entry");
    }
    cell.store.setPageSize(rowsPerPage);
    cell.store.setAnswerTime(pageTime);
}

} // namespace

// Guards against takeovers without end while the store is slow for all: each owner would be replaced before it has read its tables.
TEST_CASE("an owner that reads many pages from a slow store reports no stall")
{
    OwnerFixture cell;
    fillTable(cell);
    cell.takeOver();
    Milliseconds longestStall { 0 };
    for (int step = 0; step < pageCount * 4; ++step) {
        longestStall = std::max(longestStall, cell.owner->storeStallDuration());
        cell.timers.advance(pageTime / 4);
    }
    CHECK(longestStall < storeStallLimit);
    cell.timers.advance(pageTime);
    CHECK(cell.owner->isReady());
}

// Guards against a reading that starts again from the first page after each failure, and so never ends while some calls fail.
TEST_CASE("an owner goes on reading a table at the page that failed")
{
    constexpr int pagesBefore = 7;
    constexpr Milliseconds outage { 1000 };
    constexpr Milliseconds retryTime { 400 };
    OwnerFixture cell;
    fillTable(cell);
    cell.takeOver();
    cell.timers.advance(pageTime * pagesBefore);
    cell.store.setDown(true);
    cell.timers.advance(outage);
    cell.store.setDown(false);
    cell.timers.advance(pageTime * (pageCount - pagesBefore + 1) + retryTime);
    CHECK(cell.owner->isReady());
}
