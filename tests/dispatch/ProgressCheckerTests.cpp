#include "dispatch/ProgressChecker.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against a check that misses a job which nobody starts, and against one that objects while there is no room for it.
TEST_CASE("the check of progress finds a job that has nothing running though there is capacity")
{
    constexpr const char *job = "00000000000000aa";
    const bool hasRoom = GENERATE(false, true);
    CAPTURE(hasRoom);
    OwnerFixture cell;
    cell.addWorker("w1", hasRoom ? 2 : 1);
    cell.takeOver();
    ProgressChecker checker(cell);
    checker.addJob(job, 1, 1000);
    cell.killOwner();
    constexpr Milliseconds step { 250 };
    for (Milliseconds elapsed { 0 }; elapsed < Milliseconds(3500); elapsed += step) {
        checker.check({ job });
        cell.timers.advance(step);
    }
    CHECK(checker.violations.size() == (hasRoom ? 1 : 0));
}
