#include "dispatch/AdviceShares.h"
#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace auburndoor;

namespace {

constexpr const char *gangJob = "00000000000000aa";
constexpr int coresPerWorker = 8;

std::string gangBody(int members)
{
    return jobBody(members, coresPerWorker * 1000, R"(,"gang":true)");
}

std::string workerId(int number)
{
    return "w" + std::to_string(1000 + number);
}

} // namespace

// The pattern is a wide gang that starves although its workers are free: permits are collected a few at a time, and the first have
// expired when the last arrive. An answer takes 900 ms and names 30 workers at most, of which 30 in 100 are allowed.
TEST_CASE("a gang that needs more workers than one advice request may name starts within two answers")
{
    constexpr int workers = 320;
    constexpr int members = 80;
    OwnerFixture cell;
    for (int number = 0; number < workers; ++number) {
        cell.addWorker(workerId(number), coresPerWorker);
        if (number % 10 >= 3) {
            cell.advisor.denied.insert(workerId(number));
        }
    }
    cell.advisor.responseTime = Milliseconds(900);
    cell.advisor.validity = Milliseconds(2000);
    cell.takeOver();
    REQUIRE(cell.submit(gangJob, gangBody(members), "advised") == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil(gangJob, JobStage::Completed, Milliseconds(3000)));
    CHECK(cell.violations().empty());
}

// The pattern is a reservation that ends before its holder can use it: the room is kept for a gang while it waits for the answer,
// and once the answer has come, a task that ranks before it takes the room.
TEST_CASE("the workers for which a gang has got permits are not taken by others of its priority")
{
    constexpr const char *single = "00000000000000ff";
    OwnerFixture cell;
    cell.addWorker(workerId(0), coresPerWorker);
    cell.addWorker(workerId(1), coresPerWorker);
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.job == jobIdOf(0) ? 1200 : 3000), RunOutcome::Done };
    };
    cell.advisor.validity = Milliseconds(300);
    cell.takeOver();
    REQUIRE(cell.submit(jobIdOf(0), jobBody(2, coresPerWorker * 1000), "urgent") == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(600));
    cell.advisor.responseTime = Milliseconds(300);
    REQUIRE(cell.submit(gangJob, jobBody(2, coresPerWorker * 1000, R"(,"gang":true,"estimateMs":9000)"), "advised")
            == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    // Has an earlier objective than the gang, and gets its permits just before the gang gets its new ones.
    REQUIRE(cell.submit(single, jobBody(1, coresPerWorker * 1000), "advised") == ClientResult::Outcome::Accepted);
    const auto isStarted = [&cell](const std::string &job) {
        return std::any_of(cell.starts.begin(), cell.starts.end(), [&](const auto &start) { return start.task.job == job; });
    };
    for (int slice = 0; slice < 100 && !isStarted(gangJob) && !isStarted(single); ++slice) {
        cell.timers.advance(Milliseconds(20));
    }
    CHECK(isStarted(gangJob));
    CHECK_FALSE(isStarted(single));
    CHECK(cell.violations().empty());
}

// The pattern is starvation of wide work by narrow work: each worker that becomes free gets the next single task before the other
// workers of the gang are free, with three quarters of the room unused.
TEST_CASE("a gang gets its turn though single tasks of its priority go before it")
{
    constexpr int workers = 4;
    OwnerFixture cell;
    for (int number = 0; number < workers; ++number) {
        cell.addWorker(workerId(number), coresPerWorker);
    }
    cell.advisor.responseTime = Milliseconds(300);
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.job == gangJob ? 500 : 100), RunOutcome::Done };
    };
    cell.takeOver();
    bool isCompleted = false;
    int completedSingles = 0;
    constexpr int singles = 200;
    for (int number = 0; number < singles; ++number) {
        REQUIRE(cell.submit(jobIdOf(number), jobBody(1, coresPerWorker * 1000), "advised") == ClientResult::Outcome::Accepted);
        if (number == workers) {
            REQUIRE(cell.submit(gangJob, gangBody(workers), "advised") == ClientResult::Outcome::Accepted);
        }
        cell.timers.advance(Milliseconds(100));
        isCompleted = isCompleted || cell.stage(gangJob) == JobStage::Completed;
    }
    CHECK(isCompleted);
    // The hold is bounded: the others are served as well.
    cell.timers.advance(Milliseconds(3000));
    for (int number = 0; number < singles; ++number) {
        completedSingles += cell.stage(jobIdOf(number)) == JobStage::Completed ? 1 : 0;
    }
    CHECK(completedSingles == singles);
    CHECK(cell.violations().empty());
}

TEST_CASE("the share of allowed workers follows the answers of the queue")
{
    AdviceShares shares;
    CHECK(shares.allowedShare("render") == Approx(0.5));
    for (int answer = 0; answer < 50; ++answer) {
        shares.add("render", 30, 9);
    }
    CHECK(shares.allowedShare("render") == Approx(0.3).margin(0.02));
    CHECK(shares.allowedShare("sweep") == Approx(0.5));
    for (int answer = 0; answer < 200; ++answer) {
        shares.add("render", 30, 27);
    }
    CHECK(shares.allowedShare("render") > 0.7);
    shares.add("none", 100000, 0);
    CHECK(shares.allowedShare("none") > 0);
}
