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
    // Guards against a broken hop on the path of a request: caller, entry instance, owner, worker and back.
    SystemFixture fixture("steady");
    fixture.startCallers();
    SystemFixture::runFor(std::chrono::seconds(3));
    fixture.stopCallers();
    CHECK(fixture.checkPromises("none").violations.empty());
    CHECK(fixture.history.count("answered") == fixture.history.records().size());
    CHECK(fixture.cell.stopInstances(stopLimit));
}

TEST_CASE("an owner is killed under load", "[system]")
{
    // Guards against duplicate runs, wrong refusals and overloaded workers after a takeover.
    SystemFixture fixture("kill");
    fixture.startCallers();
    SystemFixture::runFor(std::chrono::seconds(1));
    fixture.kill(fixture.findLargestOwner());
    CHECK(fixture.waitForAllWorkers(takeoverLimit));
    SystemFixture::runFor(std::chrono::seconds(2));
    fixture.stopCallers();
    CHECK(fixture.checkPromises("owner killed").violations.empty());
    CHECK(fixture.history.count("answered") > 0);
}

TEST_CASE("an owner is frozen past its lease and thawed after the takeover", "[system]")
{
    // Guards against a thawed owner that starts tasks on workers that its successor owns.
    SystemFixture fixture("freeze");
    fixture.startCallers();
    SystemFixture::runFor(std::chrono::seconds(1));
    const auto owner = fixture.findLargestOwner();
    // Unlike freeze(), this leaves the owner in the balancer.
    fixture.cell.instance(owner).signal(SIGSTOP);
    SystemFixture::runFor(std::chrono::seconds(6));
    fixture.cell.instance(owner).signal(SIGCONT);
    SystemFixture::runFor(std::chrono::seconds(3));
    fixture.stopCallers();
    CHECK(fixture.checkPromises("owner frozen 6 s, then thawed").violations.empty());
    CHECK(fixture.waitForAllWorkers(takeoverLimit));
}

TEST_CASE("all instances are restarted one after another under load", "[system]")
{
    // Guards against a planned stop that aborts a request in flight.
    SystemFixture fixture("rolling");
    fixture.startCallers();
    SystemFixture::runFor(std::chrono::seconds(1));
    for (const std::string id : { "entry-1", "entry-2", "entry-3" }) {
        fixture.cell.instance(id).signal(SIGTERM);
        // The balancer needs this time to notice the failed health check.
        SystemFixture::runFor(std::chrono::milliseconds(300));
        fixture.setInBalancer(id, false);
        CHECK(fixture.cell.instance(id).waitForExit(stopLimit) == 0);
        fixture.startInstance(id);
        REQUIRE(fixture.cell.waitUntilReady(id, takeoverLimit));
        fixture.setInBalancer(id, true);
        SystemFixture::runFor(std::chrono::milliseconds(500));
    }
    fixture.stopCallers();
    CHECK(fixture.checkPromises("rolling restart").violations.empty());
    const auto stops = HistoryChecker::checkPlannedStop(fixture.history.records());
    fixture.report(stops, "rolling restart");
    CHECK(stops.violations.empty());
}

TEST_CASE("the table is down for seconds, then back", "[system]")
{
    // Guards against repeatable requests that fail while the table is down, and non-repeatable ones that run without a record.
    SystemFixture fixture("outage");
    fixture.startCallers();
    SystemFixture::runFor(std::chrono::seconds(1));
    fixture.setPlatformFaults(R"({"down": true})");
    const auto answeredBefore = fixture.history.count("answered");
    SystemFixture::runFor(std::chrono::seconds(5));
    CHECK(fixture.history.count("answered") > answeredBefore + 100);
    fixture.setPlatformFaults(R"({"down": false, "loseAnswersAfterWrite": 5})");
    SystemFixture::runFor(std::chrono::seconds(3));
    fixture.stopCallers();
    CHECK(fixture.checkPromises("table down 5 s, then 5 lost answers").violations.empty());
}

TEST_CASE("workers' answers are cut and crossed", "[system]")
{
    // Guards against a caller that gets another caller's answer, and against a second run after a lost answer.
    SystemFixture fixture("answers");
    fixture.startCallers();
    for (int round = 0; round < 4; ++round) {
        fixture.setWorkerFaults(R"({"cutAnswers": 3, "crossAnswers": 3, "answerDelayMs": 5})");
        SystemFixture::runFor(std::chrono::milliseconds(800));
    }
    fixture.setWorkerFaults("{}");
    SystemFixture::runFor(std::chrono::seconds(1));
    fixture.stopCallers();
    CHECK(fixture.checkPromises("cut, crossed and late answers").violations.empty());
}

TEST_CASE("two operators apply at the same time through two instances", "[system]")
{
    // Guards against a lost update, a version that is not in force on all instances within 3 s, and a return to an older version.
    SystemFixture fixture("race");
    VersionWatch watch;
    for (const auto &id : fixture.cell.instances()) {
        watch.watch(id, fixture.cell.operatorsAddress(id));
    }
    std::chrono::milliseconds slowestPropagation { 0 };
    for (long long version = 1; version <= 5; ++version) {
        std::optional<HttpReply> firstReply;
        std::optional<HttpReply> secondReply;
        std::thread secondOperator([&] {
            secondReply = fixture.cell.apply("entry-2", SystemFixture::declaration(static_cast<int>(version) * 2), version);
        });
        firstReply = fixture.cell.apply("entry-1", SystemFixture::declaration(static_cast<int>(version) * 2 + 1), version);
        secondOperator.join();
        REQUIRE(firstReply);
        REQUIRE(secondReply);
        CHECK((firstReply->status == 200) != (secondReply->status == 200));
        CHECK(std::max(firstReply->status, secondReply->status) == 409);
        const auto begin = std::chrono::steady_clock::now();
        for (const auto &id : fixture.cell.instances()) {
            while (fixture.readVersion(id) < version + 1 && std::chrono::steady_clock::now() - begin < std::chrono::seconds(10)) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            CHECK(fixture.readVersion(id) == version + 1);
        }
        slowestPropagation = std::max(
            slowestPropagation, std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin));
    }
    CHECK(slowestPropagation <= std::chrono::seconds(3));
    watch.stop();
    const auto result = VersionWatch::check(watch.samples(), {});
    fixture.report(result, "two operators race");
    CHECK(result.violations.empty());
}
