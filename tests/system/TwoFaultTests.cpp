#include "system/ProofSeeds.h"
#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds limit { 40 };
/** The lag of the platform's list (the default of the stand-in). */
constexpr std::chrono::milliseconds listLag { 1000 };
/** "A few seconds" of promise 6, from the time at which the list tells. */
constexpr std::chrono::milliseconds leavingLimit { 3000 };

long long wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

TEST_CASE("workers are marked as leaving while an owner is frozen", "[system]")
{
    // Guards against a thawed owner, or a successor, that places on a worker which the list has long shown as leaving.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes times(seed);
    SystemFixture fixture("leaving", seed);
    fixture.startCallersBeyondCapacity();
    SystemFixture::run(times.between(0ms, 1000ms));
    const auto owner = fixture.largestOwner();
    const auto ofFrozen = fixture.workersOf(owner);
    fixture.freeze(owner);
    const auto ofOther = fixture.workersOf(fixture.largestOwner());
    for (const auto &worker : { *ofFrozen.begin(), *ofOther.begin() }) {
        const auto reply = Cell::call(
            fixture.cell.platformAddress(), "PUT", "/v1/workers/" + worker, R"({"state": "leaving"})", {}, limit);
        REQUIRE(reply);
        REQUIRE(reply->status == 200);
    }
    const auto latest = wallMs() + (listLag + leavingLimit).count();
    CHECK(fixture.waitForAllWorkers(limit));
    SystemFixture::run(times.between(0ms, 1000ms));
    fixture.thaw(owner);
    CHECK(SystemFixture::waitFor(limit, [&] { return wallMs() > latest + 1500; }));
    fixture.stopCallers();
    const std::string faults = "workers marked as leaving while their owner is frozen";
    auto judgement = fixture.judge(faults);
    const auto history = HistoryChecker::read(fixture.cell.workerAddresses());
    auto leaving = HistoryChecker::checkLeaving(history, *ofFrozen.begin(), latest);
    leaving.add(HistoryChecker::checkLeaving(history, *ofOther.begin(), latest));
    fixture.report(leaving, faults);
    CHECK(judgement.violations.empty());
    CHECK(leaving.violations.empty());
}

TEST_CASE("instances are restarted one after another while the table is down for seconds", "[.wide]")
{
    // Guards against a planned stop that gives up its callers because it cannot release its shards. Section 8 of the design says
    // what may be refused meanwhile: requests that are not repeatable, as not run.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes times(seed);
    SystemFixture fixture("rolling-outage", seed);
    fixture.startCallers();
    for (const std::string id : { "entry-1", "entry-2", "entry-3" }) {
        SystemFixture::run(times.between(200ms, 800ms));
        const bool isDownFirst = times.between(0ms, 1ms) == 0ms;
        const auto setDown = [&] { fixture.setPlatformFaults(R"({"down": true})"); };
        if (isDownFirst) {
            setDown();
            SystemFixture::run(times.between(0ms, 1000ms));
        }
        fixture.cell.instance(id).signal(SIGTERM);
        SystemFixture::run(300ms);
        fixture.setInBalancer(id, false);
        if (!isDownFirst) {
            SystemFixture::run(times.between(0ms, 1000ms));
            setDown();
        }
        SystemFixture::run(times.between(2000ms, 3000ms));
        fixture.setPlatformFaults(R"({"down": false})");
        CHECK(fixture.cell.instance(id).waitForExit(limit) == 0);
        fixture.startInstance(id);
        REQUIRE(fixture.cell.waitUntilReady(id, limit));
        fixture.setInBalancer(id, true);
        CHECK(fixture.waitForAllWorkers(limit));
    }
    fixture.stopCallers();
    const std::string faults = "rolling restart, table down for seconds each time";
    CHECK(fixture.judge(faults).violations.empty());
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
