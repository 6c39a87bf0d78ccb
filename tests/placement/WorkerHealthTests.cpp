#include "core/ManualClock.h"
#include "placement/RunTimeEstimator.h"
#include "placement/WorkerHealth.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

const WorkerId worker("kingston-1-w7");
const ServiceId vitrina("vitrina");

} // namespace

TEST_CASE("five failures among the last ten starts lead to quarantine for 30 s", "[placement]")
{
    // Guards against a worker that fails every task immediately and attracts all work because it is always free.
    ManualClock clock;
    WorkerHealth health(clock);
    for (int start = 0; start < 4; ++start) {
        CHECK_FALSE(health.recordStart(worker, false));
        CHECK_FALSE(health.recordStart(worker, true));
    }
    CHECK(health.recordStart(worker, false));
    CHECK(health.isQuarantined(worker));
    clock.advance(Milliseconds(29'999));
    CHECK(health.takeReleased().empty());
    clock.advance(Milliseconds(1));
    CHECK(health.takeReleased() == std::vector { worker });
    CHECK_FALSE(health.isQuarantined(worker));
    CHECK(health.takeReleased().empty());
}

TEST_CASE("failures more than ten starts ago do not count", "[placement]")
{
    // Guards against the quarantine of a worker that fails only occasionally.
    ManualClock clock;
    WorkerHealth health(clock);
    for (int start = 0; start < 100; ++start) {
        REQUIRE_FALSE(health.recordStart(worker, start % 3 != 0));
    }
}

TEST_CASE("a worker on probation is quarantined by one failure and healthy after three successes", "[placement]")
{
    // Guards against a missing probation: a broken worker would fail five tasks after each quarantine of 30 s.
    ManualClock clock;
    WorkerHealth health(clock);
    for (int start = 0; start < 5; ++start) {
        health.recordStart(worker, false);
    }
    CHECK_FALSE(health.recordStart(worker, true));
    CHECK(health.isQuarantined(worker));
    clock.advance(Milliseconds(30'000));
    REQUIRE(health.takeReleased().size() == 1);
    health.recordStart(worker, true);
    CHECK(health.recordStart(worker, false));
    clock.advance(Milliseconds(30'000));
    REQUIRE(health.takeReleased().size() == 1);
    for (int start = 0; start < 3; ++start) {
        health.recordStart(worker, true);
    }
    CHECK_FALSE(health.recordStart(worker, false));
    health.forget(worker);
    CHECK_FALSE(health.isQuarantined(worker));
}

TEST_CASE("a declared run time that is wrong by a factor of ten or more is corrected by a few runs", "[placement]")
{
    // Guards against decisions based on wrong declared run times. Negative control: the estimate without runs.
    RunTimeEstimator estimator;
    CHECK(estimator.estimate(vitrina, "preview", Milliseconds(500)).mean == Milliseconds(500));
    CHECK_FALSE(estimator.isLong(vitrina, "preview", Milliseconds(500), Milliseconds(2000)));
    CHECK(estimator.isLong(vitrina, "quotation", Milliseconds(5000), Milliseconds(2000)));
    for (int run = 0; run < 10; ++run) {
        estimator.observe(vitrina, "preview", std::chrono::seconds(5));
        estimator.observe(vitrina, "quotation", Milliseconds(50));
    }
    CHECK(estimator.isLong(vitrina, "preview", Milliseconds(500), Milliseconds(2000)));
    CHECK_FALSE(estimator.isLong(vitrina, "quotation", Milliseconds(5000), Milliseconds(2000)));
    const auto estimate = estimator.estimate(vitrina, "preview", Milliseconds(500));
    CHECK(estimate.median > Milliseconds(4000));
    CHECK(estimate.median < Milliseconds(6300));
}

TEST_CASE("the estimate follows a change of the run times of a kind", "[placement]")
{
    // Guards against an average over all runs, which would need as many new runs as it has old ones.
    RunTimeEstimator estimator;
    for (int run = 0; run < 100'000; ++run) {
        estimator.observe(vitrina, "preview", Milliseconds(50));
    }
    for (int run = 0; run < 1000; ++run) {
        estimator.observe(vitrina, "preview", std::chrono::seconds(5));
    }
    CHECK(estimator.isLong(vitrina, "preview", Milliseconds(50), Milliseconds(2000)));
}

TEST_CASE("a kind without runs has its declared run time, or without one the estimate of the service", "[placement]")
{
    // Guards against a first long task that counts as short because the service has run many short tasks of other kinds.
    RunTimeEstimator estimator;
    for (int run = 0; run < 500; ++run) {
        estimator.observe(vitrina, "quotation", Milliseconds(50));
    }
    CHECK(estimator.isLong(vitrina, "render", Milliseconds(60'000), Milliseconds(2000)));
    CHECK_FALSE(estimator.isLong(vitrina, "render", Milliseconds(0), Milliseconds(2000)));
    CHECK(estimator.estimate(ServiceId("taller"), "render", Milliseconds(0)).mean == Milliseconds(0));
}
