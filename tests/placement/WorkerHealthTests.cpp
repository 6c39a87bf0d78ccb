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
    // Guards against a worker that fails everything at once and, being always free, attracts all work.
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

TEST_CASE("failures that lie more than ten starts back do not count", "[placement]")
{
    // Guards against the quarantine of a worker with a failure now and then.
    ManualClock clock;
    WorkerHealth health(clock);
    for (int start = 0; start < 100; ++start) {
        REQUIRE_FALSE(health.recordStart(worker, start % 3 != 0));
    }
}

TEST_CASE("a worker on trial goes back at its first failure and is cleared by three successes", "[placement]")
{
    // Guards against missing hysteresis: a broken worker would take five tasks after each 30 s.
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

TEST_CASE("run times that are declared ten times too short or too long are corrected by a few runs", "[placement]")
{
    // Guards against decisions that rest on declared run times, which are far off. Negative control: the estimate without runs.
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

TEST_CASE("a kind of work that changes is learned anew", "[placement]")
{
    // Guards against an average over all time, which would take as many runs to change as it has seen.
    RunTimeEstimator estimator;
    for (int run = 0; run < 100'000; ++run) {
        estimator.observe(vitrina, "preview", Milliseconds(50));
    }
    for (int run = 0; run < 1000; ++run) {
        estimator.observe(vitrina, "preview", std::chrono::seconds(5));
    }
    CHECK(estimator.isLong(vitrina, "preview", Milliseconds(50), Milliseconds(2000)));
}

TEST_CASE("an unseen kind follows its declaration, and without one the service", "[placement]")
{
    // Guards against a first long preview that counts as short because the service has many quotations.
    RunTimeEstimator estimator;
    for (int run = 0; run < 500; ++run) {
        estimator.observe(vitrina, "quotation", Milliseconds(50));
    }
    CHECK(estimator.isLong(vitrina, "render", Milliseconds(60'000), Milliseconds(2000)));
    CHECK_FALSE(estimator.isLong(vitrina, "render", Milliseconds(0), Milliseconds(2000)));
    CHECK(estimator.estimate(ServiceId("taller"), "render", Milliseconds(0)).mean == Milliseconds(0));
}
