#include "soak/KeptClient.h"
#include "soak/SoakSeeds.h"

#include <catch2/catch.hpp>

#include <array>

using namespace auburndoor;

namespace {

constexpr int entryCount = 4;
constexpr int workerCount = 3;
constexpr int clientCount = 48;
constexpr Milliseconds sliceLength { 12 };
constexpr Milliseconds pauseLength { 88 };

/** Processes that are stopped in pairs while clients keep their connections. Logs stay in the folder soak-stops-SEED. */
struct StopCell
{
    explicit StopCell(unsigned seed)
        : cell(seed,
               entryCount,
               workerCount,
               std::string(PROGRAM_FOLDER) + "/soak-stops-" + std::to_string(seed),
               [](const TaskName &, std::int64_t) {
                   return SimulatedWork { Milliseconds(100), RunOutcome::Done };
               })
    {
        for (int number = 1; number <= readIntegerVariable("SOAK_CLIENTS", clientCount); ++number) {
            KeptClient::Options options { .number = number };
            // Some requests arrive in more than one read, and some clients pause for longer.
            options.payloadBytes = number % 4 == 0 ? 3900 : 10;
            options.maxThinkTime = Milliseconds(number % 6 == 0 ? 400 : readIntegerVariable("SOAK_THINK_MS", 25));
            clients.push_back(std::make_shared<KeptClient>(cell, tally, options));
        }
    }

    /** Sends SIGTERM to two processes, with a SIGHUP and a desired state in between, and waits until both are back. */
    void stopTwo(bool isSliced)
    {
        constexpr Milliseconds stopLimit { 10000 };
        constexpr Milliseconds settleTime { 600 };
        const auto first = static_cast<std::size_t>(cell.draw(0, entryCount - 1));
        const auto second = (first + static_cast<std::size_t>(cell.draw(1, entryCount - 1))) % entryCount;
        const auto third = (first + 1) % entryCount == second ? (first + 2) % entryCount : (first + 1) % entryCount;
        if (isSliced) {
            slice(*cell.entries[first]);
        }
        stop(*cell.entries[first]);
        cell.runFor(Milliseconds(cell.draw(0, 400)));
        cell.writeDesiredState();
        cell.runFor(Milliseconds(cell.draw(0, 400)));
        cell.entries[third]->sendHangUp();
        cell.record(cell.entries[third]->name(), "SIGHUP");
        cell.runFor(Milliseconds(cell.draw(0, 400)));
        stop(*cell.entries[second]);
        cell.runUntil(
            [this, first, second] {
                cell.restartStoppedProcesses();
                return !cell.entries[first]->isStopping() && !cell.entries[second]->isStopping();
            },
            stopLimit);
        cell.runFor(settleTime);
    }

    void stop(EntryProcess &entry)
    {
        ++stopCount;
        cell.record(entry.name(), &entry == cell.owner() ? "SIGTERM; it is the owner" : "SIGTERM");
        entry.terminate();
    }

    /** Holds a process to slices of 12 of each 100 ms until it has been stopped and started again. */
    void slice(EntryProcess &entry, bool hasBeenStopping = false)
    {
        if (hasBeenStopping && !entry.isStopping()) {
            return;
        }
        entry.pause();
        cell.loop.after(pauseLength, [this, &entry, hasBeenStopping] {
            entry.resume();
            cell.loop.after(sliceLength, [this, &entry, hasBeenStopping] { slice(entry, hasBeenStopping || entry.isStopping()); });
        });
    }

    void run(int rounds)
    {
        constexpr Milliseconds startLimit { 10000 };
        constexpr Milliseconds warmUp { 1500 };
        constexpr Milliseconds answerLimit { 6000 };
        REQUIRE(cell.runUntil([this] { return cell.owner() != nullptr; }, startLimit));
        cell.runFor(warmUp);
        for (const auto &client : clients) {
            client->start();
        }
        cell.runFor(warmUp);
        for (int round = 0; round < rounds; ++round) {
            // With a slow store submissions are open at all times, so that a stop never finds a process without open requests.
            constexpr Milliseconds answerTime { 8 };
            constexpr Milliseconds slowAnswerTime { 80 };
            cell.platform.store.setAnswerTime(round % 4 >= 2 ? slowAnswerTime : answerTime);
            stopTwo(round % 2 == 1 || readIntegerVariable("SOAK_SLICED", 0) != 0);
        }
        for (const auto &client : clients) {
            client->stop();
        }
        const auto isWaiting = [](const auto &client) { return client->isWaiting(); };
        cell.runUntil([&] { return std::none_of(clients.begin(), clients.end(), isWaiting); }, answerLimit);
        tally.unanswered = static_cast<int>(std::count_if(clients.begin(), clients.end(), isWaiting));
    }

    ProcessCell cell;
    RequestTally tally;
    std::vector<std::shared_ptr<KeptClient>> clients;
    int stopCount = 0;
};

} // namespace

// Guards against a process that ends connections at its stop while requests on them are unread, open or being answered.
// SOAK_SEED, SOAK_SEEDS and SOAK_ROUNDS select longer runs. SOAK_CLIENTS=1200 SOAK_THINK_MS=200 SOAK_SLICED=1 loads the processes
// and holds one of each pair to slices of processor time, so that requests wait unread for longer.
TEST_CASE("a client that keeps its connection loses no request when processes are stopped", "[stops]")
{
    for (const auto seed : selectSeeds(std::array { 1U })) {
        StopCell stops(seed);
        stops.run(readIntegerVariable("SOAK_ROUNDS", 4));
        std::string timeline;
        for (const auto &line : stops.cell.timeline) {
            timeline += line + "\n";
        }
        INFO(timeline);
        WARN("seed " << seed << ": " << stops.stopCount << " stops, " << stops.tally.text());
        CHECK(stops.tally.answerCount() > 0);
        CHECK(stops.tally.cutAges.empty());
        CHECK(stops.tally.unanswered == 0);
        for (const auto &violation : stops.cell.violations) {
            FAIL_CHECK(violation);
        }
        for (const auto &violation : stops.cell.platform.checker.violations) {
            FAIL_CHECK(violation);
        }
    }
}
