#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"
#include "fakes/UnconfirmedChannel.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>

using namespace auburndoor;

namespace {

int firstSeed()
{
    // To repeat one seed: OWNER_SEED=7 OWNER_SEEDS=1 OWNER_TRACE=1 test-dispatch "[restart-property]"
    const char *text = std::getenv("OWNER_SEED");
    return text == nullptr ? 1 : std::atoi(text);
}

int seedCount()
{
    const char *text = std::getenv("OWNER_SEEDS");
    return text == nullptr ? 60 : std::atoi(text);
}

/** A cell whose workers restart under their ids at random moments, and are cut off soon after. */
class RestartingCell
{
public:
    /** @param isConfirmed false for channels that send deadlines to any incarnation */
    RestartingCell(unsigned seed, bool isConfirmed) : random_(seed)
    {
        constexpr int others = 4;
        // Leases of 4.5 s and of 5 s.
        const Milliseconds maxLease { seed % 4 == 0 ? 6000 : 10000 };
        cell.setMaxLease(maxLease);
        for (int number = 0; number < workers; ++number) {
            cell.addWorker("w" + std::to_string(number), 4);
        }
        // With these, most of the roster stays within reach, so that new owners wait for single workers only.
        for (int number = 0; number < others && seed % 3 != 0; ++number) {
            cell.addWorker("s" + std::to_string(number), 4, "studio");
        }
        for (const auto &[id, worker] : cell.fleet.workers()) {
            worker->maxLease = maxLease;
            worker->killTime = Milliseconds(draw(0, 400));
            worker->isClockSlow = draw(0, 2) == 0;
        }
        cell.plan = [this](const TaskName &, std::int64_t) {
            // Long runs outlive the leases of a worker that is cut off.
            return SimulatedWork { Milliseconds(draw(0, 2) == 0 ? draw(50, 2500) : draw(2500, 20000)),
                                   draw(0, 19) == 0 ? RunOutcome::Failed : RunOutcome::Done };
        };
        cell.fleet.drawFault = [this] {
            const int roll = draw(0, 19);
            return CommandFault { roll == 0   ? CommandFault::Kind::Late
                                  : roll == 1 ? CommandFault::Kind::AnswerLost
                                              : CommandFault::Kind::None,
                                  Milliseconds(draw(500, 6000)) };
        };
        cell.fleet.drawDelayAfterCut = [this] {
            return draw(0, 1) == 0 ? std::optional(Milliseconds(draw(0, 3000))) : std::nullopt;
        };
        if (!isConfirmed) {
            cell.fleet.createChannel = [](WorkerConnectionFactory &connections, const WorkerEntry &entry, std::int64_t token) {
                return std::make_unique<UnconfirmedChannel>(connections, entry, token);
            };
        }
        cell.takeOver();
    }

    void run()
    {
        constexpr int rounds = 100;
        for (int round = 0; round < rounds; ++round) {
            submitRandomJob();
            if (draw(0, 11) == 0) {
                restartRandomWorker();
            } else if (draw(0, 15) == 0) {
                restartUnheard();
            }
            if (draw(0, 19) == 0) {
                cell.takeOver(draw(0, 1) == 0);
            }
            cell.timers.advance(Milliseconds(draw(5, 600)));
            noteEndedJobs();
        }
        settle();
    }

    OwnerFixture cell;
    /** The accepted jobs that have not ended, once the cell has settled. */
    std::set<std::string> open;

private:
    int draw(int from, int to)
    {
        return std::uniform_int_distribution<int>(from, to)(random_);
    }

    void submitRandomJob()
    {
        if (!cell.isOwnerServing() || draw(0, 1) == 0) {
            return;
        }
        const auto id = jobIdOf(++jobs_);
        const std::string fields = draw(0, 1) == 0 ? R"(,"checkpoints":true)" : "";
        if (cell.submit(id, jobBody(draw(1, 4), draw(1, 4) * 500, fields)) == ClientResult::Outcome::Accepted) {
            open.insert(id);
        }
    }

    /** Restarts a worker once or twice, tells the directory at once, late, or not until a cut has ended, and cuts the worker off.
     */
    void restartRandomWorker()
    {
        const auto id = "w" + std::to_string(draw(0, workers - 1));
        auto &worker = cell.fleet.worker(id);
        worker.restart();
        if (draw(0, 2) == 0) {
            // Within one report interval.
            cell.timers.after(Milliseconds(draw(50, 900)), [&worker] { worker.restart(); });
        }
        const Milliseconds listedAfter { draw(0, 1) == 0 ? draw(50, 500) : draw(500, 16000) };
        cell.timers.after(listedAfter, [this, id] { cell.list(id); });
        if (draw(0, 3) != 0) {
            const Milliseconds cutAfter { draw(0, 1) == 0 ? draw(3, 400) : draw(400, 3000) };
            cutOffLater(worker, cutAfter, Milliseconds(draw(3000, 14000)));
        }
        if (draw(0, 2) == 0) {
            cell.timers.advance(Milliseconds(draw(0, 900)));
            cell.takeOver(draw(0, 1) == 0);
        } else {
            // What is placed next is sent before a report tells of the restart.
            submitRandomJob();
        }
    }

    /** Restarts a worker just before a job is submitted, and cuts it off before its restart is told for longer than a lease. */
    void restartUnheard()
    {
        const auto id = "w" + std::to_string(draw(0, workers - 1));
        auto &worker = cell.fleet.worker(id);
        worker.restart();
        cell.timers.advance(Milliseconds(draw(0, 300)));
        const Milliseconds cutAfter { draw(0, 2) == 0 ? draw(0, 1200) : draw(0, 120) };
        const Milliseconds cutFor { draw(6000, 16000) };
        cutOffLater(worker, cutAfter, cutFor);
        cell.timers.after(cutAfter + cutFor + Milliseconds(draw(0, 1000)), [this, id] { cell.list(id); });
        for (int job = draw(1, 3); job > 0; --job) {
            submitRandomJob();
        }
        cell.timers.advance(Milliseconds(draw(0, 1500)));
        if (draw(0, 2) == 0) {
            cell.takeOver(draw(0, 1) == 0);
        }
        cell.timers.advance(Milliseconds(draw(4000, 12000)));
        noteEndedJobs();
    }

    void cutOffLater(SimulatedWorker &worker, Milliseconds delay, Milliseconds duration)
    {
        auto &fault = draw(0, 3) == 0 ? worker.losesReplies : worker.isCutOff;
        cell.timers.after(delay, [this, &fault, duration] {
            fault = true;
            cell.timers.after(duration, [&fault] { fault = false; });
        });
    }

    /** Ends all faults, and waits for the accepted jobs. */
    void settle()
    {
        constexpr Milliseconds longestFault { 18000 };
        constexpr Milliseconds step { 2000 };
        constexpr int steps = 90;
        cell.timers.advance(longestFault);
        cell.fleet.drawFault = {};
        for (const auto &[id, worker] : cell.fleet.workers()) {
            worker->isCutOff = false;
            worker->losesReplies = false;
            cell.list(id);
        }
        cell.takeOver();
        for (int number = 0; number < steps && !open.empty(); ++number) {
            cell.timers.advance(step);
            noteEndedJobs();
        }
    }

    /** Ended jobs are forgotten after a while. */
    void noteEndedJobs()
    {
        if (!cell.isOwnerServing()) {
            return;
        }
        std::erase_if(open, [this](const std::string &id) {
            const auto stage = cell.stage(id);
            return stage && isEnded(*stage);
        });
    }

    static constexpr int workers = 3;

    std::mt19937 random_;
    int jobs_ = 0;
};

} // namespace

// Guards against overlapping runs after restarts under the same id that the owner learns of late or never, on workers that are cut
// off soon after: by a deadline on the clock of the former incarnation, in a start or a renewal, sent at any moment.
TEST_CASE("no restart under the same id makes a task run twice", "[restart-property]")
{
    for (int seed = firstSeed(); seed < firstSeed() + seedCount(); ++seed) {
        INFO("OWNER_SEED=" << seed);
        RestartingCell restarting(static_cast<unsigned>(seed), true);
        restarting.run();
        for (const auto &violation : restarting.cell.violations()) {
            FAIL_CHECK(violation);
        }
        for (const auto &id : restarting.open) {
            FAIL_CHECK(id << " has not ended");
        }
        CHECK(restarting.cell.violations().size() + restarting.open.size() == 0);
    }
}

// A negative control of the property: the same cells show violations if deadlines go to any incarnation.
TEST_CASE("restarts make tasks run twice where deadlines reach any incarnation", "[restart-property]")
{
    constexpr unsigned seeds = 60;
    int violated = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        RestartingCell restarting(seed, false);
        restarting.run();
        violated += restarting.cell.violations().empty() ? 0 : 1;
    }
    CAPTURE(violated);
    CHECK(violated > 0);
}
