#include "dispatch/CrashFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace auburndoor;

namespace {

const std::string deadlyJob = "00000000000000dd";

/** Makes task 0 of the deadly job crash its workers. */
void makeFirstTaskDeadly(CrashFixture &cell)
{
    cell.isDeadly = [](const TaskName &task) { return task.job == deadlyJob && task.index == 0; };
}

/** Submits jobs of four tasks on three cores each. @return their ids */
std::vector<std::string> submitOthers(CrashFixture &cell, int count)
{
    std::vector<std::string> ids;
    for (int number = 0; number < count; ++number) {
        ids.push_back(jobIdOf(1000 + number));
        REQUIRE(cell.submit(ids.back(), jobBody(4, 3000)) == ClientResult::Outcome::Accepted);
    }
    return ids;
}

} // namespace

// Guards against a task that crashes worker after worker for as long as its job lasts.
TEST_CASE("a task that crashes each worker that starts it is given up, and its job fails")
{
    CrashFixture cell;
    cell.downtime = GENERATE(Milliseconds(1000), Milliseconds(3000), Milliseconds(8000));
    cell.getsNewId = GENERATE(false, true);
    makeFirstTaskDeadly(cell);
    cell.addWorkers(10, 16);
    cell.takeOver();
    REQUIRE(cell.submit(deadlyJob, jobBody(2, 3000)) == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil(deadlyJob, JobStage::Failed, Milliseconds(60000)));
    cell.timers.advance(Milliseconds(5000));
    CHECK(cell.crashCount() >= 2);
    CHECK(cell.mostStartsAfterThreeCrashes() < 3);
    CHECK(cell.violations().empty());
}

// Guards against sound tasks that are blamed because they run beside a task that crashes its workers.
TEST_CASE("jobs whose tasks run beside a task that crashes its workers complete")
{
    CrashFixture cell;
    makeFirstTaskDeadly(cell);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(2500), RunOutcome::Done }; };
    cell.addWorkers(6, 16);
    cell.takeOver();
    auto others = submitOthers(cell, 3);
    REQUIRE(cell.submit(deadlyJob, jobBody(2, 3000)) == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil(deadlyJob, JobStage::Failed, Milliseconds(60000)));
    for (const auto &id : others) {
        CHECK(cell.runUntil(id, JobStage::Completed, Milliseconds(30000)));
    }
    CHECK(cell.mostStartsAfterThreeCrashes() < 3);
    CHECK(cell.violations().empty());
}

// Guards against a count of crashes that ends with the owner.
TEST_CASE("a task that crashes its workers is given up though owners are replaced")
{
    CrashFixture cell;
    cell.getsNewId = GENERATE(false, true);
    makeFirstTaskDeadly(cell);
    cell.addWorkers(10, 16);
    cell.takeOver();
    REQUIRE(cell.submit(deadlyJob, jobBody(2, 3000)) == ClientResult::Outcome::Accepted);
    // Each owner lasts for one or two crashes.
    const auto ownerLifetime = GENERATE(Milliseconds(3700), Milliseconds(5200));
    for (int owners = 0; owners < 10 && cell.stage(deadlyJob) != JobStage::Failed; ++owners) {
        cell.timers.advance(ownerLifetime);
        cell.takeOver();
    }
    CHECK(cell.runUntil(deadlyJob, JobStage::Failed, Milliseconds(5000)));
    CHECK(cell.mostStartsAfterThreeCrashes() < 3);
    CHECK(cell.violations().empty());
}

// Guards against a crash that is lost because an owner is replaced before it has recorded it.
TEST_CASE("a new owner counts the crash of a worker that the former owner has not seen back")
{
    CrashFixture cell;
    cell.getsNewId = GENERATE(false, true);
    makeFirstTaskDeadly(cell);
    cell.addWorkers(10, 16);
    cell.takeOver();
    REQUIRE(cell.submit(deadlyJob, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    // Each owner ends while the worker is down that has crashed under it.
    while (cell.crashCount() < 1) {
        cell.timers.advance(Milliseconds(20));
    }
    for (int crashes = 1; crashes < 8 && cell.stage(deadlyJob) != JobStage::Failed; ++crashes) {
        cell.timers.advance(Milliseconds(500));
        cell.takeOver();
        for (int step = 0; step < 1000 && cell.crashCount() == crashes && cell.stage(deadlyJob) != JobStage::Failed; ++step) {
            cell.timers.advance(Milliseconds(20));
        }
    }
    CHECK(cell.runUntil(deadlyJob, JobStage::Failed, Milliseconds(10000)));
    CHECK(cell.mostStartsAfterThreeCrashes() < 3);
    CHECK(cell.violations().empty());
}

// Guards against a copy that crashes a second worker while the first crash is not known yet, over and over.
TEST_CASE("a suspected task of a step that allows copies gets none")
{
    CrashFixture cell;
    cell.getsNewId = true;
    makeFirstTaskDeadly(cell);
    cell.addWorkers(10, 16);
    cell.takeOver();
    REQUIRE(cell.submit(deadlyJob, jobBody(3, 3000, R"(,"speculative":true)")) == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil(deadlyJob, JobStage::Failed, Milliseconds(60000)));
    CHECK(cell.mostStartsAfterThreeCrashes() < 3);
}

TEST_CASE("gangs and services of which one task crashes its workers are given up")
{
    CrashFixture cell;
    const auto fields = GENERATE(as<std::string>(), R"(,"gang":true)", R"(,"longRunning":true)");
    makeFirstTaskDeadly(cell);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(60000), RunOutcome::Done }; };
    cell.addWorkers(10, 16);
    cell.takeOver();
    REQUIRE(cell.submit(deadlyJob, jobBody(8, 5000, fields)) == ClientResult::Outcome::Accepted);
    CHECK(cell.runUntil(deadlyJob, JobStage::Failed, Milliseconds(90000)));
    cell.timers.advance(Milliseconds(5000));
    CHECK(cell.mostStartsAfterThreeCrashes() < 3);
    // The room of the job's other tasks is free again.
    for (const auto &[id, worker] : cell.fleet.workers()) {
        worker->settle();
        CHECK(worker->runs().empty());
    }
}

// Guards against a job that is shown as failed because the workers of its tasks were cut off, which is no crash.
TEST_CASE("a job whose workers are cut off again and again completes")
{
    CrashFixture cell;
    cell.plan = [](const TaskName &, std::int64_t attempt) {
        return SimulatedWork { Milliseconds(attempt <= 6 ? 60000 : 1000), RunOutcome::Done };
    };
    cell.addWorkers(8, 16);
    cell.takeOver();
    REQUIRE(cell.submit(deadlyJob, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    for (int cuts = 0; cuts < 6; ++cuts) {
        cell.timers.advance(Milliseconds(100));
        const auto starts = cell.starts.size();
        for (const auto &[id, worker] : cell.fleet.workers()) {
            worker->settle();
            worker->isCutOff = !worker->runs().empty();
        }
        for (int step = 0; step < 500 && cell.starts.size() == starts; ++step) {
            cell.timers.advance(Milliseconds(20));
        }
        for (const auto &[id, worker] : cell.fleet.workers()) {
            worker->isCutOff = false;
        }
    }
    CHECK(cell.starts.size() == 7);
    CHECK(cell.runUntil(deadlyJob, JobStage::Completed, Milliseconds(20000)));
    CHECK(cell.violations().empty());
}

// Guards against a sound job that is given up because starts of its task never arrived at workers that restarted meanwhile.
TEST_CASE("a start that never ran does not count as a crash of its worker")
{
    CrashFixture cell;
    cell.addWorkers(8, 16);
    cell.takeOver();
    constexpr int rounds = 8;
    // Each start is lost, and the stop that rules it out arrives.
    int commands = 0;
    cell.fleet.drawFault = [&commands] {
        return commands++ % 2 == 0 ? CommandFault { CommandFault::Kind::Late, Milliseconds(60000) } : CommandFault();
    };
    REQUIRE(cell.submit(deadlyJob, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    for (int round = 0; round < rounds; ++round) {
        cell.timers.advance(Milliseconds(200));
        for (const auto &[id, worker] : cell.fleet.workers()) {
            worker->restart();
            cell.list(id);
        }
        cell.timers.advance(Milliseconds(800));
    }
    CHECK(cell.starts.empty());
    CHECK(commands > rounds);
    cell.fleet.drawFault = nullptr;
    CHECK(cell.runUntil(deadlyJob, JobStage::Completed, Milliseconds(20000)));
    CHECK(cell.violations().empty());
}

// Guards against a planned stop of workers that counts as crashes of the tasks on them.
TEST_CASE("a job whose workers drain and come back empty completes")
{
    CrashFixture cell;
    cell.getsNewId = GENERATE(false, true);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(9000), RunOutcome::Done }; };
    cell.addWorkers(8, 16);
    cell.takeOver();
    REQUIRE(cell.submit(deadlyJob, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    for (int stops = 0; stops < 5; ++stops) {
        cell.timers.advance(Milliseconds(1000));
        std::vector<std::string> used;
        for (const auto &[id, worker] : cell.fleet.workers()) {
            if (!worker->runs().empty()) {
                used.push_back(id);
            }
        }
        for (const auto &id : used) {
            cell.list(id, true);
        }
        cell.timers.advance(Milliseconds(3000));
        for (const auto &id : used) {
            cell.crash(id);
        }
        cell.timers.advance(Milliseconds(4000));
    }
    CHECK(cell.runUntil(deadlyJob, JobStage::Completed, Milliseconds(20000)));
    CHECK(cell.violations().empty());
}

// Guards against a long task that is given up because the workers that it had been running on for seconds crashed.
TEST_CASE("three crashes of workers long after a task's start do not fail its job")
{
    CrashFixture cell;
    cell.getsNewId = GENERATE(false, true);
    cell.plan = [](const TaskName &, std::int64_t attempt) {
        return SimulatedWork { Milliseconds(attempt <= 3 ? 60000 : 1000), RunOutcome::Done };
    };
    cell.addWorkers(8, 16);
    cell.takeOver();
    REQUIRE(cell.submit(deadlyJob, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    for (std::size_t crashes = 0; crashes < 3; ++crashes) {
        for (int step = 0; step < 500 && cell.starts.size() == crashes; ++step) {
            cell.timers.advance(Milliseconds(20));
        }
        cell.timers.advance(Milliseconds(4000));
        for (const auto &[id, worker] : cell.fleet.workers()) {
            if (!worker->runs().empty()) {
                cell.crash(id);
                break;
            }
        }
    }
    CHECK(cell.runUntil(deadlyJob, JobStage::Completed, Milliseconds(20000)));
    CHECK(cell.crashCount() == 3);
}

// Guards against a service that is given up although it ran soundly between crashes.
TEST_CASE("a task that has run for long enough is cleared of earlier crashes")
{
    CrashFixture cell;
    cell.getsNewId = GENERATE(false, true);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(600000), RunOutcome::Done }; };
    cell.addWorkers(8, 16);
    cell.takeOver();
    REQUIRE(cell.submit(deadlyJob, jobBody(1, 3000, R"(,"longRunning":true)")) == ClientResult::Outcome::Accepted);
    for (int crashes = 0; crashes < 8; ++crashes) {
        cell.timers.advance(Milliseconds(18000));
        for (const auto &[id, worker] : cell.fleet.workers()) {
            if (!worker->runs().empty()) {
                cell.crash(id);
                break;
            }
        }
    }
    CHECK(cell.crashCount() == 8);
    cell.timers.advance(Milliseconds(8000));
    CHECK(cell.stage(deadlyJob) == JobStage::Running);
}

// Guards against workers that crash for reasons of their own, many at once: no job may fail for it, and the service goes on.
TEST_CASE("crashes of many workers at once fail no job and hardly slow the rest down")
{
    CrashFixture cell;
    cell.getsNewId = GENERATE(false, true);
    std::mt19937 random(7);
    cell.plan = [&random](const TaskName &, std::int64_t) {
        return SimulatedWork { Milliseconds(500 + random() % 4000), RunOutcome::Done };
    };
    cell.addWorkers(24, 16);
    cell.takeOver();
    std::vector<std::string> jobs;
    const auto startedAt = cell.timers.now();
    for (int round = 0; round < 40; ++round) {
        for (int number = 0; number < 3; ++number) {
            jobs.push_back(jobIdOf(1000 + static_cast<int>(jobs.size())));
            REQUIRE(cell.submit(jobs.back(), jobBody(6, 3000)) == ClientResult::Outcome::Accepted);
        }
        cell.timers.advance(Milliseconds(300));
        if (round % 8 == 7) {
            std::vector<std::string> up;
            for (const auto &[id, worker] : cell.fleet.workers()) {
                if (!worker->isCutOff && !worker->isReplaced) {
                    up.push_back(id);
                }
            }
            std::shuffle(up.begin(), up.end(), random);
            up.resize(up.size() * 16 / 100);
            for (const auto &id : up) {
                cell.crash(id);
            }
        }
    }
    for (const auto &id : jobs) {
        CHECK(cell.runUntil(id, JobStage::Completed, Milliseconds(30000)));
    }
    // 40 rounds of 0.3 s bring 720 tasks of 2.5 s and three cores each, 450 core-seconds a second for 384 cores. Without crashes
    // all is done after some 17 s.
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(cell.timers.now() - startedAt);
    INFO("took " << elapsed.count() << " ms");
    CHECK(elapsed < Milliseconds(30000));
    CHECK(cell.violations().empty());
}
