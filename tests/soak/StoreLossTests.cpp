#include "soak/ProcessCell.h"
#include "soak/ServiceMonitor.h"
#include "soak/SoakSeeds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <string>

using namespace auburndoor;

namespace {

constexpr int entryCount = 5;
constexpr int workerCount = 4;

std::string kindName(const StoreFault &fault)
{
    const std::string calls = (fault.affectsReads && fault.affectsWrites ? "all calls"
                               : fault.affectsReads                      ? "reads"
                                                                         : "writes")
                              + (fault.table.empty() ? std::string() : " of the table " + fault.table);
    switch (fault.kind) {
    case StoreFault::Kind::Refuse:
        return "refuses " + calls;
    case StoreFault::Kind::Silent:
        return "is silent to " + calls;
    case StoreFault::Kind::LoseReplies:
        return "loses the replies to " + calls;
    case StoreFault::Kind::None:
        break;
    }
    return "serves again";
}

/** A cell whose store disturbs single processes when they have taken the ownership over. Logs stay in its folder. */
struct StoreLossCell
{
    StoreLossCell(const std::string &name, unsigned seed)
        : cell(seed,
               entryCount,
               workerCount,
               std::string(PROGRAM_FOLDER) + "/soak-store-" + name + "-" + std::to_string(seed),
               [](const TaskName &task, std::int64_t) { return ServiceMonitor::planWork(task); })
        , monitor(cell)
    {
    }

    void begin()
    {
        constexpr Milliseconds ownerLimit { 10000 };
        constexpr Milliseconds settleTime { 1500 };
        REQUIRE(cell.runUntil([this] { return cell.owner() != nullptr; }, ownerLimit));
        REQUIRE(monitor.startServices());
        cell.runFor(settleTime);
        monitor.start();
    }

    /** Disturbs the calls of the next process that takes over, from right after or during its takeover on. */
    void disturbNextOwner(const StoreFault &fault, Milliseconds delay, Milliseconds duration)
    {
        cell.platform.onTakeover = [this, fault, delay, duration](const std::string &owner) {
            cell.record(owner, "has taken over");
            cell.platform.onTakeover = {};
            if (delay == Milliseconds(0)) {
                disturb(owner, fault, duration);
            } else {
                cell.loop.after(delay, [this, owner, fault, duration] { disturb(owner, fault, duration); });
            }
        };
    }

    void disturb(const std::string &process, const StoreFault &fault, Milliseconds duration)
    {
        cell.record("store", kindName(fault) + " of " + process + " for " + std::to_string(duration.count()));
        cell.platform.setStoreFault(process, fault);
        disturbed.insert(process);
        cell.loop.after(duration, [this, process] { endDisturbance(process); });
    }

    void endDisturbance(const std::string &process)
    {
        if (disturbed.erase(process) != 0) {
            cell.record("store", kindName({}) + " " + process);
            cell.platform.setStoreFault(process, {});
        }
    }

    void killOwner(Milliseconds outage)
    {
        auto *owner = cell.owner();
        if (owner == nullptr || !owner->isRunning() || owner->isStopping() || owner->isPaused()) {
            return;
        }
        cell.record(owner->name(), "killed; it is the owner");
        owner->kill();
        cell.loop.after(outage, [this, owner] {
            if (!owner->isRunning()) {
                // A process finds the others through the store, so that one which starts without it can serve nobody.
                endDisturbance(owner->name());
                cell.record(owner->name(), "is started again");
                owner->start();
            }
        });
    }

    /** Ends the owner in a random way. */
    void endOwner()
    {
        constexpr int kinds = 3;
        // Less than a stop takes, since a process that starts without the store can serve nobody.
        constexpr Milliseconds stopTime { 2000 };
        auto *owner = cell.owner();
        if (owner == nullptr || !owner->isRunning() || owner->isStopping() || owner->isPaused()) {
            return;
        }
        switch (cell.draw(0, kinds - 1)) {
        case 0:
            cell.record(owner->name(), "SIGTERM; it is the owner");
            owner->terminate();
            cell.loop.after(stopTime, [this, owner] { endDisturbance(owner->name()); });
            return;
        case 1:
            cell.record(owner->name(), "is paused; it is the owner");
            owner->pause();
            cell.loop.after(Milliseconds(cell.draw(1500, 4000)), [owner] { owner->resume(); });
            return;
        default:
            killOwner(Milliseconds(cell.draw(200, 2000)));
        }
    }

    void checkOutcome()
    {
        std::string timeline;
        for (const auto &line : cell.timeline) {
            timeline += line + "\n";
        }
        if (!monitor.violations().empty()) {
            WARN(timeline);
        }
        WARN("longest time without a run " << monitor.longestTimeWithoutRun().count() << " ms, without an answer "
                                           << monitor.longestTimeWithoutAnswer().count() << " ms");
        for (const auto &violation : monitor.violations()) {
            FAIL_CHECK(violation);
        }
        for (const auto &violation : cell.violations) {
            FAIL_CHECK(violation);
        }
        for (const auto &violation : cell.platform.checker.violations) {
            FAIL_CHECK(violation);
        }
    }

    ProcessCell cell;
    ServiceMonitor monitor;
    /** The processes under a fault now. */
    std::set<std::string> disturbed;
};

/** Kills the owner, and disturbs its successor from its takeover on, for longer than leases and their repair may take. */
void loseSuccessor(const std::string &name, const StoreFault &fault)
{
    constexpr Milliseconds outage { 1000 };
    constexpr Milliseconds duration { 14000 };
    constexpr Milliseconds observation { 16000 };
    StoreLossCell losses(name, 1);
    losses.begin();
    losses.disturbNextOwner(fault, Milliseconds(0), duration);
    losses.killOwner(outage);
    losses.cell.runFor(observation);
    losses.checkOutcome();
}

} // namespace

// Guards against an owner that holds the cell while it serves nobody: it has won, and then the store refuses it, so that it reads
// no job and renews no lease.
TEST_CASE("an owner that the store refuses before it has read its tables is replaced", "[store-loss][takeover]")
{
    loseSuccessor("refused", { .kind = StoreFault::Kind::Refuse });
    loseSuccessor("silent", { .kind = StoreFault::Kind::Silent, .affectsWrites = false });
    loseSuccessor("table", { .kind = StoreFault::Kind::Refuse, .affectsWrites = false, .table = "jobs" });
}

// Guards against a cell whose owner does not know that it is: its takeover was applied, and neither the answer to it nor a later
// one arrives.
TEST_CASE("a process that does not learn that it has won is replaced", "[store-loss][takeover]")
{
    loseSuccessor("unaware", { .kind = StoreFault::Kind::LoseReplies });
}

// Guards against an owner that the store refuses after it has read its tables.
TEST_CASE("an owner that the store stops to serve is replaced", "[store-loss]")
{
    constexpr Milliseconds delay { 1500 };
    constexpr Milliseconds duration { 9000 };
    constexpr Milliseconds outage { 1000 };
    constexpr Milliseconds observation { 13000 };
    for (const bool isSilent : { false, true }) {
        StoreLossCell losses("later", isSilent ? 2 : 1);
        losses.begin();
        losses.disturbNextOwner({ .kind = isSilent ? StoreFault::Kind::Silent : StoreFault::Kind::Refuse }, delay, duration);
        losses.killOwner(outage);
        losses.cell.runFor(observation);
        losses.checkOutcome();
    }
}

// Guards against takeovers without end, and against work that stops, while the store is away for all: one process may replace an
// owner, but nobody can once the store serves none.
TEST_CASE("the owner stays and its services run on while the store is away for all processes", "[store-loss]")
{
    constexpr Milliseconds outage { 9000 };
    constexpr Milliseconds settleTime { 4000 };
    StoreLossCell losses("away", 1);
    losses.begin();
    const auto *owner = losses.cell.owner();
    losses.monitor.expectSubmissions(false);
    losses.cell.platform.store.setDown(true);
    losses.cell.runFor(outage);
    losses.cell.platform.store.setDown(false);
    losses.monitor.expectSubmissions(true);
    losses.cell.runFor(settleTime);
    CHECK(losses.cell.owner() == owner);
    losses.checkOutcome();
}

// Guards against the same faults in series, with stops, pauses and kills of owners in between. SOAK_SEED, SOAK_SEEDS and
// SOAK_ROUNDS select longer runs.
TEST_CASE("services and callers survive successions of owners that lose the store", "[store-loss][random]")
{
    constexpr int defaultRounds = 5;
    constexpr std::size_t maxDisturbed = 2;
    for (const auto seed : selectSeeds(std::array { 1U })) {
        StoreLossCell losses("random", seed);
        auto &cell = losses.cell;
        losses.begin();
        for (int round = 0; round < readIntegerVariable("SOAK_ROUNDS", defaultRounds); ++round) {
            // Three processes at least reach the store at any time, of which some may be starting.
            if (losses.disturbed.size() < maxDisturbed) {
                const std::array kinds { StoreFault::Kind::Refuse, StoreFault::Kind::Silent, StoreFault::Kind::LoseReplies };
                const std::array tables { "", "", "jobs", "progress", "servers" };
                const auto kind = kinds.at(static_cast<std::size_t>(cell.draw(0, 2)));
                const auto *table = tables.at(static_cast<std::size_t>(cell.draw(0, 4)));
                const int calls = cell.draw(0, 3);
                losses.disturbNextOwner({ kind, calls != 1, calls != 2, table },
                                        Milliseconds(cell.draw(0, 1) * cell.draw(0, 2000)),
                                        Milliseconds(cell.draw(5000, 20000)));
            }
            losses.endOwner();
            const auto end = cell.loop.now() + Milliseconds(cell.draw(5000, 9000));
            cell.runUntil(
                [&cell, end] {
                    cell.restartStoppedProcesses();
                    return cell.loop.now() >= end;
                },
                Milliseconds(20000));
        }
        WARN("seed " << seed);
        losses.checkOutcome();
    }
}
