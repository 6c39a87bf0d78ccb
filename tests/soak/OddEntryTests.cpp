#include "JobCodec.h"
#include "fakes/OddValues.h"
#include "net/EventLoop.h"
#include "soak/EntryProcess.h"
#include "soak/PlatformServer.h"
#include "soak/SoakClients.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <random>

using namespace auburndoor;

namespace {

constexpr const char *soundJob = "00000000000000a1";
constexpr const char *laterJob = "00000000000000a2";

/** Leaves one row for each odd text, among sound ones, in all tables that the processes read. */
void writeOddRows(FakeStore &store)
{
    const std::string worker = R"({"service":"desk","address":"127.0.0.1:9","zone":"z","state":"ready","born":1,"remainingMs":1,
        "capacity":{"cpu":64000,"memMb":1000000,"gpu":0},"labels":["a","r1"]})";
    int number = 0;
    for (const auto &text : withOddValues(worker)) {
        // The store takes values of at most this size.
        if (text.size() <= 65536) {
            store.write("servers", "odd" + std::to_string(number++), text);
        }
    }
    constexpr std::size_t depth = 30'000;
    const auto deep = std::string(depth, '[') + std::string(depth, ']');
    std::string deepWorker = R"({"service":"desk","capacity":)";
    deepWorker += deep;
    deepWorker += R"(,"labels":)";
    deepWorker += deep;
    deepWorker += "}";
    for (const std::string table : { "servers", "op", "jobs", "progress", "parts", "roster" }) {
        store.write(table, "deep", deep);
        store.write(table, "deeper", deepWorker);
        store.write(
            table, "large", R"({"stage":"running","occurrences":{"0":1e300},"steps":[{"tasks":1e300}],"address":"1.2.3.4:0"})");
    }
}

struct OddEntryCell
{
    explicit OddEntryCell(const std::string &folder) : platform(loop)
    {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        platform.store.write("op",
                             "config",
                             R"({"version":7,"limits":{"maxBodyBytes":65536},"services":[{"name":"desk"}],
                             "routes":[{"name":"jobs","host":"cell.example","pathPrefix":"/jobs/","service":"desk","priority":1,
                             "maxAttempts":3,"slackFactor":3,"targetLatencyMs":500}]})");
        platform.onStarted = [](const StartCommand &) {};
        addWorker("w1", 4);
        writeOddRows(platform.store);
        std::vector<Address> addresses;
        for (int number = 0; number < 2; ++number) {
            entries.push_back(std::make_unique<EntryProcess>(loop, number, platform.storeAddress(), folder));
            entries.back()->start();
            addresses.push_back(entries.back()->clientAddress());
        }
        clients = std::make_unique<SoakClients>(loop, addresses, random);
    }

    void addWorker(const std::string &id, int cores)
    {
        platform.addWorker(id, cores, [](const TaskName &, std::int64_t) {
            return SimulatedWork { Milliseconds(100), RunOutcome::Done };
        });
    }

    /** Submits a job of one task and runs the loop until it is completed. @return false if it is not within the limit */
    bool runJob(const std::string &id, int milliCores)
    {
        const auto body = R"({"spec":"p","taskGroups":[{"count":1,"cpu":)" + std::to_string(milliCores)
                          + R"(,"memMb":1,"estimateMs":100}]})";
        std::string error;
        const auto spec = platform::readJob(body, error);
        REQUIRE(spec);
        platform.checker.addJob(id, *spec);
        clients->submit(id, body);
        const auto &job = clients->jobs().at(id);
        constexpr int maxQueries = 60;
        for (int query = 0; query < maxQueries && job.lastState != "completed"; ++query) {
            loop.after(Milliseconds(250), [this] { loop.stop(); });
            loop.run();
            if (job.isAccepted) {
                clients->query(id);
            }
        }
        return job.lastState == "completed";
    }

    bool hasEndedProcess()
    {
        return std::any_of(entries.begin(), entries.end(), [](const auto &entry) { return entry->hasEndedByItself(); });
    }

    EventLoop loop;
    std::mt19937 random { 1 };
    PlatformServer platform;
    std::vector<std::unique_ptr<EntryProcess>> entries;
    std::unique_ptr<SoakClients> clients;
};

} // namespace

// Guards against an odd entry of another writer that ends the processes which read it, again after each restart, or that keeps them
// from following the entries beside it.
TEST_CASE("entry processes follow the sound rows beside odd ones, also after a restart")
{
    OddEntryCell cell(std::string(PROGRAM_FOLDER) + "/odd-entries");
    CHECK(cell.runJob(soundJob, 1000));
    CHECK_FALSE(cell.hasEndedProcess());
    for (auto &entry : cell.entries) {
        entry->kill();
    }
    for (auto &entry : cell.entries) {
        entry->start();
    }
    // Only a worker that is added now has room for it.
    cell.addWorker("w2", 8);
    CHECK(cell.runJob(laterJob, 8000));
    CHECK_FALSE(cell.hasEndedProcess());
    CHECK(cell.clients->violations.empty());
    CHECK(cell.platform.checker.violations.empty());
}
