#include "fakes/ManualTimers.h"
#include "fakes/StartChecker.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace auburndoor;

// Guards against a check that misses a start after an end that is acknowledged only later, as when a former owner's worker is read
// at last; and against one that objects although the worker's lease had lapsed in between, so that the end does not count.
TEST_CASE("the checks of starts find an end that is acknowledged after its task was started elsewhere")
{
    constexpr Milliseconds duration { 500 };
    const bool hasLapsed = GENERATE(false, true);
    CAPTURE(hasLapsed);
    const Milliseconds lease(hasLapsed ? 800 : 5000);
    ManualTimers timers;
    SimulatedFleet fleet(timers);
    StartChecker checker(fleet);
    fleet.onStarted = [&checker](SimulatedWorker &worker, const StartCommand &order) { checker.check(worker, order); };
    JobSpec job;
    job.steps.emplace_back();
    checker.addJob("job", job);
    std::map<std::string, std::unique_ptr<WorkerClient>> clients;
    for (const auto *id : { "w1", "w2" }) {
        WorkerEntry entry;
        entry.id = id;
        const auto plan = [=](const TaskName &, std::int64_t) { return SimulatedWork { duration, RunOutcome::Done }; };
        clients[id] = fleet.create(fleet.add(entry, plan).entry(), 1);
    }
    const auto start = [&](const std::string &worker, std::int64_t attempt) {
        StartCommand order;
        order.task.job = "job";
        order.attempt = attempt;
        clients[worker]->start(order, lease, [](const WorkerClient::Reply &) {});
        timers.advance(duration * 2);
    };
    const auto renewLease = [&](std::int64_t acknowledged) {
        clients["w1"]->renewLeases(
            acknowledged, Milliseconds(5000), Milliseconds(0), [](const WorkerClient::Reply &, const TaskReport &) {});
        timers.advance(Milliseconds(100));
    };
    // A lease counts on a clock that was read.
    for (const auto &[id, client] : clients) {
        client->renewLeases(0, Milliseconds(0), Milliseconds(0), [](const WorkerClient::Reply &, const TaskReport &) {});
    }
    timers.advance(Milliseconds(100));
    start("w1", 1);
    renewLease(0);
    start("w2", 2);
    CHECK(checker.violations.empty());
    renewLease(1);
    CHECK(checker.violations.size() == (hasLapsed ? 0 : 1));
}

// Guards against a check that misses a start of a former owner which succeeds after an order of its successor: a worker that has
// restarted has forgotten the successor's token; and against one that objects to a renewal there.
TEST_CASE("the checks of starts find a start of a former owner that succeeds")
{
    const bool hasRestarted = GENERATE(false, true);
    const bool isStart = GENERATE(false, true);
    CAPTURE(hasRestarted, isStart);
    ManualTimers timers;
    SimulatedFleet fleet(timers);
    StartChecker checker(fleet);
    WorkerEntry entry;
    entry.id = "w1";
    auto &worker = fleet.add(entry, [](const TaskName &, std::int64_t) { return SimulatedWork(); });
    std::vector<std::unique_ptr<WorkerClient>> clients;
    const auto renewLease = [&](std::int64_t token) {
        clients.push_back(fleet.create(worker.entry(), token));
        // The first reply shows the worker's clock, on which the second lease counts.
        for (int renewal = 0; renewal < 2; ++renewal) {
            clients.back()->renewLeases(
                0, Milliseconds(5000), Milliseconds(0), [](const WorkerClient::Reply &, const TaskReport &) {});
            timers.advance(Milliseconds(50));
        }
    };
    renewLease(1);
    renewLease(2);
    CHECK(checker.violations.empty());
    if (hasRestarted) {
        worker.restart();
    }
    if (isStart) {
        clients.push_back(fleet.create(worker.entry(), 1));
        clients.back()->start(StartCommand(), Milliseconds(5000), [](const WorkerClient::Reply &) {});
        timers.advance(Milliseconds(100));
    } else {
        renewLease(1);
    }
    CHECK(checker.violations.size() == (hasRestarted && isStart ? 1 : 0));
}
