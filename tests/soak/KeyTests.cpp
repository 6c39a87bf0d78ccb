#include "soak/ProcessCell.h"

#include "fakes/JobIds.h"
#include "net/HttpChannels.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace auburndoor;

namespace {

constexpr Milliseconds configMs { 3000 };
constexpr Milliseconds startLimit { 10000 };
constexpr int statusNone = 0;
constexpr int statusRefused = 401;
constexpr int statusUnavailable = 503;

/** Three processes, and an account whose keys change. */
struct KeyFixture
{
    KeyFixture()
        : cell(1, 3, 1, std::string(PROGRAM_FOLDER) + "/soak-keys", [](const TaskName &, std::int64_t) {
            return SimulatedWork { Milliseconds(100), RunOutcome::Done };
        })
    {
        write(R"("kept","removed")");
        for (std::size_t number = 0; number < cell.entries.size(); ++number) {
            REQUIRE(cell.runUntil([&] { return isServed(number, "kept") && isServed(number, "removed"); }, startLimit));
        }
    }

    void write(const std::string &keys)
    {
        cell.platform.store.write(
            "op",
            "config",
            R"({"version":)" + std::to_string(++version)
                + R"(,"services":[{"name":"desk"}],"routes":[{"name":"jobs","host":"cell.example","pathPrefix":"/jobs/",)"
                + R"("service":"desk","priority":1,"maxAttempts":3,"slackFactor":3,"targetLatencyMs":500}],)"
                + R"("tenants":[{"name":"lab","apiKeys":[)" + keys + "]}]}");
    }

    /** The status that a query with this key is answered with; statusNone without an answer. */
    int ask(std::size_t number, const std::string &key)
    {
        HttpChannels channels(cell.loop, cell.entries[number]->clientAddress(), HttpChannelLimits { .maxConnections = 1 });
        std::optional<int> status;
        WebRequest request {
            "GET", "/jobs/" + jobIdOf(1), { { "Host", "cell.example" }, { "Key", key }, { "Deadline-Ms", "3000" } }, {}, false
        };
        channels.send(std::move(request), configMs, [&](const SendResult &result) {
            status = result.outcome == SendOutcome::Answered ? result.reply.status : statusNone;
            cell.loop.stop();
        });
        cell.loop.run();
        return status.value_or(statusNone);
    }

    bool isServed(std::size_t number, const std::string &key)
    {
        const auto status = ask(number, key);
        return status != statusNone && status != statusRefused && status != statusUnavailable;
    }

    bool isRefused(std::size_t number, const std::string &key)
    {
        return ask(number, key) == statusRefused;
    }

    /** True if the process with this number owns the cell. */
    bool isOwner(std::size_t number)
    {
        return cell.owner() == cell.entries[number].get();
    }

    /** A process that does not own the cell. */
    std::size_t follower()
    {
        return isOwner(0) ? 1 : 0;
    }

    ProcessCell cell;
    int version = 10;
};

} // namespace

// Guards against a process that the store does not answer and that goes on to serve a removed key, or does so after a restart.
TEST_CASE("a key that is removed while the store is silent for one process is refused by it", "[keys]")
{
    KeyFixture fixture;
    const auto cut = fixture.follower();
    auto &process = *fixture.cell.entries[cut];
    process.storeLink().setMode(FaultyLink::Mode::Unreachable);
    fixture.write(R"("kept")");
    CHECK(fixture.cell.runUntil([&] { return fixture.isRefused(cut, "removed"); }, configMs));
    CHECK(fixture.isServed(cut, "kept"));

    // A process that starts while the store is silent for it knows no other process, and serves nothing.
    process.kill();
    process.start();
    std::set<int> answers;
    fixture.cell.runUntil(
        [&] {
            answers.insert(fixture.ask(cut, "removed"));
            answers.insert(fixture.ask(cut, "kept"));
            return false;
        },
        configMs);
    const std::set<int> unserved { statusNone, statusUnavailable };
    CHECK(std::includes(unserved.begin(), unserved.end(), answers.begin(), answers.end()));

    // Once the store answers it, it serves by the store's row alone.
    process.storeLink().setMode(FaultyLink::Mode::Open);
    fixture.write(R"("kept","added")");
    int served = 0;
    CHECK(fixture.cell.runUntil(
        [&] {
            served += fixture.isServed(cut, "removed") ? 1 : 0;
            return fixture.isServed(cut, "added");
        },
        startLimit));
    CHECK(served == 0);
    CHECK(fixture.isRefused(cut, "removed"));
}

// Guards against a process that starts, takes the copy of an owner that lags behind the store, and serves a removed key by it.
TEST_CASE("a process that starts under an owner that lags behind the store serves no removed key", "[keys]")
{
    KeyFixture fixture;
    const auto started = fixture.follower();
    auto &process = *fixture.cell.entries[started];
    fixture.cell.owner()->storeLink().setMode(FaultyLink::Mode::Unreachable);
    fixture.write(R"("kept")");
    process.kill();
    process.start();
    int served = 0;
    CHECK(fixture.cell.runUntil(
        [&] {
            served += fixture.isServed(started, "removed") ? 1 : 0;
            return fixture.isRefused(started, "removed");
        },
        startLimit));
    CHECK(served == 0);
    // Whoever owns the cell now, every process learns of the removal: the former owner from its successor.
    for (std::size_t number = 0; number < fixture.cell.entries.size(); ++number) {
        CHECK(fixture.cell.runUntil([&] { return fixture.isRefused(number, "removed"); }, startLimit));
    }
}
