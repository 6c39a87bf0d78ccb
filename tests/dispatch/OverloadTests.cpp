#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace auburndoor;

namespace {

// The objective of a job with one step of 500 ms in the fixture's queues: three times its work and 500 ms.
constexpr Milliseconds objective { 2000 };
constexpr Milliseconds timeStep { 20 };

/** Submits jobs of one task to a cell, and counts those that are completed within their objective. */
class ArrivalLog
{
public:
    explicit ArrivalLog(OwnerFixture &cell) : cell_(cell)
    {
    }

    void submit(const std::string &body, const std::string &queue = "normal")
    {
        const auto id = jobIdOf(nextNumber_++);
        submittedAt_[id] = cell_.timers.now();
        REQUIRE(cell_.submit(id, body, queue) == ClientResult::Outcome::Accepted);
        lastId_ = id;
    }

    /** Advances the time, and notes which jobs are completed when. */
    void advance(Milliseconds duration)
    {
        for (Milliseconds elapsed { 0 }; elapsed < duration; elapsed += timeStep) {
            cell_.timers.advance(timeStep);
            for (const auto &[id, at] : submittedAt_) {
                if (!completedAfter_.contains(id) && cell_.stage(id) == JobStage::Completed) {
                    completedAfter_[id] = std::chrono::duration_cast<Milliseconds>(cell_.timers.now() - at);
                }
            }
        }
    }

    int inTimeCount() const
    {
        return static_cast<int>(std::count_if(
            completedAfter_.begin(), completedAfter_.end(), [](const auto &entry) { return entry.second <= objective; }));
    }

    int completedCount() const
    {
        return static_cast<int>(completedAfter_.size());
    }

    const std::string &lastId() const
    {
        return lastId_;
    }

private:
    OwnerFixture &cell_;
    int nextNumber_ = 1;
    std::string lastId_;
    std::map<std::string, TimePoint> submittedAt_;
    std::map<std::string, Milliseconds> completedAfter_;
};

} // namespace

// The pattern is the domino effect of earliest-deadline-first under overload: a burst leaves a backlog that is served first
// although it is late already, so that each later job becomes late as well, long after the burst.
TEST_CASE("the backlog of a burst does not make the jobs that arrive after it late")
{
    constexpr int burst = 14;
    constexpr int later = 20;
    constexpr Milliseconds interval { 600 };
    OwnerFixture cell;
    cell.addWorker("w1", 2);
    cell.takeOver();
    ArrivalLog arrivals(cell);
    for (int number = 0; number < burst; ++number) {
        arrivals.submit(jobBody(1, 2000));
    }
    for (int number = 0; number < later; ++number) {
        arrivals.submit(jobBody(1, 2000));
        arrivals.advance(interval);
    }
    CHECK(arrivals.inTimeCount() > later * 3 / 4);
    // Late jobs are completed as well, once there is capacity for them.
    arrivals.advance(Milliseconds(15000));
    CHECK(arrivals.completedCount() == burst + later);
    CHECK(cell.violations().empty());
}

// The pattern is priority inversion by overdue work: urgent jobs that nobody can serve in time any more would keep others out.
TEST_CASE("urgent jobs past their final deadline let less urgent jobs pass that can be in time")
{
    OwnerFixture cell;
    cell.addWorker("w1", 2);
    cell.takeOver();
    ArrivalLog arrivals(cell);
    constexpr int burst = 30;
    for (int number = 0; number < burst; ++number) {
        arrivals.submit(jobBody(1, 2000), "urgent");
    }
    arrivals.advance(Milliseconds(6500));
    arrivals.submit(jobBody(1, 2000));
    CHECK(cell.runUntil(arrivals.lastId(), JobStage::Completed, objective));
}

// The pattern is fragmentation: a gang that fits partly into free capacity and partly into capacity that less urgent work gives up.
TEST_CASE("a gang takes the free workers and preempts on the others")
{
    OwnerFixture cell;
    for (int number = 0; number < 4; ++number) {
        cell.addWorker("w" + std::to_string(number), 8);
    }
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.job.back() == 'b' ? 500 : 30000), RunOutcome::Done };
    };
    cell.takeOver();
    // Two of the four workers are full of work that saves its progress and has time.
    REQUIRE(cell.submit("00000000000000aa", jobBody(8, 2000, R"(,"checkpoints":true,"estimateMs":9000)"))
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    REQUIRE(cell.submit("00000000000000ab", jobBody(4, 8000, R"(,"gang":true)"), "urgent") == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil("00000000000000ab", JobStage::Completed, Milliseconds(4000)));
    CHECK(cell.violations().empty());
}

// The pattern is thrashing: the same task is stopped for each urgent arrival and never gets to its end.
TEST_CASE("a task is preempted at most twice")
{
    OwnerFixture cell;
    cell.addWorker("w1", 2);
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.job.back() == 'a' ? 3000 : 200), RunOutcome::Done };
    };
    std::map<TaskName, int> startCounts;
    cell.fleet.onStarted = [&startCounts](SimulatedWorker &, const StartCommand &command) { ++startCounts[command.task]; };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 2000, R"(,"checkpoints":true)")) == ClientResult::Outcome::Accepted);
    for (int number = 0; number < 10; ++number) {
        cell.timers.advance(Milliseconds(700));
        REQUIRE(cell.submit("000000000000b0b" + std::to_string(number), jobBody(1, 2000), "urgent")
                == ClientResult::Outcome::Accepted);
    }
    CHECK(startCounts.at({ "00000000000000aa", 0, 0, 0 }) == 3);
    CHECK(cell.runUntil("00000000000000aa", JobStage::Completed, Milliseconds(8000)));
}
