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
    owner.waitUntil([&] { return owner.workers.roster().haveTaskLeasesLapsed(fixture.worker().id()); });
    CHECK(fixture.worker().use().slots == 0);
}

TEST_CASE("a start extends the time until the leases of its worker have lapsed", "[fleet]")
{
    // Guards against a task that is started elsewhere while a start without an answer runs on a worker that was silent before.
    FleetFixture fixture;
    FleetOwner owner(fixture, "owner");
    owner.gainShardAndWait(1);
    fixture.worker().setReachable(false);
    const auto &roster = owner.workers.roster();
    owner.waitUntil([&] { return roster.haveTaskLeasesLapsed(fixture.worker().id()); });
    loseAnswers(fixture.worker());
    fixture.worker().setReachable(true);
    REQUIRE(startTask(owner, "job/0/1") == CallStatus::Unknown);
    CHECK_FALSE(roster.haveTaskLeasesLapsed(fixture.worker().id()));
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
