#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <numeric>
#include <random>

using namespace auburndoor;

namespace {

constexpr Milliseconds reportInterval { 1500 };
constexpr Milliseconds entryLifetime { 4500 };
constexpr int deskWorkers = 5;
constexpr int roundsPerSeed = 80;
// Seeds that have shown a fault: a handed-over end of a lease that rested on a reading from before a jump of the store's clock.
constexpr std::array failedSeeds { 3924U };

int seedCount()
{
    // To repeat one seed: OWNER_SEED=7 OWNER_SEEDS=1 OWNER_TRACE=1 test-dispatch "[leaving-property]"
    const char *text = std::getenv("OWNER_SEEDS");
    return text == nullptr ? 40 : std::atoi(text);
}

/**
    A cell whose workers report to the directory, drain, leave, are cut off and come back, while owners are killed, stopped as
   planned or replaced unawares. The directory removes entries after three intervals of silence. The fixture checks each start.
*/
class LeavingCell
{
public:
    explicit LeavingCell(unsigned seed) : random_(seed)
    {
        cell.plan = [this](const TaskName &, std::int64_t) {
            return SimulatedWork { Milliseconds(draw(500, 12000)), draw(0, 19) == 0 ? RunOutcome::Failed : RunOutcome::Done };
        };
        for (int number = 0; number < deskWorkers; ++number) {
            addReportingWorker("w" + std::to_string(number), "desk");
        }
        // More than half of the roster stays within reach.
        for (int number = 0; number < deskWorkers + 1; ++number) {
            addReportingWorker("s" + std::to_string(number), "studio");
        }
        cell.timers.after(Milliseconds(100), [this] { expireEntries(); });
        cell.takeOver();
    }

    void run()
    {
        for (int round = 0; round < roundsPerSeed; ++round) {
            submitJob();
            disturb();
            cell.timers.advance(Milliseconds(draw(20, 700)));
        }
        isCalm_ = true;
        constexpr Milliseconds settleTime { 15000 };
        cell.timers.advance(settleTime);
        cell.takeOver();
        constexpr Milliseconds step { 5000 };
        for (int number = 0; number < 24 && !open.empty(); ++number) {
            cell.timers.advance(step);
            std::erase_if(open, [this](const std::string &id) {
                const auto stage = cell.stage(id);
                return stage && isEnded(*stage);
            });
        }
    }

    OwnerFixture cell;
    /** The accepted jobs that have not been seen to have ended. */
    std::set<std::string> open;

private:
    struct Reporter
    {
        TimePoint lastReportAt;
        bool isListed = true;
        bool isDraining = false;
        bool isCutOffFromStore = false;
    };

    int draw(int from, int to)
    {
        return std::uniform_int_distribution<int>(from, to)(random_);
    }

    void addReportingWorker(const std::string &id, const std::string &service)
    {
        cell.addWorker(id, 4, service).killTime = Milliseconds(draw(0, 400));
        reporters_[id].lastReportAt = cell.timers.now();
        cell.timers.after(Milliseconds(draw(0, 1500)), [this, id] { report(id); });
    }

    void report(const std::string &id)
    {
        auto &reporter = reporters_[id];
        if (!reporter.isCutOffFromStore && !cell.fleet.worker(id).hasExited) {
            cell.list(id, reporter.isDraining);
            reporter.lastReportAt = cell.timers.now();
            reporter.isListed = true;
        }
        cell.timers.after(reportInterval + Milliseconds(draw(-50, 50)), [this, id] { report(id); });
    }

    void expireEntries()
    {
        for (auto &[id, reporter] : reporters_) {
            if (reporter.isListed && cell.timers.now() - reporter.lastReportAt >= entryLifetime) {
                reporter.isListed = false;
                cell.unlist(id);
            }
        }
        cell.timers.after(Milliseconds(100), [this] { expireEntries(); });
    }

    void submitJob()
    {
        if (!cell.owner || !cell.owner->isReady() || draw(0, 2) != 0) {
            return;
        }
        const auto id = jobIdOf(++jobs_);
        if (cell.submit(id, jobBody(draw(1, 4), draw(1, 3) * 1000)) == ClientResult::Outcome::Accepted) {
            open.insert(id);
        }
    }

    void drain(const std::string &id)
    {
        auto &reporter = reporters_[id];
        if (reporter.isDraining) {
            return;
        }
        reporter.isDraining = true;
        if (!reporter.isCutOffFromStore) {
            cell.list(id, true);
            reporter.lastReportAt = cell.timers.now();
            reporter.isListed = true;
        }
        cell.timers.after(Milliseconds(draw(2000, 12000)), [this, id] { leave(id); });
    }

    void leave(const std::string &id)
    {
        auto &worker = cell.fleet.worker(id);
        worker.restart();
        worker.hasExited = true;
        if (!reporters_[id].isCutOffFromStore && reporters_[id].isListed) {
            reporters_[id].isListed = false;
            cell.unlist(id);
        }
        cell.timers.after(Milliseconds(draw(200, 9000)), [this, id] {
            cell.fleet.worker(id).hasExited = false;
            reporters_[id].isDraining = false;
        });
    }

    /** Cuts a worker off from the store, and then, at once or later, from the owners, for a time. */
    void cutOff(const std::string &id)
    {
        if (reporters_[id].isCutOffFromStore) {
            return;
        }
        reporters_[id].isCutOffFromStore = true;
        const auto delay = Milliseconds(draw(0, 1) * draw(0, 6000));
        cell.timers.after(delay, [this, id] { cell.fleet.worker(id).isCutOff = true; });
        cell.timers.after(delay + Milliseconds(draw(200, 9000)), [this, id] {
            cell.fleet.worker(id).isCutOff = false;
            reporters_[id].isCutOffFromStore = false;
        });
    }

    void stopOwner()
    {
        if (cell.owner) {
            cell.owner->flush(Milliseconds(600), [](const Ownership &) {});
            cell.timers.advance(Milliseconds(draw(10, 300)));
        }
        cell.takeOver();
    }

    void disturb()
    {
        if (isCalm_) {
            return;
        }
        const auto id = "w" + std::to_string(draw(0, deskWorkers - 1));
        switch (draw(0, 13)) {
        case 0:
        case 1:
            drain(id);
            break;
        case 2:
        case 3:
            cutOff(id);
            break;
        case 4:
            cell.takeOver(true);
            break;
        case 5:
            cell.takeOver(false);
            break;
        case 6:
            stopOwner();
            break;
        case 7:
            if (const auto *row = cell.store.row("servers", id)) {
                cell.store.write("servers", id, row->value);
            }
            break;
        case 8:
            if (reporters_[id].isListed) {
                cell.store.write("servers", id, "\x01{");
            }
            break;
        case 9:
            cell.store.shiftClock(Milliseconds(draw(0, 3) == 0 ? draw(-6000, 6000) : 0));
            break;
        default:
            break;
        }
    }

    std::mt19937 random_;
    std::map<std::string, Reporter> reporters_;
    int jobs_ = 0;
    bool isCalm_ = false;
};

} // namespace

// Guards against any order of drains, cuts, expiries, returns and changes of the owner after which a task runs twice, or an
// accepted job does not go on.
TEST_CASE("no task runs twice while workers leave, are cut off and come back under changing owners", "[leaving-property]")
{
    const char *first = std::getenv("OWNER_SEED");
    const unsigned firstSeed = first == nullptr ? 1 : static_cast<unsigned>(std::atoi(first));
    std::vector<unsigned> seeds(static_cast<std::size_t>(seedCount()));
    std::iota(seeds.begin(), seeds.end(), firstSeed);
    if (first == nullptr) {
        seeds.insert(seeds.end(), failedSeeds.begin(), failedSeeds.end());
    }
    for (const auto seed : seeds) {
        CAPTURE(seed);
        LeavingCell leaving(seed);
        leaving.run();
        for (const auto &violation : leaving.cell.violations()) {
            FAIL_CHECK(violation);
        }
        for (const auto &id : leaving.open) {
            FAIL_CHECK("job " << id << " has not ended");
        }
    }
}
