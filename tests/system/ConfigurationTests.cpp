#include "cell/VersionWatch.h"
#include "system/ProofSeeds.h"
#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds limit { 40 };

/** A cell whose instances are asked for their version all the time. */
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
        return SystemFixture::waitFor(limit, [&] { return fixture.versionAt(instance) >= version; });
    }

    /** Due from the first time that any instance showed the version, which is not before its acceptance. */
    void expect(const std::vector<std::string> &processes)
    {
        for (const auto &process : processes) {
            accepted.push_back({ process, version, {} });
        }
    }

    void conclude(const std::string &faults, const CheckResult &more = {})
    {
        watch.stop();
        for (auto due : accepted) {
            due.from = VersionWatch::firstShown(watch.samples(), due.version);
            deadlines.push_back(due);
        }
        auto judgement = VersionWatch::check(watch.samples(), deadlines);
        judgement.add(more);
        fixture.report(judgement, faults);
        CHECK(judgement.violations.empty());
    }

    SystemFixture fixture;
    VersionWatch watch;
    /** Due from a time that the test knows. */
    std::vector<VersionDeadline> deadlines;
    /** Due from the first showing, which is known at the end. */
    std::vector<VersionDeadline> accepted;
    long long version = 1;
};

} // namespace

TEST_CASE("the table loses the answer to an apply that it has accepted", "[system]")
{
    // Guards against an apply that is reported as refused although it is in force, and against one that is written twice.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes times(seed);
    WatchedCell cell("lost-apply", seed);
    for (const std::string id : { "entry-1", "entry-2" }) {
        SystemFixture::run(times.between(0ms, 1000ms));
        // Renewals of leases lose answers too; three losses reach the apply or its first repetition.
        cell.fixture.setPlatformFaults(R"({"loseAnswersAfterWrite": 3})");
        CHECK(cell.apply(id));
        cell.fixture.setPlatformFaults(R"({"loseAnswersAfterWrite": 0})");
        for (const auto &other : cell.fixture.cell.instances()) {
            CHECK(cell.waitForVersion(other));
        }
        cell.expect(cell.fixture.cell.instances());
        CHECK(cell.fixture.versionAt(id) == cell.version);
    }
    cell.conclude("answers to accepted applies are lost");
}

TEST_CASE("an instance is frozen during applies and thawed", "[.wide]")
{
    // Guards against a thawed instance that carries on with the version it knew, or spreads it.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes times(seed);
    WatchedCell cell("frozen-apply", seed);
    SystemFixture::run(times.between(0ms, 1000ms));
    cell.fixture.freeze("entry-3");
    CHECK(cell.apply("entry-1"));
    CHECK(cell.apply("entry-2"));
    cell.expect({ "entry-1", "entry-2" });
    SystemFixture::run(times.between(0ms, 5000ms));
    cell.deadlines.push_back({ "entry-3", cell.version, std::chrono::steady_clock::now() });
    cell.fixture.thaw("entry-3");
    CHECK(cell.waitForVersion("entry-3"));
    SystemFixture::run(1s);
    cell.conclude("instance frozen during two applies, then thawed");
}

TEST_CASE("an instance is replaced while the table is down", "[system]")
{
    // Guards against a fresh instance that serves with no version, or with an older one than its peers have.
    const auto seed = GENERATE(from_range(proofSeeds()));
    FaultTimes times(seed);
    WatchedCell cell("replaced", seed);
    CHECK(cell.apply("entry-1"));
    for (const auto &id : cell.fixture.cell.instances()) {
        CHECK(cell.waitForVersion(id));
    }
    cell.expect(cell.fixture.cell.instances());
    cell.fixture.setPlatformFaults(R"({"down": true})");
    SystemFixture::run(times.between(0ms, 1500ms));
    cell.watch.unwatch("entry-2");
    cell.fixture.cell.instance("entry-2").signal(SIGKILL);
    cell.fixture.cell.instance("entry-2").waitForExit(limit);
    SystemFixture::run(times.between(0ms, 1500ms));
    cell.fixture.startInstance("entry-2", true);
    const std::string replacement = "entry-2 replaced";
    cell.watch.watch(replacement, cell.fixture.cell.operatorsAddress("entry-2"));
    CHECK(cell.fixture.cell.waitUntilReady("entry-2", limit));
    CHECK(cell.fixture.versionAt("entry-2") == cell.version);
    cell.fixture.setPlatformFaults(R"({"down": false})");
    SystemFixture::run(2s);
    cell.watch.stop();
    cell.conclude("instance replaced while the table is down",
                  VersionWatch::checkFirst(cell.watch.samples(), replacement, cell.version));
}
