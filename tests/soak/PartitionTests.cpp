#include "JobCodec.h"
#include "fakes/JobIds.h"
#include "net/EventLoop.h"
#include "soak/OwnerPartition.h"
#include "soak/SoakClients.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <random>

using namespace auburndoor;

namespace {

constexpr int entryCount = 3;
constexpr int workerCount = 4;
constexpr int coresPerWorker = 10;
constexpr int jobCount = 8;
constexpr int tasksPerStep = 3;
constexpr Milliseconds partitionDuration { 14000 };
constexpr Milliseconds recoveryLimit { 40000 };

std::string makeStep(Milliseconds estimate, const std::string &dependencies)
{
    return R"({"count":)" + std::to_string(tasksPerStep) + R"(,"cpu":1000,"memMb":1,"estimateMs":)"
           + std::to_string(estimate.count()) + R"(,"dependsOn":[)" + dependencies + "]}";
}

/** Three entry processes and four workers. The tasks of the first steps occupy two workers and a part of the third. */
struct PartitionCell
{
    PartitionCell(const std::string &folder, SimulatedWorker::Plan plan) : platform(loop)
    {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        platform.store.write("op",
                             "config",
                             R"({"version":7,"limits":{"maxBodyBytes":65536},"services":[{"name":"desk"}],
                             "routes":[{"name":"jobs","host":"cell.example","pathPrefix":"/jobs/","service":"desk","priority":1,
                             "maxAttempts":3,"slackFactor":3,"targetLatencyMs":500}]})");
        platform.onStarted = [this](const StartCommand &) { ++startCount; };
        for (int number = 0; number < workerCount; ++number) {
            platform.addWorker("w" + std::to_string(number), coresPerWorker, plan);
        }
        std::vector<Address> addresses;
        for (int number = 0; number < entryCount; ++number) {
            entries.push_back(std::make_unique<EntryProcess>(loop, number, platform.storeAddress(), folder));
            entries.back()->start();
            addresses.push_back(entries.back()->clientAddress());
        }
        clients = std::make_unique<SoakClients>(loop, addresses, random);
    }

    void runFor(Milliseconds duration)
    {
        loop.after(duration, [this] { loop.stop(); });
        loop.run();
    }

    /** Runs the loop until the condition holds. @return false if it does not within the limit */
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit)
    {
        constexpr Milliseconds interval { 100 };
        for (const auto end = loop.now() + limit; !condition() && loop.now() < end;) {
            runFor(interval);
        }
        return condition();
    }

    void submitJobs(const std::string &steps)
    {
        const auto body = R"({"spec":"p","taskGroups":[)" + steps + "]}";
        std::string error;
        const auto spec = platform::readJob(body, error);
        REQUIRE(spec);
        for (int number = 1; number <= jobCount; ++number) {
            platform.checker.addJob(jobIdOf(number), *spec);
            clients->submit(jobIdOf(number), body);
        }
    }

    /**
        Parts the owner and one worker from all else for the duration of the partition.

        That worker runs some tasks, and has room for some that the owner no longer sees.
    */
    void partOwner()
    {
        OwnerPartition::Sides sides;
        for (const auto &[id, worker] : platform.fleet.workers()) {
            const auto runs = static_cast<int>(worker->runs().size());
            const bool isWithOwner = sides.withoutSuccessors.empty() && runs > 0 && runs < coresPerWorker;
            (isWithOwner ? sides.withoutSuccessors : sides.withoutOwner).insert(id);
        }
        REQUIRE(sides.withoutSuccessors.size() == 1);
        const auto partition = OwnerPartition::begin(platform, entries, sides);
        REQUIRE(partition);
        runFor(partitionDuration);
    }

    void checkOutcome()
    {
        CHECK(runUntil([this] { return areJobsCompleted(); }, recoveryLimit));
        for (const auto &[id, job] : clients->jobs()) {
            INFO(id);
            CHECK(job.lastState == "completed");
        }
        for (const auto &violation : clients->violations) {
            FAIL_CHECK(violation);
        }
        for (const auto &violation : platform.checker.violations) {
            FAIL_CHECK(violation);
        }
    }

    bool areJobsCompleted()
    {
        bool areCompleted = true;
        for (const auto &[id, job] : clients->jobs()) {
            if (job.lastState != "completed") {
                areCompleted = false;
                clients->query(id);
            }
        }
        return areCompleted;
    }

    EventLoop loop;
    std::mt19937 random { 1 };
    PlatformServer platform;
    int startCount = 0;
    std::vector<std::unique_ptr<EntryProcess>> entries;
    std::unique_ptr<SoakClients> clients;
};

void runJobs(const std::string &folder, const std::string &steps, const SimulatedWorker::Plan &plan, bool hasPartition)
{
    constexpr Milliseconds startLimit { 10000 };
    PartitionCell cell(std::string(PROGRAM_FOLDER) + "/" + folder, plan);
    REQUIRE(cell.runUntil([&cell] { return cell.platform.store.row("cell", "epoch") != nullptr; }, startLimit));
    cell.submitJobs(steps);
    REQUIRE(cell.runUntil([&cell] { return cell.startCount >= jobCount * tasksPerStep; }, startLimit));
    if (hasPartition) {
        cell.partOwner();
    }
    cell.checkOutcome();
}

/** Runs jobs of three tasks of 12 s. */
void runLongTasks(const std::string &folder, bool hasPartition)
{
    constexpr Milliseconds duration { 12000 };
    const auto plan = [duration](const TaskName &, std::int64_t) { return SimulatedWork { duration, RunOutcome::Done }; };
    runJobs(folder, makeStep(duration, ""), plan, hasPartition);
}

/** Runs jobs of two dependent steps of three tasks of 1 to 2 s. */
void runShortTasks(const std::string &folder, bool hasPartition)
{
    constexpr Milliseconds estimate { 1500 };
    const auto plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(1000 + 500 * task.index), RunOutcome::Done };
    };
    runJobs(folder, makeStep(estimate, "") + "," + makeStep(estimate, "0"), plan, hasPartition);
}

} // namespace

// Guards against a cut-off owner that goes on starting and renewing tasks which its successor runs elsewhere.
TEST_CASE("no task runs twice while the owner and a worker are parted from the rest", "[partition]")
{
    runLongTasks("partition-long", true);
}

// Guards against a successor that starts tasks again whose ends it sees and acknowledges only after the partition.
TEST_CASE("no task runs again if its end on a parted worker is seen after the partition", "[partition]")
{
    runShortTasks("partition-short", true);
}

// Negative control: what the tests above find comes from the partition.
TEST_CASE("the cells of the partition tests violate nothing without a partition", "[partition]")
{
    runLongTasks("partition-none-long", false);
    runShortTasks("partition-none-short", false);
}
