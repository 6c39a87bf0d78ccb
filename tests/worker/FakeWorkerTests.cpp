#include "core/ManualClock.h"
#include "fakes/FakeWorker.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

TEST_CASE("a fake worker applies leases, its memory of ended tasks and throttling by its clock", "[worker]")
{
    // Guards against a fake that is more lenient than a worker: one whose leases never lapse or that never forgets a task.
    ManualClock clock;
    FakeWorker worker(WorkerId("w"), { 4000, 4000, 0, 8, 64 }, clock);
    Failure failure;
    const auto start = [&](const char *id, const char *body) {
        const TaskStart order { TaskId(id), 1, {}, {}, { 1000, 1000, 0, 1, 1 }, clock.wallNow(), Milliseconds(30'000), body };
        return worker.start(order, {}, failure).status;
    };
    const auto state = [&](const char *id) { return worker.query(TaskId(id), {}, failure)->state; };
    CHECK(start("lapses", R"({"runMs": -1})") == CallStatus::Answered);
    CHECK(start("slowed", R"({"runMs": 10000})") == CallStatus::Answered);
    CHECK(start("moved", R"({"runMs": 10000, "echo": "e"})") == CallStatus::Answered);
    CHECK(worker.throttle(TaskId("slowed"), 1, 50, {}, failure));
    clock.advance(Milliseconds(4000));
    CHECK(worker.checkpoint(TaskId("moved"), 1, {}, failure)->answer == R"({"echo":"e","fail":false,"runMs":6000})");
    clock.advance(Milliseconds(15'000));
    CHECK(state("slowed") == TaskState::Running);
    clock.advance(Milliseconds(1000));
    CHECK(state("slowed") == TaskState::Done);
    clock.advance(Milliseconds(10'000));
    CHECK(state("lapses") == TaskState::Stopped);
    CHECK(worker.cancel(TaskId("early"), 1, {}, failure)->state == TaskState::NeverStarted);
    clock.advance(std::chrono::minutes(10));
    CHECK(start("early", "x") == CallStatus::NotRun);
    CHECK(state("slowed") == TaskState::Unknown);
    clock.advance(Milliseconds(1));
    CHECK(start("early", "x") == CallStatus::Answered);
    CHECK(worker.highestUse().milliCores == 3000);
}
