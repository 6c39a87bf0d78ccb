#include "system/SystemFixture.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds waitLimit { 40 };

long long currentTimeMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void putWorker(SystemFixture &fixture, const std::string &id, const std::string &body)
{
    const auto reply = Cell::call(fixture.cell.platformAddress(), "PUT", "/v1/workers/" + id, body, {}, waitLimit);
    REQUIRE(reply);
    REQUIRE(reply->status == 200);
}

} // namespace

// Guards against instances that end, or no longer follow the list of workers, because of one odd entry of another writer.
TEST_CASE("instances follow the list of workers beside odd entries, also after a restart", "[system]")
{
    SystemFixture fixture("odd-entries");
    constexpr std::size_t depth = 2000;
    const auto deep = std::string(depth, '[') + std::string(depth, ']');
    const std::string sound = R"("service":"namedesk","failureDomain":"a","region":"r","address":"127.0.0.1:9")";
    putWorker(fixture, "odd-1", R"({"capacity":)" + deep + "}");
    putWorker(fixture,
              "odd-2",
              "{" + sound + R"(,"capacity":{"milliCores":1e300,"memoryMiB":1,"accelerators":0,"slots":1,"connections":1}})");
    putWorker(fixture,
              "odd-3",
              "{" + sound
                  + R"(,"capacity":{"milliCores":9223372036854775807,"memoryMiB":1,"accelerators":0,"slots":1,"connections":1}})");
    putWorker(
        fixture,
        "odd-4",
        R"({"address":"127.0.0.1:70000","service":"namedesk","failureDomain":"a","region":"r","capacity":{"milliCores":1,"memoryMiB":1,"accelerators":0,"slots":1,"connections":1}})");
    putWorker(fixture, "odd-5", R"({"address":"127.0.0.1:0","service":7,"state":"asleep"})");
    fixture.startCallersBeyondCapacity();
    fixture.kill("entry-2");
    fixture.startInstance("entry-2");
    REQUIRE(fixture.waitForAllWorkers(waitLimit));
    const auto leaving = *fixture.readOwnedWorkers(fixture.findLargestOwner()).begin();
    putWorker(fixture, leaving, R"({"state":"leaving"})");
    // The list is a second late, and promise 6 allows a few seconds more.
    const auto latestStartMs = currentTimeMs() + 4000;
    CHECK(SystemFixture::waitFor(waitLimit, [&] { return currentTimeMs() > latestStartMs + 1500; }));
    fixture.stopCallers();
    const std::string faults = "odd entries in the list of workers";
    auto result = fixture.checkPromises(faults);
    auto check = HistoryChecker::checkLeaving(HistoryChecker::read(fixture.cell.workerAddresses()), leaving, latestStartMs);
    fixture.report(check, faults);
    CHECK(result.violations.empty());
    CHECK(check.violations.empty());
    for (const std::string id : { "entry-1", "entry-2", "entry-3" }) {
        CHECK(fixture.cell.instance(id).isRunning());
    }
}
