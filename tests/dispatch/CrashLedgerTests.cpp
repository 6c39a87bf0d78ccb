#include "dispatch/CrashLedger.h"
#include "dispatch/PossibleCrashes.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

TEST_CASE("a task is proven to crash its workers only after a crash on a worker of its own")
{
    CrashLedger ledger;
    CHECK(ledger.suspicion() == Suspicion::None);
    CHECK(ledger.record({ "w1", 1, 1, false, false }));
    CHECK(ledger.suspicion() == Suspicion::Suspected);
    CHECK(ledger.record({ "w2", 1, 2, false, false }));
    CHECK(ledger.suspicion() == Suspicion::Isolated);
    SECTION("alone")
    {
        CHECK(ledger.record({ "w3", 1, 3, true, false }));
        CHECK(ledger.suspicion() == Suspicion::Proven);
    }
    SECTION("in company")
    {
        CHECK(ledger.record({ "w3", 1, 3, false, false }));
        CHECK(ledger.suspicion() == Suspicion::Isolated);
        CHECK(ledger.record({ "w4", 1, 4, false, false }));
        CHECK(ledger.suspicion() == Suspicion::Proven);
    }
    SECTION("started last, but not always")
    {
        CHECK(ledger.record({ "w3", 1, 3, false, true }));
        CHECK(ledger.suspicion() == Suspicion::Isolated);
    }
    SECTION("cleared")
    {
        ledger.clear();
        CHECK(ledger.suspicion() == Suspicion::None);
    }
}

TEST_CASE("a task that was always started last on the workers that crashed is proven to crash them")
{
    CrashLedger ledger;
    CHECK(ledger.record({ "w1", 1, 1, false, true }));
    CHECK(ledger.record({ "w2", 1, 2, false, true }));
    CHECK(ledger.suspicion() == Suspicion::Isolated);
    CHECK(ledger.record({ "w3", 1, 3, false, true }));
    CHECK(ledger.suspicion() == Suspicion::Proven);
}

// Guards against one crash that two owners, or a report and an entry, count twice.
TEST_CASE("the crash of an incarnation of a worker counts once")
{
    CrashLedger ledger;
    CHECK(ledger.record({ "w1", 1, 1, false, false }));
    CHECK_FALSE(ledger.record({ "w1", 1, 1, true, false }));
    CHECK_FALSE(ledger.record({ "w1", 1, 1001, false, false }));
    CHECK(ledger.crashes().size() == 1);
    CHECK(ledger.record({ "w1", 2, 2, false, false }));
    CHECK(ledger.crashes().size() == 2);
}

namespace {

WorkerCrash makeCrash(const std::string &worker, std::uint16_t port)
{
    WorkerCrash crash;
    crash.worker = worker;
    crash.address = { "10.0.0.1", port };
    crash.incarnation = 5;
    crash.runs = { { { { "00000000000000aa", 0, 0, 0 }, 1 }, false, false } };
    return crash;
}

} // namespace

TEST_CASE("a possible crash is decided by the incarnation that reports, or by another worker at the address")
{
    PossibleCrashes crashes;
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    crashes.add(makeCrash("w1", 81), now);
    SECTION("a report that was requested before decides nothing")
    {
        CHECK(crashes.take("w1", 6, now - Milliseconds(1)).empty());
        CHECK(crashes.take("w1", 6, now + Milliseconds(1)).size() == 1);
        CHECK(crashes.take("w1", 7, now + Milliseconds(2)).empty());
    }
    SECTION("the same incarnation was only cut off")
    {
        CHECK(crashes.take("w1", 5, now + Milliseconds(1)).empty());
        CHECK(crashes.take("w1", 6, now + Milliseconds(2)).empty());
    }
    SECTION("another worker has the address")
    {
        CHECK(crashes.takeReplaced({ "10.0.0.1", 82 }, "w2").empty());
        CHECK(crashes.takeReplaced({ "10.0.0.1", 81 }, "w1").empty());
        CHECK(crashes.takeReplaced({ "10.0.0.1", 81 }, "w2").size() == 1);
    }
    SECTION("a worker that is away for over a minute has left")
    {
        crashes.add(makeCrash("w3", 83), now + std::chrono::seconds(61));
        CHECK(crashes.takeReplaced("w1").empty());
    }
}
