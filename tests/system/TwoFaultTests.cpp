#include "system/ProofSeeds.h"
#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds waitLimit { 40 };
/** Delay until a change shows in the platform's worker list; the default of the stand-in platform. */
constexpr std::chrono::milliseconds listLag { 1000 };
/** The "few seconds" of promise 6, from the time at which the list shows a worker as leaving. */
constexpr std::chrono::milliseconds leavingLimit { 3000 };

long long currentTimeMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

TEST_CASE("workers are marked as leaving while an owner is frozen", "[system]")
{
    // Guards against a thawed owner, or a successor, that starts tasks on a worker long after the list began to show it as
    // leaving.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes faultTimes(seed);
    SystemFixture fixture("leaving", seed);
    fixture.startCallersBeyondCapacity();
    SystemFixture::runFor(faultTimes.drawDelay(0ms, 1000ms));
    const auto owner = fixture.findLargestOwner();
    const auto workersOfFrozenOwner = fixture.readOwnedWorkers(owner);
    fixture.freeze(owner);
    const auto workersOfOtherOwner = fixture.readOwnedWorkers(fixture.findLargestOwner());
    for (const auto &worker : { *workersOfFrozenOwner.begin(), *workersOfOtherOwner.begin() }) {
        const auto reply = Cell::call(
            fixture.cell.platformAddress(), "PUT", "/v1/workers/" + worker, R"({"state": "leaving"})", {}, waitLimit);
        REQUIRE(reply);
        REQUIRE(reply->status == 200);
    }
    const auto latestStartMs = currentTimeMs() + (listLag + leavingLimit).count();
    CHECK(fixture.waitForAllWorkers(waitLimit));
    SystemFixture::runFor(faultTimes.drawDelay(0ms, 1000ms));
    fixture.thaw(owner);
    CHECK(SystemFixture::waitFor(waitLimit, [&] { return currentTimeMs() > latestStartMs + 1500; }));
    fixture.stopCallers();
    const std::string faults = "workers marked as leaving while their owner is frozen";
    auto result = fixture.checkPromises(faults);
    const auto history = HistoryChecker::read(fixture.cell.workerAddresses());
    auto leaving = HistoryChecker::checkLeaving(history, *workersOfFrozenOwner.begin(), latestStartMs);
    leaving.add(HistoryChecker::checkLeaving(history, *workersOfOtherOwner.begin(), latestStartMs));
    fixture.report(leaving, faults);
    CHECK(result.violations.empty());
    CHECK(leaving.violations.empty());
}

TEST_CASE("instances are restarted one after another while the table is down for seconds", "[.wide]")
{
    // Guards against a planned stop that drops its callers because it cannot release its shards. Section 8 of docs/design.md allows
    // one refusal during the outage: of non-repeatable requests, as not run.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes faultTimes(seed);
    SystemFixture fixture("rolling-outage", seed);
    fixture.startCallers();
    for (const std::string id : { "entry-1", "entry-2", "entry-3" }) {
        SystemFixture::runFor(faultTimes.drawDelay(200ms, 800ms));
        const bool isDownFirst = faultTimes.drawDelay(0ms, 1ms) == 0ms;
        const auto takeTableDown = [&] { fixture.setPlatformFaults(R"({"down": true})"); };
        if (isDownFirst) {
            takeTableDown();
            SystemFixture::runFor(faultTimes.drawDelay(0ms, 1000ms));
        }
        fixture.cell.instance(id).signal(SIGTERM);
        SystemFixture::runFor(300ms);
        fixture.setInBalancer(id, false);
        if (!isDownFirst) {
            SystemFixture::runFor(faultTimes.drawDelay(0ms, 1000ms));
            takeTableDown();
        }
        SystemFixture::runFor(faultTimes.drawDelay(2000ms, 3000ms));
        fixture.setPlatformFaults(R"({"down": false})");
        CHECK(fixture.cell.instance(id).waitForExit(waitLimit) == 0);
        fixture.startInstance(id);
        REQUIRE(fixture.cell.waitUntilReady(id, waitLimit));
        fixture.setInBalancer(id, true);
        CHECK(fixture.waitForAllWorkers(waitLimit));
    }
    fixture.stopCallers();
    const std::string faults = "rolling restart, table down for seconds each time";
    CHECK(fixture.checkPromises(faults).violations.empty());
    const auto stops = HistoryChecker::checkPlannedStop(fixture.history.records());
    fixture.report(stops, faults);
    CHECK(stops.violations.empty());
    for (const auto &call : fixture.history.records()) {
        if (call.outcome == "not-run" && call.idempotencyKey.empty()) {
            INFO(call.mark + ": " + call.reason);
            CHECK(call.reason != "service-down");
        }
    }
}
