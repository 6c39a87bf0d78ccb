#include "core/Failure.h"
#include "fleet/FleetFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

/** Starts an endless task with the lease of a job's task on a held place. */
CallStatus startTask(FleetOwner &owner, const std::string &task)
{
    const auto holds = owner.service.hold({ JobId("job"), TeamId("team"), owner.fixture.service, owner.fixture.need, 1, 5s });
    REQUIRE(holds.size() == 1);
    TaskStart start;
    start.id = TaskId(task);
    start.need = owner.fixture.need;
    start.latestStart = owner.fixture.clock.wallNow() + 10s;
    start.body = R"({"runMs": -1})";
    Failure failure;
    return owner.service.startHeld(holds.front(), start, 1s, failure).status;
}

/** Waits until the owner, which the table confirms all the time, reports that the leases of its worker have lapsed. */
void waitUntilLapsed(FleetOwner &owner)
{
    owner.waitUntil([&] {
        owner.workers.shardConfirmed(owner.fixture.shard, 1, owner.fixture.clock.now());
        return owner.workers.roster().haveTaskLeasesLapsed(owner.fixture.worker().id());
    });
}

void loseAnswers(FakeWorker &worker)
{
    WorkerFaults faults;
    faults.cutAnswers = 1'000'000;
    worker.setFaults(faults);
}

} // namespace

TEST_CASE("the leases of a worker that receives renewals but whose answers are lost do not count as lapsed", "[fleet]")
{
    // Guards against a task that is started elsewhere while unanswered renewals keep it running on its worker.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    REQUIRE(startTask(owner, "job/0/1") == CallStatus::Answered);
    loseAnswers(fixture.worker());
    waitUntilLapsed(owner);
    CHECK(fixture.worker().use().slots == 0);
}

TEST_CASE("a start extends the time until the leases of its worker have lapsed", "[fleet]")
{
    // Guards against a task that is started elsewhere while a start without an answer runs on a worker that was silent before.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    fixture.worker().setReachable(false);
    waitUntilLapsed(owner);
    loseAnswers(fixture.worker());
    fixture.worker().setReachable(true);
    REQUIRE(startTask(owner, "job/0/1") == CallStatus::Unknown);
    CHECK_FALSE(owner.workers.roster().haveTaskLeasesLapsed(fixture.worker().id()));
}

TEST_CASE("a worker that answers again after unanswered renewals keeps its tasks", "[fleet]")
{
    // Guards against an owner that stops renewing for good after one lost answer.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    REQUIRE(startTask(owner, "job/0/1") == CallStatus::Answered);
    WorkerFaults faults;
    faults.cutAnswers = 3;
    fixture.worker().setFaults(faults);
    const auto end = fixture.clock.now() + 60s;
    owner.waitUntil([&] { return fixture.clock.now() >= end; });
    CHECK(fixture.worker().use().slots == 1);
    CHECK(owner.workers.roster().isReportedRunning(fixture.worker().id(), TaskId("job/0/1")));
}

TEST_CASE("a deposed owner does not report leases as lapsed that its successor renews", "[fleet]")
{
    // Guards against a task that is started elsewhere since an owner without contact to the table counts only its own renewals.
    FleetFixture fixture;
    FleetOwner first(fixture, "first");
    first.gainShardAndWait(1);
    first.workers.shardConfirmed(fixture.shard, 1, fixture.clock.now());
    const TaskId task("job/0/1");
    REQUIRE(startTask(first, task.text()) == CallStatus::Answered);
    // The first owner no longer reaches the worker. The second object is the same worker as its successor reaches it.
    const auto worker = fixture.worker().id();
    fixture.worker().setReachable(false);
    fixture.connector.workers[worker] = std::make_shared<FakeWorker>(worker, fixture.capacity, fixture.clock);
    FleetOwner second(fixture, "second");
    const auto reservation = Reservation { task.text(), worker, fixture.shard, 1, {} };
    Failure failure;
    REQUIRE(fixture.worker().start(second.makeStart(reservation, R"({"runMs": -1})"), {}, failure).status == CallStatus::Answered);
    second.gainShardAndWait(2);
    const auto end = fixture.clock.now() + 60s;
    second.waitUntil([&] { return fixture.clock.now() >= end; });
    REQUIRE(second.workers.roster().isReportedRunning(worker, task));
    CHECK_FALSE(first.service.queryTask(worker, task, 1s, failure));
    CHECK(failure.reason == FailureReason::NotReady);
}

TEST_CASE("the leases of a silent worker have lapsed once the table has confirmed its owner after their end", "[fleet]")
{
    // Guards against a task that waits forever for a worker that has failed, and against a confirmation of another epoch.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(2);
    REQUIRE(startTask(owner, "job/0/1") == CallStatus::Answered);
    fixture.worker().setReachable(false);
    const auto &roster = owner.workers.roster();
    const auto end = fixture.clock.now() + 90s;
    owner.waitUntil([&] { return fixture.clock.now() >= end; });
    CHECK_FALSE(roster.haveTaskLeasesLapsed(fixture.worker().id()));
    owner.workers.shardConfirmed(fixture.shard, 1, fixture.clock.now());
    CHECK_FALSE(roster.haveTaskLeasesLapsed(fixture.worker().id()));
    owner.workers.shardConfirmed(fixture.shard, 2, fixture.clock.now());
    CHECK(roster.haveTaskLeasesLapsed(fixture.worker().id()));
    CHECK(fixture.worker().use().slots == 0);
}

TEST_CASE("an owner stops renewing a worker whose entry in the list has become unreadable", "[fleet]")
{
    // Guards against a task that is started elsewhere since its worker counts as gone, while the owner goes on renewing it.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    const auto worker = fixture.worker().id();
    REQUIRE(startTask(owner, "job/0/1") == CallStatus::Answered);
    // The directory passes on only the id of an entry that it cannot read.
    ListedWorker unreadable;
    unreadable.id = worker;
    unreadable.state = ListedState::Gone;
    fixture.directory.put(unreadable);
    owner.waitUntil([&] { return owner.workers.roster().haveTaskLeasesLapsed(worker); });
    CHECK(fixture.worker().use().slots == 0);
    CHECK_FALSE(owner.workers.find(worker));
}

TEST_CASE("a worker listed as gone does not count as lapsed while a cut-off owner renews it", "[fleet][partition]")
{
    // Guards against a task that is started elsewhere on the word of the list, while an owner cut off with its worker renews it.
    FleetFixture fixture;
    FakeInstanceDirectory staleDirectory;
    const auto worker = fixture.worker().id();
    Failure failure;
    auto listed = fixture.directory.changesSince(0, {}, failure)->changed.front();
    staleDirectory.put(listed);
    FleetOwner first(fixture, "first", staleDirectory);
    first.gainShardAndWait(1);
    REQUIRE(startTask(first, "job/0/1") == CallStatus::Answered);
    // The successor does not reach the worker: another object stands for it.
    const auto firstWorker = fixture.connector.workers.at(worker);
    fixture.connector.workers[worker] = std::make_shared<FakeWorker>(worker, fixture.capacity, fixture.clock);
    fixture.worker().setReachable(false);
    FleetOwner second(fixture, "second");
    second.workers.shardGained(fixture.shard, 2);
    listed.state = ListedState::Gone;
    fixture.directory.put(listed);
    const auto end = fixture.clock.now() + 60s;
    second.waitUntil([&] {
        second.workers.shardConfirmed(fixture.shard, 2, fixture.clock.now());
        return fixture.clock.now() >= end;
    });
    const bool isLapsedTask = second.workers.roster().haveTaskLeasesLapsed(worker);
    const bool isLapsedTaskRunning = isLapsedTask && firstWorker->use().slots > 0;
    CHECK_FALSE(isLapsedTaskRunning);
}
