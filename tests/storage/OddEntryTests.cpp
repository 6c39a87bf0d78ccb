#include "configuration/ConfigurationHead.h"
#include "core/Failure.h"
#include "core/SystemClock.h"
#include "fakes/OddValues.h"
#include "http/HttpServer.h"
#include "jobs/Job.h"
#include "observability/Metrics.h"
#include "ownership/OwnershipRows.h"
#include "pipeline/RequestRecord.h"
#include "storage/HttpInstanceDirectory.h"
#include "storage/PlatformConnection.h"
#include "worker/WorkerMessages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace auburndoor;

namespace {

/** Serves a list of workers with these entries, as JSON. */
std::optional<WorkerListing> readList(const std::string &entries)
{
    SystemClock clock;
    Metrics metrics;
    Failure failure;
    HttpServer server { HttpServerOptions() };
    server.route("GET", "/v1/workers", [&entries](const HttpRequest &) {
        return HttpReply { 200, R"({"cursor":7,"workers":[)" + entries + "]}", "application/json", {} };
    });
    const auto port = server.bind(failure);
    REQUIRE(port);
    server.start();
    PlatformConnection connection({ { "127.0.0.1:" + std::to_string(*port) }, Milliseconds(5000) }, clock, metrics);
    HttpInstanceDirectory directory(connection);
    return directory.changesSince(0, clock.now() + Milliseconds(10000), failure);
}

std::string listEntry(const std::string &id)
{
    return R"({"id":")" + id + R"(","address":"127.0.0.1:1","service":"taller","failureDomain":"loja","region":"r","state":"live",
        "capacity":{"milliCores":1,"memoryMiB":2,"accelerators":3,"slots":4,"connections":5}})";
}

} // namespace

// Guards against one odd entry for which the whole list is dropped, so that the workers are no longer followed.
TEST_CASE("odd entries of the list of workers are no workers, and the others hold", "[platform][http]")
{
    for (const auto &odd : withOddValues(listEntry("odd"))) {
        // A text that is no JSON spoils the whole reply: the platform would not send it.
        if (!nlohmann::json::accept(odd)) {
            continue;
        }
        INFO(odd.substr(0, 400));
        const auto listing = readList(listEntry("w1") + "," + odd + "," + listEntry("w2"));
        REQUIRE(listing);
        CHECK(listing->cursor == 7);
        REQUIRE(listing->changed.size() >= 2);
        CHECK(listing->changed.front().id.text() == "w1");
        CHECK(listing->changed.back().id.text() == "w2");
        for (const auto &worker : listing->changed) {
            CHECK((worker.state == ListedState::Gone || worker.capacity.isValid()));
            CHECK_FALSE(worker.id.isEmpty());
        }
    }
}

// Guards against an entry that was sound before: its worker is not to be used any more.
TEST_CASE("a worker whose entry has become odd counts as gone", "[platform][http]")
{
    const auto listing = readList(R"({"id":"w1","address":7,"state":"live"})");
    REQUIRE(listing);
    REQUIRE(listing->changed.size() == 1);
    CHECK(listing->changed.front().state == ListedState::Gone);
}

TEST_CASE("odd rows of the table and odd messages of workers are refused without an exception")
{
    Failure failure;
    for (const auto &text : withOddValues(R"({"state":"claimed","task":"t","worker":"w","answer":"a","answerObject":"o",
             "requestDigest":"d"})")) {
        CHECK_NOTHROW(RequestRecord::fromText(text));
    }
    for (const auto &text : withOddValues(R"({"incarnation":1,"address":"10.0.0.1:1","failureDomain":"f","region":"r","renewal":1,
             "leaving":false,"owner":"o","epoch":3})")) {
        CHECK_NOTHROW(InstanceRow::fromText(InstanceId("i"), text));
        CHECK_NOTHROW(ShardRow::fromText(text));
    }
    for (const auto &text : withOddValues(R"({"version":1,"digest":"d","operator":"o","timeMs":1,"transaction":"t"})")) {
        CHECK_NOTHROW(ConfigurationHead::parse({ "configuration/head", text, 1 }, failure));
    }
    for (const auto &text : withOddValues(R"({"shard":"s","phase":"active","submittedMs":1,"endedMs":1,"reason":"",
             "declaration":{"id":"j"},"tasks":[{}]})")) {
        CHECK_NOTHROW(decodeJob(text));
    }
    const std::string report = R"({"worker":"w","capacity":{"milliCores":1,"slots":2},"tasks":[{"task":"t","state":"running",
        "need":{"milliCores":1},"measuredUse":{"memoryMiB":1}}],"mark":1})";
    REQUIRE(decodeReport(report));
    for (const auto &text : withOddValues(report)) {
        const auto read = decodeReport(text);
        CHECK((!read || read->report.capacity.isValid()));
    }
}
