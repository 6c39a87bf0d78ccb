#include "dispatch/JobState.h"
#include "dispatch/OwnerFixture.h"
#include "dispatch/PreemptionPlan.h"
#include "dispatch/PreemptionRules.h"
#include "dispatch/PreemptionValue.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

Resources cores(int count)
{
    return { std::int64_t(count) * 1000, 0, 0, 0, 0 };
}

PreemptibleRun makeRun(int index, int coreCount, Milliseconds sinceSaved, PreemptionCost cost = PreemptionCost::Tolerable)
{
    const auto need = cores(coreCount);
    return {
        { { "job", 0, 0, index }, 1 }, need, 2, { cost, PreemptionValue::lossOf({ need, Milliseconds(5000), sinceSaved, cost }) }
    };
}

constexpr PreemptionRight urgentRight { 0, PreemptionCost::MakesLate };

} // namespace

// Guards against stops of runs that have done most of their work while others have just started or saved theirs.
TEST_CASE("the runs to stop are those that lose least, and no more than the room takes")
{
    const std::vector<PreemptibleRun> runs { makeRun(0, 4, Milliseconds(4000)),
                                             makeRun(1, 2, Milliseconds(100)),
                                             makeRun(2, 4, Milliseconds(300)),
                                             makeRun(3, 4, Milliseconds(0), PreemptionCost::Excessive) };
    CHECK(PreemptionValue::chooseStops(runs, cores(2), cores(0), urgentRight) == std::vector<std::size_t> { 1 });
    CHECK(PreemptionValue::chooseStops(runs, cores(4), cores(0), urgentRight) == std::vector<std::size_t> { 2 });
    CHECK(PreemptionValue::chooseStops(runs, cores(8), cores(2), urgentRight) == std::vector<std::size_t> { 1, 2 });
    CHECK(PreemptionValue::chooseStops(runs, cores(2), cores(2), urgentRight).empty());
    CHECK(PreemptionValue::chooseStops(runs, cores(12), cores(0), urgentRight).empty());
}

// Guards against stops that are each worth it and together are not, and against plans that are dropped but keep their room.
TEST_CASE("the stops for one task, and those for all members of a gang, count together")
{
    WorkerCapacity worker;
    worker.id = "w1";
    for (int index = 0; index < 3; ++index) {
        worker.preemptibleRuns.push_back(makeRun(index, 2, Milliseconds(1750)));
    }
    const auto gain = PreemptionValue::gainOf(cores(6), Milliseconds(500));
    PreemptionPlan single(cores(6), urgentRight, gain, false);
    CHECK(single.mayLose(worker.lossFor(cores(2), urgentRight)));
    CHECK_FALSE(single.mayLose(worker.lossFor(cores(6), urgentRight)));

    PreemptionPlan gang(cores(6), urgentRight, gain, true);
    gang.addTask(worker);
    CHECK(gang.stops().size() == 3);
    CHECK_FALSE(gang.isWorthwhile());
    gang.rollBack();
    CHECK(gang.stops().empty());
    CHECK(worker.preemptibleRuns.size() == 3);
}

// Guards against a service that misses tasks because the runs in its way belong to a priority that keeps a part of the room.
TEST_CASE("only repairs of services stop runs whose priority has too little room")
{
    const TimePoint now { std::chrono::hours(1) };
    JobState job;
    job.spec.steps.resize(1);
    job.receivedAt = now;
    job.objective = now + Milliseconds(9000);
    job.addNextOccurrence(now);
    auto &step = *job.step(0, 0);
    Run run;
    run.claim.priority = 2;
    const auto stop = stopCostOf(run, job, step.tasks.front(), now, true);
    const PreemptibleRun running { run.key, cores(2), 2, stop };
    CHECK(stop.cost == PreemptionCost::Protected);
    CHECK_FALSE(PreemptionValue::isAllowed(running, preemptionRightOf(step, now).value()));
    job.spec.steps.front().isService = true;
    job.hasBegun = true;
    step.tasks.front().lastAttempt = 1;
    CHECK(PreemptionValue::isAllowed(running, preemptionRightOf(step, now).value()));
    CHECK(startGainOf(step) == PreemptionValue::unlimited);
}

// Guards against thrown-away work: one short task that stops a long and wide run again and again.
TEST_CASE("urgent work stops no run that loses more work than the urgent task has")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.plan = [](const TaskName &task, std::int64_t) {
        return SimulatedWork { Milliseconds(task.job.back() == 'a' ? 500 : 5000), RunOutcome::Done };
    };
    cell.takeOver();
    const std::string body
        = R"({"spec":"p","taskGroups":[{"count":1,"cpu":8000,"memMb":10,"estimateMs":6000,"checkpoints":true}]})";
    REQUIRE(cell.submit("00000000000000bb", body) == ClientResult::Outcome::Accepted);
    const bool hasJustStarted = GENERATE(true, false);
    cell.timers.advance(Milliseconds(hasJustStarted ? 20 : 2500));
    REQUIRE(cell.starts.size() == 1);
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 4000), "urgent") == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(1500));
    CHECK((cell.stage("00000000000000aa") == JobStage::Completed) == hasJustStarted);
}
