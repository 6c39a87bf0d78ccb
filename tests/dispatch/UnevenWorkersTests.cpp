#include "dispatch/OwnerFixture.h"
#include "dispatch/SpeedPreference.h"
#include "fakes/JobIds.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace auburndoor;

namespace {

constexpr int coresPerWorker = 8;
constexpr double slowSpeed = 0.4;

/** A cell in which each fourth worker is slow, and in which runs take the time of their job's image. */
struct UnevenFixture : OwnerFixture
{
    explicit UnevenFixture(int workers = 8)
    {
        fleet.onStarted = [this, check = fleet.onStarted](SimulatedWorker &worker, const StartCommand &command) {
            check(worker, command);
            workerOf[command.task] = worker.entry().id;
        };
        for (int number = 0; number < workers; ++number) {
            addPacedWorker("w" + std::to_string(100 + number), number % 4 == 0 ? slowSpeed : 1.0);
        }
        takeOver();
    }

    void addPacedWorker(const std::string &id, double speed)
    {
        speeds[id] = speed;
        auto entry = addWorker(id, coresPerWorker).entry();
        fleet.add(entry, [this, id](const TaskName &task, std::int64_t) {
            return SimulatedWork { Milliseconds(static_cast<int>(timeOf(task.job) / speeds[id])), RunOutcome::Done };
        });
    }

    double timeOf(const std::string &job) const
    {
        const auto found = times.find(job);
        return found == times.end() ? 600.0 : found->second;
    }

    /** Runs jobs that fill all workers several times, so that the speeds are learned. */
    void teach(int rounds = 12, double time = 600)
    {
        for (int round = 0; round < rounds; ++round) {
            const auto id = jobIdOf(900 + round);
            times[id] = time;
            REQUIRE(submit(id, jobBody(static_cast<int>(speeds.size()) * 2, 4000, R"(,"image":"known","estimateMs":600)"))
                    == ClientResult::Outcome::Accepted);
            REQUIRE(runUntil(id, JobStage::Completed, Milliseconds(6000)));
        }
    }

    /** The number of tasks of the job that were started last on slow workers. */
    int countOnSlowWorkers(const std::string &job) const
    {
        int count = 0;
        for (const auto &[task, worker] : workerOf) {
            count += task.job == job && speeds.at(worker) < 1 ? 1 : 0;
        }
        return count;
    }

    std::map<std::string, double> speeds;
    std::map<std::string, double> times;
    std::map<TaskName, std::string> workerOf;
};

} // namespace

// Guards against work without slack on workers where it ends too late, while work with much slack takes the fast ones: the
// objective is 3 times the estimate and 500 ms.
TEST_CASE("work without slack goes to fast workers and work with much slack to slow ones", "[speeds]")
{
    UnevenFixture cell;
    cell.teach();
    SECTION("each kind goes where it ends in time")
    {
        const auto tight = jobIdOf(1);
        const auto loose = jobIdOf(2);
        // Takes 4,000 ms instead of the 1,500 ms of its estimate, so that its objective is 5,000 ms away.
        cell.times = { { tight, 4000 }, { loose, 600 } };
        for (int round = 0; round < 2; ++round) {
            const auto id = jobIdOf(20 + round);
            cell.times[id] = 4000;
            REQUIRE(cell.submit(id, jobBody(8, 1000, R"(,"image":"underestimated","estimateMs":1500)"))
                    == ClientResult::Outcome::Accepted);
            REQUIRE(cell.runUntil(id, JobStage::Completed, Milliseconds(12000)));
        }
        REQUIRE(cell.submit(tight, jobBody(12, 4000, R"(,"image":"underestimated","estimateMs":1500)"))
                == ClientResult::Outcome::Accepted);
        REQUIRE(cell.submit(loose, jobBody(2, 4000, R"(,"image":"known","estimateMs":4000)")) == ClientResult::Outcome::Accepted);
        CHECK(cell.runUntil(tight, JobStage::Completed, Milliseconds(5000)));
        CHECK(cell.countOnSlowWorkers(tight) == 0);
        CHECK(cell.countOnSlowWorkers(loose) == 2);
    }
    SECTION("a new owner learns the speeds again")
    {
        cell.takeOver();
        cell.teach();
        const auto loose = jobIdOf(3);
        REQUIRE(cell.submit(loose, jobBody(2, 4000, R"(,"image":"known","estimateMs":4000)")) == ClientResult::Outcome::Accepted);
        REQUIRE(cell.runUntil(loose, JobStage::Completed, Milliseconds(6000)));
        CHECK(cell.countOnSlowWorkers(loose) == 2);
    }
    CHECK(cell.violations().empty());
}

// Guards against preferences that change the order of workers of one speed, and against work that is kept from all workers because
// it can be in time on none.
TEST_CASE("the speed counts by the time that is left", "[speeds]")
{
    JobState job;
    job.spec.steps.resize(1);
    job.spec.steps[0].estimate = Milliseconds(1000);
    const auto now = TimePoint() + std::chrono::hours(1);
    job.addOccurrence(0, now);
    const auto preference = [&](Milliseconds timeLeft) {
        job.objective = now + timeLeft;
        return SpeedPreference::of(*job.step(0, 0), now);
    };
    const auto tight = preference(Milliseconds(1200));
    CHECK(tight.cost(0.55) > 4);
    CHECK(tight.cost(1.2) < tight.cost(1.0));
    const auto loose = preference(Milliseconds(9000));
    CHECK(loose.cost(0.55) < loose.cost(1.2));
    CHECK(loose.cost(0.55) > -0.5);
    for (const auto timeLeft : { Milliseconds(-100), Milliseconds(160) }) {
        CHECK(preference(timeLeft).cost(0.55) == preference(timeLeft).cost(1.2));
    }
}

// Guards against a job that is late since one of its workers has turned slow, and against moves of runs that gain nothing by them.
TEST_CASE("a run that its worker makes late is moved once if it saves its progress", "[speeds]")
{
    constexpr const char *fields = R"(,"image":"known","estimateMs":3000,"checkpoints":true)";
    UnevenFixture cell(4);
    cell.speeds["w100"] = 1;
    cell.teach(3, 3000);
    cell.starts.clear();
    const auto job = jobIdOf(1);
    cell.times[job] = 3000;
    cell.speeds["w100"] = 0.1;
    SECTION("with room on other workers")
    {
        REQUIRE(cell.submit(job, jobBody(4, 6000, fields)) == ClientResult::Outcome::Accepted);
        CHECK(cell.runUntil(job, JobStage::Completed, Milliseconds(9500)));
        CHECK(cell.starts.size() == 5);
    }
    SECTION("not with an estimate alone")
    {
        REQUIRE(cell.submit(job, jobBody(4, 6000, R"(,"image":"other","estimateMs":3000,"checkpoints":true)"))
                == ClientResult::Outcome::Accepted);
        cell.timers.advance(Milliseconds(12000));
        CHECK(cell.starts.size() == 4);
    }
    SECTION("not without room elsewhere, nor without progress that is saved")
    {
        const auto other = jobIdOf(2);
        cell.times[other] = 60000;
        const bool isFull = GENERATE(true, false);
        REQUIRE(cell.submit(job, jobBody(4, 6000, isFull ? fields : R"(,"image":"known","estimateMs":3000)"))
                == ClientResult::Outcome::Accepted);
        if (isFull) {
            REQUIRE(cell.submit(other, jobBody(3, 8000, R"(,"estimateMs":60000)")) == ClientResult::Outcome::Accepted);
        }
        cell.timers.advance(Milliseconds(12000));
        CHECK(cell.stage(job) == JobStage::Running);
        CHECK(std::count_if(cell.starts.begin(), cell.starts.end(), [&](const auto &start) { return start.task.job == job; }) == 4);
    }
    SECTION("not in crowds, and once only")
    {
        for (auto &[id, speed] : cell.speeds) {
            speed = 0.1;
        }
        REQUIRE(cell.submit(job, jobBody(4, 4000, fields)) == ClientResult::Outcome::Accepted);
        cell.timers.advance(Milliseconds(25000));
        CHECK(cell.starts.size() <= 8);
    }
    CHECK(cell.violations().empty());
}

// Guards against names of images that a client sends to fill the owner's memory.
TEST_CASE("images with very long names are not learned", "[speeds]")
{
    UnevenFixture cell(4);
    const auto body = jobBody(16, 1000, R"(,"image":")" + std::string(300, 'x') + R"(")");
    REQUIRE(cell.submit(jobIdOf(1), body) == ClientResult::Outcome::Accepted);
    REQUIRE(cell.submit(jobIdOf(2), jobBody(16, 1000, R"(,"image":"known")")) == ClientResult::Outcome::Accepted);
    REQUIRE(cell.runUntil(jobIdOf(1), JobStage::Completed, Milliseconds(6000)));
    Metrics metrics;
    cell.owner->updateMetrics(metrics);
    CHECK(metrics.text().find("images 1\n") != std::string::npos);
}
