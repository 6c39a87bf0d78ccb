#include "cell/VersionWatch.h"
#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace auburndoor;

namespace {

constexpr std::chrono::seconds takeoverLimit { 20 };
constexpr std::chrono::seconds stopLimit { 40 };

} // namespace

TEST_CASE("without faults every caller gets its answer", "[system]")
{
    // Guards against a path between processes that does not serve: caller, entry instance, owner, worker and back.
    SystemFixture fixture("steady");
    fixture.startCallers();
    SystemFixture::run(std::chrono::seconds(3));
    fixture.stopCallers();
    CHECK(fixture.judge("none").violations.empty());
    CHECK(fixture.history.count("answered") == fixture.history.records().size());
    CHECK(fixture.cell.stopInstances(stopLimit));
}

TEST_CASE("an owner is killed under load", "[system]")
{
    // Guards against double runs, false refusals and overloaded workers after a takeover.
    SystemFixture fixture("kill");
    fixture.startCallers();
    SystemFixture::run(std::chrono::seconds(1));
    fixture.kill(fixture.largestOwner());
    CHECK(fixture.waitForAllWorkers(takeoverLimit));
    SystemFixture::run(std::chrono::seconds(2));
    fixture.stopCallers();
    CHECK(fixture.judge("owner killed").violations.empty());
    CHECK(fixture.history.count("answered") > 0);
}

TEST_CASE("an owner is frozen past its lease and thawed after the takeover", "[system]")
{
    // Guards against a thawed owner that starts tasks on workers which belong to its successor.
    SystemFixture fixture("freeze");
    fixture.startCallers();
    SystemFixture::run(std::chrono::seconds(1));
    const auto owner = fixture.largestOwner();
    // The balancer goes on to use it.
    fixture.cell.instance(owner).signal(SIGSTOP);
    SystemFixture::run(std::chrono::seconds(6));
    fixture.cell.instance(owner).signal(SIGCONT);
    SystemFixture::run(std::chrono::seconds(3));
    fixture.stopCallers();
    CHECK(fixture.judge("owner frozen 6 s, then thawed").violations.empty());
    CHECK(fixture.waitForAllWorkers(takeoverLimit));
}

TEST_CASE("all instances are restarted one after another under load", "[system]")
{
    // Guards against a planned stop that cuts a request in flight.
    SystemFixture fixture("rolling");
    fixture.startCallers();
    SystemFixture::run(std::chrono::seconds(1));
    for (const std::string id : { "entry-1", "entry-2", "entry-3" }) {
        fixture.cell.instance(id).signal(SIGTERM);
        // The balancer notices the failed health check.
        SystemFixture::run(std::chrono::milliseconds(300));
        fixture.setInBalancer(id, false);
        CHECK(fixture.cell.instance(id).waitForExit(stopLimit) == 0);
        fixture.startInstance(id);
        REQUIRE(fixture.cell.waitUntilReady(id, takeoverLimit));
        fixture.setInBalancer(id, true);
        SystemFixture::run(std::chrono::milliseconds(500));
    }
    fixture.stopCallers();
    CHECK(fixture.judge("rolling restart").violations.empty());
    const auto stops = HistoryChecker::checkPlannedStop(fixture.history.records());
    fixture.report(stops, "rolling restart");
    CHECK(stops.violations.empty());
}

TEST_CASE("the table is down for seconds, then back", "[system]")
{
    // Guards against repeatable work that stops with the table, and against non-repeatable work that runs without its record.
    SystemFixture fixture("outage");
    fixture.startCallers();
    SystemFixture::run(std::chrono::seconds(1));
    fixture.setPlatformFaults(R"({"down": true})");
    const auto before = fixture.history.count("answered");
    SystemFixture::run(std::chrono::seconds(5));
    CHECK(fixture.history.count("answered") > before + 100);
    fixture.setPlatformFaults(R"({"down": false, "loseAnswersAfterWrite": 5})");
    SystemFixture::run(std::chrono::seconds(3));
    fixture.stopCallers();
    CHECK(fixture.judge("table down 5 s, then 5 lost answers").violations.empty());
}

TEST_CASE("workers' answers are cut and crossed", "[system]")
{
    // Guards against a caller that gets another caller's answer, or a second run after a lost one.
    SystemFixture fixture("answers");
    fixture.startCallers();
    for (int round = 0; round < 4; ++round) {
        fixture.setWorkerFaults(R"({"cutAnswers": 3, "crossAnswers": 3, "answerDelayMs": 5})");
        SystemFixture::run(std::chrono::milliseconds(800));
    }
    fixture.setWorkerFaults("{}");
    SystemFixture::run(std::chrono::seconds(1));
    fixture.stopCallers();
    CHECK(fixture.judge("cut, crossed and late answers").violations.empty());
}

TEST_CASE("two operators race from two instances", "[system]")
{
    // Guards against a lost update, a version that is not in force everywhere within 3 s, and one that reverts.
    SystemFixture fixture("race");
    VersionWatch watch;
    for (const auto &id : fixture.cell.instances()) {
        watch.watch(id, fixture.cell.operatorsAddress(id));
    }
    std::chrono::milliseconds slowest { 0 };
    for (long long version = 1; version <= 5; ++version) {
        std::optional<HttpReply> first;
        std::optional<HttpReply> second;
        std::thread rival(
            [&] { second = fixture.cell.apply("entry-2", SystemFixture::declaration(static_cast<int>(version) * 2), version); });
        first = fixture.cell.apply("entry-1", SystemFixture::declaration(static_cast<int>(version) * 2 + 1), version);
        rival.join();
        REQUIRE(first);
        REQUIRE(second);
        CHECK((first->status == 200) != (second->status == 200));
        CHECK(std::max(first->status, second->status) == 409);
        const auto begin = std::chrono::steady_clock::now();
        for (const auto &id : fixture.cell.instances()) {
            while (fixture.versionAt(id) < version + 1 && std::chrono::steady_clock::now() - begin < std::chrono::seconds(10)) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            CHECK(fixture.versionAt(id) == version + 1);
        }
        slowest = std::max(slowest,
                           std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin));
    }
    CHECK(slowest <= std::chrono::seconds(3));
    watch.stop();
    const auto judgement = VersionWatch::check(watch.samples(), {});
    fixture.report(judgement, "two operators race");
    CHECK(judgement.violations.empty());
}
