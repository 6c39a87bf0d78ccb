#include "system/ProofSeeds.h"
#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds limit { 40 };

/** Freezes an owner that has waiting callers until others own all workers, thaws it, and lets it act on what it held. */
void freezeAndThaw(SystemFixture &fixture, FaultTimes &times)
{
    SystemFixture::run(times.between(100ms, 600ms));
    const auto owner = fixture.largestOwner();
    fixture.freeze(owner);
    CHECK(fixture.waitForAllWorkers(limit));
    // The successors fill the places that the frozen owner takes for its own. More callers are needed for that, since many of the
    // others wait for the frozen instance, directly or through an instance that forwarded to it.
    fixture.startCallers({ 60, 0, 100, 15'000 });
    CHECK(fixture.waitForFreePlaces(0, limit));
    SystemFixture::run(times.between(0ms, 500ms));
    fixture.thaw(owner);
    SystemFixture::run(1500ms);
}

} // namespace

TEST_CASE("an owner is killed under load beyond capacity while the table is slow and loses answers", "[.wide]")
{
    // Guards against a successor that places before it knows what its workers hold, when each step of the takeover is late.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes times(seed);
    SystemFixture fixture("load-kill", seed);
    fixture.startCallersBeyondCapacity();
    fixture.setPlatformFaults(R"({"delayMs": 250, "loseAnswersAfterWrite": 3})");
    SystemFixture::run(times.between(100ms, 1500ms));
    fixture.kill(fixture.largestOwner());
    CHECK(fixture.waitForAllWorkers(limit));
    CHECK(fixture.waitForFreePlaces(0, limit));
    fixture.setPlatformFaults(R"({"delayMs": 0, "loseAnswersAfterWrite": 0})");
    SystemFixture::run(1s);
    fixture.stopCallers();
    CHECK(fixture.judge("load beyond capacity, owner killed, table slow and loses answers").violations.empty());
}

TEST_CASE("two owners in a row are frozen past their leases and thawed under load beyond capacity", "[system]")
{
    // Guards against a thawed owner that fills places which its successor has filled, and against an epoch that is used twice.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes times(seed);
    SystemFixture fixture("load-freeze", seed);
    fixture.startCallersBeyondCapacity();
    freezeAndThaw(fixture, times);
    freezeAndThaw(fixture, times);
    fixture.stopCallers();
    CHECK(fixture.judge("load beyond capacity, two owners in a row frozen and thawed").violations.empty());
}

TEST_CASE("without the epoch check a thawed owner overloads workers", "[.wide][control]")
{
    // Negative control for promise 1: the scenario above has to be able to fail, and the epoch check is what keeps it.
    FaultTimes times(1);
    SystemFixture fixture("control-epoch");
    fixture.setWorkerFaults(R"({"ignoreEpoch": true})");
    fixture.startCallersBeyondCapacity();
    constexpr int rounds = 4;
    long long violations = 0;
    for (int round = 0; round < rounds && violations == 0; ++round) {
        freezeAndThaw(fixture, times);
        violations = HistoryChecker::check({}, HistoryChecker::read(fixture.cell.workerAddresses())).count(Promise::Capacity);
    }
    fixture.stopCallers();
    CHECK(violations > 0);
    std::cout << "control | " << name(Promise::Capacity) << " | workers ignore epochs, owner frozen and thawed | " << violations
              << " violations shown" << std::endl;
}

namespace {

/** Starts arrive after their owner has given up waiting for an answer and before the deadline: the owner cancels in between. */
void runLateStarts(SystemFixture &fixture, const std::string &workerFaults)
{
    fixture.setWorkerFaults(workerFaults);
    fixture.startCallers({ 20, 10, 20, 3000 });
    // One round of callers that wait for their whole time, and the begin of the next.
    SystemFixture::waitFor(limit, [&] { return fixture.history.records().size() >= 30; });
    fixture.setWorkerFaults("{}");
    fixture.stopCallers();
    // The last starts that are still under way arrive.
    SystemFixture::run(1s);
}

} // namespace

TEST_CASE("starts reach the workers late, when their callers have been told", "[system]")
{
    // Guards against a start that is under way while its request is reported as not run, and runs afterwards.
    SystemFixture fixture("late-starts");
    runLateStarts(fixture, R"({"startDelayMs": 2900})");
    CHECK(fixture.history.count("not-run") > 0);
    CHECK(fixture.judge("starts arrive when their callers have been told").violations.empty());
}

TEST_CASE("without the memory of cancelled ids late starts run", "[.wide][control]")
{
    // Negative control for promise 4: the scenario above has to be able to fail, and the workers' memory is what keeps it.
    SystemFixture fixture("control-cancelled");
    runLateStarts(fixture, R"({"startDelayMs": 2900, "forgetCancelled": true})");
    const auto judgement = HistoryChecker::check(fixture.history.records(), HistoryChecker::read(fixture.cell.workerAddresses()));
    CHECK(judgement.count(Promise::NotRun) > 0);
    std::cout << "control | " << name(Promise::NotRun) << " | workers forget cancelled ids, starts arrive late | "
              << judgement.count(Promise::NotRun) << " violations shown" << std::endl;
}
