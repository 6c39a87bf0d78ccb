#include "core/Failure.h"
#include "fleet/FleetFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr const char *endlessBody = R"({"runMs": -1})";

/** Starts a task on a held place of an owner, as the driver of a job does. */
bool startTask(FleetOwner &owner, const std::string &task)
{
    const auto holds = owner.service.hold(
        { JobId("job"), TeamId("team"), owner.fixture.service, owner.fixture.need, 1, std::chrono::hours(1) });
    if (holds.empty()) {
        return false;
    }
    TaskStart start;
    start.id = TaskId(task);
    start.need = owner.fixture.need;
    start.latestStart = owner.fixture.clock.wallNow() + std::chrono::hours(1);
    start.lease = std::chrono::hours(1);
    start.body = endlessBody;
    Failure failure;
    return owner.service.startHeld(holds.front(), start, Milliseconds(1000), failure).status == CallStatus::Answered;
}

/** Has the first owner gain the shard and start six tasks, which leave two of the worker's eight places free. */
void startOldTasks(FleetOwner &first)
{
    first.gainShardAndWait(1);
    for (int index = 0; index < 6; ++index) {
        REQUIRE(startTask(first, "old-" + std::to_string(index)));
    }
}

bool hasCapacityRefusal(FakeWorker &worker)
{
    const auto events = worker.history();
    return std::any_of(events.begin(), events.end(), [](const WorkerEvent &event) {
        return event.kind == WorkerEvent::Kind::Refusal && event.reason == FailureReason::NoCapacity;
    });
}

} // namespace

TEST_CASE("a successor accounts for the tasks of the former owner before it places anything", "[fleet]")
{
    // Guards against overloaded workers after a takeover.
    FleetFixture fixture;
    FleetOwner first(fixture, "first");
    startOldTasks(first);
    FleetOwner second(fixture, "second");
    second.gainShardAndWait(2);
    CHECK(second.freePlaces() == 2);
    CHECK(startTask(second, "new-0"));
    CHECK(startTask(second, "new-1"));
    CHECK_FALSE(startTask(second, "new-2"));
    CHECK_FALSE(hasCapacityRefusal(fixture.worker()));
}

TEST_CASE("negative control: a successor that ignores the tasks in the workers' reports overloads them", "[fleet]")
{
    // Shows that the test above can fail: the ledger of this successor starts without the running tasks.
    FleetFixture fixture;
    FleetOwner first(fixture, "first");
    startOldTasks(first);
    FleetOwner second(fixture, "second");
    second.gainShardAndWait(2);
    const auto known = second.ledger.workers().front();
    second.ledger.addWorker({ { known.view.id, known.view.service, known.view.failureDomain, fixture.capacity, {}, 0, true },
                              known.address,
                              known.shard,
                              2 },
                            {});
    for (int index = 0; index < 3; ++index) {
        startTask(second, "new-" + std::to_string(index));
    }
    CHECK(hasCapacityRefusal(fixture.worker()));
}

TEST_CASE("an owner that has been fenced starts nothing and drops the shard", "[fleet]")
{
    // Guards against a paused owner that continues to start tasks after a takeover.
    FleetFixture fixture;
    FleetOwner first(fixture, "first");
    first.gainShardAndWait(1);
    FleetOwner second(fixture, "second");
    second.gainShardAndWait(2);
    CHECK_FALSE(startTask(first, "late"));
    CHECK(fixture.worker().startCount(TaskId("late")) == 0);
    CHECK_FALSE(first.workers.find(fixture.worker().id()));
    CHECK(first.freePlaces() == 0);
}

TEST_CASE("the capacity of a task whose start was not answered stays reserved until the worker reports a definite state", "[fleet]")
{
    // Guards against capacity that is reserved for another task while the first one may still start.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    const auto reservation = owner.reserve("task");
    REQUIRE(reservation);
    fixture.worker().setReachable(false);
    owner.workers.resolveTask(*reservation);
    for (int step = 0; step < 20; ++step) {
        fixture.clock.advance(Milliseconds(500));
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(owner.freePlaces() == 7);
    fixture.worker().setReachable(true);
    owner.waitUntil([&] { return owner.freePlaces() == 8; });
    Failure failure;
    const auto late = fixture.worker().start(
        owner.makeStart(*reservation, endlessBody), fixture.clock.now() + Milliseconds(1000), failure);
    CHECK(late.status == CallStatus::NotRun);
}

TEST_CASE("a task counts as running only while its worker's last report is younger than a task lease", "[fleet]")
{
    // Guards against a job that waits forever for a task of a worker that has failed but is still in the platform's list.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    const auto reservation = owner.reserve("job/0/1");
    REQUIRE(reservation);
    Failure failure;
    const auto deadline = fixture.clock.now() + Milliseconds(1000);
    REQUIRE(fixture.worker().start(owner.makeStart(*reservation, endlessBody), deadline, failure).status == CallStatus::Answered);
    owner.workers.trackTask(*reservation);
    const auto &roster = owner.workers.roster();
    owner.waitUntil([&] { return roster.isReportedRunning(reservation->worker, TaskId("job/0/1")); });
    CHECK(roster.reportedRunning(JobId("job")) == std::vector { TaskId("job/0/1") });
    CHECK(roster.reportedRunning(JobId("jo")).empty());
    fixture.worker().setReachable(false);
    fixture.clock.advance(Milliseconds(31'000));
    CHECK_FALSE(roster.isReportedRunning(reservation->worker, TaskId("job/0/1")));
    CHECK(roster.reportedRunning(JobId("job")).empty());
}

TEST_CASE("the capacity of a task is released soon after the worker reports its end", "[fleet]")
{
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    const auto reservation = owner.reserve("short");
    REQUIRE(reservation);
    Failure failure;
    REQUIRE(fixture.worker()
                .start(owner.makeStart(*reservation, R"({"runMs": 1000})"), fixture.clock.now() + Milliseconds(1000), failure)
                .status
            == CallStatus::Answered);
    owner.workers.trackTask(*reservation);
    const auto begin = fixture.clock.now();
    owner.waitUntil([&] { return owner.freePlaces() == 8; });
    CHECK(fixture.clock.now() - begin >= Milliseconds(1000));
}

TEST_CASE("a worker that is listed as leaving gets no new tasks", "[fleet]")
{
    // Guards against new tasks on an upstream that is leaving.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    CHECK(owner.freePlaces() == 8);
    fixture.directory.put({ fixture.worker().id(),
                            "address",
                            fixture.service,
                            fixture.domain,
                            RegionId("region"),
                            fixture.capacity,
                            ListedState::Leaving });
    const auto begin = fixture.clock.now();
    owner.waitUntil([&] { return owner.freePlaces() == 0; });
    CHECK(fixture.clock.now() - begin <= Milliseconds(3000));
}

TEST_CASE("lapsed holds release their capacity, and a lapsed hold starts nothing", "[fleet]")
{
    // Guards against capacity that stays reserved when the driver of a gang job fails between its holds and its starts.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    const auto holds = owner.service.hold({ JobId("gang"), TeamId("team"), fixture.service, fixture.need, 8, Milliseconds(5000) });
    REQUIRE(holds.size() == 8);
    CHECK(owner.freePlaces() == 0);
    fixture.clock.advance(Milliseconds(5000));
    owner.service.releaseLapsedHolds();
    CHECK(owner.freePlaces() == 8);
    CHECK(owner.service.holdCount() == 0);
    Failure failure;
    TaskStart start;
    start.id = TaskId("late");
    CHECK(owner.service.startHeld(holds.front(), start, Milliseconds(1000), failure).status == CallStatus::NotRun);
    CHECK(fixture.worker().startCount(TaskId("late")) == 0);
}

TEST_CASE("a late refusal of an old epoch does not drop a shard that was gained again", "[fleet]")
{
    // Guards against unused workers: the table names this instance as owner, but the instance has dropped the shard.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    owner.gainShardAndWait(3);
    owner.workers.reportStaleEpoch(fixture.shard, 1);
    CHECK(owner.workers.find(fixture.worker().id()));
    CHECK(owner.freePlaces() == 8);
    owner.workers.reportStaleEpoch(fixture.shard, 3);
    CHECK_FALSE(owner.workers.find(fixture.worker().id()));
}
