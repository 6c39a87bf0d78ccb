#include "system/ProofSeeds.h"
#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds waitLimit { 40 };

/** Freezes an owner with waiting callers until other instances own all workers, then thaws it and lets it run for 1.5 s. */
void freezeAndThaw(SystemFixture &fixture, FaultTimes &faultTimes)
{
    SystemFixture::runFor(faultTimes.drawDelay(100ms, 600ms));
    const auto owner = fixture.findLargestOwner();
    fixture.freeze(owner);
    CHECK(fixture.waitForAllWorkers(waitLimit));
    // The successors fill the places that the frozen owner still counts as its own. This needs more callers, because many of the
    // others wait for the frozen instance, directly or through an instance that forwarded their request to it.
    fixture.startCallers({ 60, 0, 100, 15'000 });
    CHECK(fixture.waitForFreePlaces(0, waitLimit));
    SystemFixture::runFor(faultTimes.drawDelay(0ms, 500ms));
    fixture.thaw(owner);
    SystemFixture::runFor(1500ms);
}

} // namespace

TEST_CASE("an owner is killed under load beyond capacity while the table is slow and loses answers", "[.wide]")
{
    // Guards against a successor that places tasks before it knows what its workers run, when each takeover step is slow.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes faultTimes(seed);
    SystemFixture fixture("load-kill", seed);
    fixture.startCallersBeyondCapacity();
    fixture.setPlatformFaults(R"({"delayMs": 250, "loseAnswersAfterWrite": 3})");
    SystemFixture::runFor(faultTimes.drawDelay(100ms, 1500ms));
    fixture.kill(fixture.findLargestOwner());
    CHECK(fixture.waitForAllWorkers(waitLimit));
    CHECK(fixture.waitForFreePlaces(0, waitLimit));
    fixture.setPlatformFaults(R"({"delayMs": 0, "loseAnswersAfterWrite": 0})");
    SystemFixture::runFor(1s);
    fixture.stopCallers();
    CHECK(fixture.checkPromises("load beyond capacity, owner killed, table slow and loses answers").violations.empty());
}

TEST_CASE("two owners in a row are frozen past their leases and thawed under load beyond capacity", "[system]")
{
    // Guards against a thawed owner that fills places that its successor has filled, and against an epoch that is used twice.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes faultTimes(seed);
    SystemFixture fixture("load-freeze", seed);
    fixture.startCallersBeyondCapacity();
    freezeAndThaw(fixture, faultTimes);
    freezeAndThaw(fixture, faultTimes);
    fixture.stopCallers();
    CHECK(fixture.checkPromises("load beyond capacity, two owners in a row frozen and thawed").violations.empty());
}

TEST_CASE("without the epoch check a thawed owner overloads workers", "[.wide][control]")
{
    // Negative control for promise 1: shows that the scenario above detects violations when workers do not check epochs.
    FaultTimes faultTimes(1);
    SystemFixture fixture("control-epoch");
    fixture.setWorkerFaults(R"({"ignoreEpoch": true})");
    fixture.startCallersBeyondCapacity();
    constexpr int maximumRounds = 4;
    long long violations = 0;
    for (int round = 0; round < maximumRounds && violations == 0; ++round) {
        freezeAndThaw(fixture, faultTimes);
        violations = HistoryChecker::check({}, HistoryChecker::read(fixture.cell.workerAddresses())).count(Promise::Capacity);
    }
    fixture.stopCallers();
    CHECK(violations > 0);
    std::cout << "control | " << name(Promise::Capacity) << " | workers ignore epochs, owner frozen and thawed | " << violations
              << " violations shown" << std::endl;
}

namespace {

/**
    Runs callers while the workers inject faults that delay each start: it arrives after its owner has given up waiting for
    an answer and before the deadline, and the owner cancels it in between.

    @param workerFaults JSON for setWorkerFaults()
*/
void runLateStarts(SystemFixture &fixture, const std::string &workerFaults)
{
    fixture.setWorkerFaults(workerFaults);
    fixture.startCallers({ 20, 10, 20, 3000 });
    // Waits until as many calls have ended as there are callers. Each waits for its whole timeout; then the next ones begin.
    SystemFixture::waitFor(waitLimit, [&] { return fixture.history.records().size() >= 30; });
    fixture.setWorkerFaults("{}");
    fixture.stopCallers();
    // Delayed starts that are still in flight arrive within this time.
    SystemFixture::runFor(1s);
}

} // namespace

TEST_CASE("starts reach the workers late, when their callers have been told", "[system]")
{
    // Guards against a start that is in flight while its request is reported as not run, and that runs afterwards.
    SystemFixture fixture("late-starts");
    runLateStarts(fixture, R"({"startDelayMs": 2900})");
    CHECK(fixture.history.count("not-run") > 0);
    CHECK(fixture.checkPromises("starts arrive when their callers have been told").violations.empty());
}

TEST_CASE("late starts run when workers forget cancelled ids", "[.wide][control]")
{
    // Negative control for promise 4: shows that the scenario above detects violations when workers forget cancelled ids.
    SystemFixture fixture("control-cancelled");
    runLateStarts(fixture, R"({"startDelayMs": 2900, "forgetCancelled": true})");
    const auto result = HistoryChecker::check(fixture.history.records(), HistoryChecker::read(fixture.cell.workerAddresses()));
    CHECK(result.count(Promise::NotRun) > 0);
    std::cout << "control | " << name(Promise::NotRun) << " | workers forget cancelled ids, starts arrive late | "
              << result.count(Promise::NotRun) << " violations shown" << std::endl;
}
