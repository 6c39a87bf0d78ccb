#include "cell/VersionWatch.h"
#include "system/ProofSeeds.h"
#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds waitLimit { 40 };

/** A cell whose instances are polled for their configuration version until checkAndReport(). */
struct WatchedCell
{
    WatchedCell(const std::string &name, unsigned seed) : fixture(name, seed)
    {
        for (const auto &id : fixture.cell.instances()) {
            watch.watch(id, fixture.cell.operatorsAddress(id));
        }
    }

    /** Applies the next version through an instance. @return true if it was accepted */
    bool apply(const std::string &instance)
    {
        const auto reply = fixture.cell.apply(instance, SystemFixture::declaration(static_cast<int>(version) + 1), version);
        const bool isAccepted = reply && reply->status == 200;
        version += isAccepted ? 1 : 0;
        return isAccepted;
    }

    bool waitForVersion(const std::string &instance)
    {
        return SystemFixture::waitFor(waitLimit, [&] { return fixture.readVersion(instance) >= version; });
    }

    /** Requires that the processes have the current version in force within 3 s of the time when any process first showed it. */
    void expectVersion(const std::vector<std::string> &processes)
    {
        for (const auto &process : processes) {
            deadlinesFromFirstShown.push_back({ process, version, {} });
        }
    }

    void checkAndReport(const std::string &faults, const CheckResult &additional = {})
    {
        watch.stop();
        for (auto deadline : deadlinesFromFirstShown) {
            deadline.from = VersionWatch::firstShown(watch.samples(), deadline.version);
            deadlines.push_back(deadline);
        }
        auto result = VersionWatch::check(watch.samples(), deadlines);
        result.add(additional);
        fixture.report(result, faults);
        CHECK(result.violations.empty());
    }

    SystemFixture fixture;
    VersionWatch watch;
    /** Deadlines that begin at a time that the test sets. */
    std::vector<VersionDeadline> deadlines;
    /** Deadlines that begin when any process first shows the version; checkAndReport() sets this time. */
    std::vector<VersionDeadline> deadlinesFromFirstShown;
    long long version = 1;
};

} // namespace

TEST_CASE("the table loses the answer to an apply that it has accepted", "[system]")
{
    // Guards against an apply that is reported as refused although it is in force, and against one that is written twice.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes faultTimes(seed);
    WatchedCell cell("lost-apply", seed);
    for (const std::string id : { "entry-1", "entry-2" }) {
        SystemFixture::runFor(faultTimes.drawDelay(0ms, 1000ms));
        // Lease renewals lose answers too; with three losses, the apply or its first retry is affected.
        cell.fixture.setPlatformFaults(R"({"loseAnswersAfterWrite": 3})");
        CHECK(cell.apply(id));
        cell.fixture.setPlatformFaults(R"({"loseAnswersAfterWrite": 0})");
        for (const auto &other : cell.fixture.cell.instances()) {
            CHECK(cell.waitForVersion(other));
        }
        cell.expectVersion(cell.fixture.cell.instances());
        CHECK(cell.fixture.readVersion(id) == cell.version);
    }
    cell.checkAndReport("answers to accepted applies are lost");
}

TEST_CASE("an instance is frozen during applies and thawed", "[.wide]")
{
    // Guards against a thawed instance that keeps the version it had before the freeze, or sends it to its peers.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes faultTimes(seed);
    WatchedCell cell("frozen-apply", seed);
    SystemFixture::runFor(faultTimes.drawDelay(0ms, 1000ms));
    cell.fixture.freeze("entry-3");
    CHECK(cell.apply("entry-1"));
    CHECK(cell.apply("entry-2"));
    cell.expectVersion({ "entry-1", "entry-2" });
    SystemFixture::runFor(faultTimes.drawDelay(0ms, 5000ms));
    cell.deadlines.push_back({ "entry-3", cell.version, std::chrono::steady_clock::now() });
    cell.fixture.thaw("entry-3");
    CHECK(cell.waitForVersion("entry-3"));
    SystemFixture::runFor(1s);
    cell.checkAndReport("instance frozen during two applies, then thawed");
}

TEST_CASE("an instance is replaced while the table is down", "[system]")
{
    // Guards against a new instance that serves without a configuration, or with an older version than its peers have.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes faultTimes(seed);
    WatchedCell cell("replaced", seed);
    CHECK(cell.apply("entry-1"));
    for (const auto &id : cell.fixture.cell.instances()) {
        CHECK(cell.waitForVersion(id));
    }
    cell.expectVersion(cell.fixture.cell.instances());
    cell.fixture.setPlatformFaults(R"({"down": true})");
    SystemFixture::runFor(faultTimes.drawDelay(0ms, 1500ms));
    cell.watch.unwatch("entry-2");
    cell.fixture.cell.instance("entry-2").signal(SIGKILL);
    cell.fixture.cell.instance("entry-2").waitForExit(waitLimit);
    SystemFixture::runFor(faultTimes.drawDelay(0ms, 1500ms));
    cell.fixture.startInstance("entry-2", true);
    const std::string replacement = "entry-2 replaced";
    cell.watch.watch(replacement, cell.fixture.cell.operatorsAddress("entry-2"));
    CHECK(cell.fixture.cell.waitUntilReady("entry-2", waitLimit));
    CHECK(cell.fixture.readVersion("entry-2") == cell.version);
    cell.fixture.setPlatformFaults(R"({"down": false})");
    SystemFixture::runFor(2s);
    cell.watch.stop();
    cell.checkAndReport("instance replaced while the table is down",
                        VersionWatch::checkFirst(cell.watch.samples(), replacement, cell.version));
}
