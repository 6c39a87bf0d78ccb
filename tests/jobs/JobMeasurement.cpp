#include "jobs/Cell.h"

#include "jobs/JobDecisions.h"

#include <catch2/catch.hpp>

#include <ctime>
#include <iostream>

using namespace auburndoor;

namespace {

constexpr Resources wideCapacity { 1'000'000, 1'000'000, 0, 1000, 1000 };
constexpr Milliseconds testTimeout { 60'000 };
constexpr Milliseconds tableLatency { 20 };
constexpr int taskCount = 64;

Milliseconds measureTimeToLastStart(Cell &cell, WallTime begin)
{
    WallTime last = begin;
    for (const auto &[instance, owner] : cell.owners) {
        for (const auto &[id, worker] : owner->workers) {
            for (const auto &event : worker->history()) {
                last = event.kind == WorkerEvent::Kind::Start ? std::max(last, event.time) : last;
            }
        }
    }
    return std::chrono::duration_cast<Milliseconds>(last - begin);
}

void measureWrites(const char *label, int jobs, int tasksPerJob)
{
    Cell cell(2, wideCapacity);
    for (int job = 0; job < jobs; ++job) {
        cell.submit(JobKind::Batch, tasksPerJob, R"({"runMs": 5000})", "job-" + std::to_string(job));
    }
    cell.table.beforeEachCommit = [&] { cell.clock.advance(tableLatency); };
    const auto begin = cell.clock.wallNow();
    const auto commits = cell.table.commitCount();
    for (int job = 0; job < jobs; ++job) {
        CHECK(cell.runFor(testTimeout, "job-" + std::to_string(job)).phase == JobPhase::Done);
    }
    std::cout << label << ": " << cell.table.commitCount() - commits << " writes after the submissions, last start after "
              << measureTimeToLastStart(cell, begin).count() << " ms\n";
}

/**
    Lets the owner crash after it has started all tasks.

    @param startsBeforeWrite true if it has written no record of the assignments yet
    @return the number of tasks that ran twice
*/
int measureCrash(bool startsBeforeWrite)
{
    Cell cell(2, wideCapacity);
    cell.submit(JobKind::Batch, taskCount, R"({"runMs": 20000})");
    if (startsBeforeWrite) {
        auto &owner = *cell.owners.begin()->second;
        auto job = cell.load();
        for (const auto &hold : owner.hold({ job.declaration.id, {}, {}, job.declaration.need, taskCount, testTimeout })) {
            const auto index = static_cast<std::size_t>(cell.startCount());
            assignTask(job, index, hold.worker, cell.runnerInstance);
            const auto latest = cell.clock.wallNow() + testTimeout;
            owner.startHeld(hold,
                            { job.taskId(index), 1, {}, {}, job.declaration.need, latest, testTimeout, job.declaration.body },
                            cell.failure);
        }
    } else {
        cell.runner->runOnce();
    }
    CHECK(cell.startCount() == taskCount);
    cell.takeOver(InstanceId("instance-1"));
    CHECK(cell.runFor(testTimeout).phase == JobPhase::Done);
    return cell.overlapCount();
}

void measureProcessorTime(int tasks)
{
    Cell cell(2, wideCapacity);
    constexpr int tasksPerJob = 50;
    for (int job = 0; job < tasks / tasksPerJob; ++job) {
        cell.submit(JobKind::Service, tasksPerJob, R"({"runMs": -1})", "job-" + std::to_string(job));
    }
    cell.runFor(Milliseconds(100'000), "job-0");
    const auto begin = std::clock();
    cell.runFor(Milliseconds(50'000), "job-0");
    const auto seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    std::cout << tasks << " tasks that run steadily: " << seconds / 50 * 100 << "% of a core\n";
}

} // namespace

// Prints the figures of docs/decisions/0003-job-records-before-starts.md; run as: build/test-jobs "[measure]"
TEST_CASE("figures of the order of records and starts", "[.measure]")
{
    std::cout << taskCount << " tasks, " << tableLatency.count() << " ms for each write of the table\n";
    measureWrites("one row for each round", 1, taskCount);
    measureWrites("one row for each task", taskCount, 1);
    std::cout << "tasks run twice after a crash, start before write: " << measureCrash(true) << '\n';
    std::cout << "tasks run twice after a crash, write before start: " << measureCrash(false) << '\n';
    for (const auto tasks : { 250, 500, 750 }) {
        measureProcessorTime(tasks);
    }
}
