#include "dispatch/LossFixture.h"

using namespace auburndoor;

// Guards against an owner that sees the run that it has given up and lets both runs of the task go on.
TEST_CASE("a run that goes on after it was given up continues, and the later run of its task is stopped", "[loss]")
{
    LossFixture cell;
    cell.begin(1, jobBody(1, 3000));
    cell.addWorker("w2", 4);
    cell.loseFirstWorker();
    REQUIRE(cell.attemptsOn("w1").size() == 1);
    REQUIRE(cell.attemptsOn("w2").size() == 1);
    cell.regainFirstWorker();
    cell.timers.advance(LossFixture::reactionTime);
    CHECK(cell.attemptsOn("w1").size() == 1);
    CHECK(cell.attemptsOn("w2").empty());
    CHECK(cell.contradictions("lease-passed") == 1);
    CHECK(cell.runUntil(LossFixture::job, JobStage::Completed, Milliseconds(20000)));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.contradictions("lease-passed") == 1);
    // The worker that outlasts its lease; no other run overlaps.
    CHECK(cell.violations().size() == 1);
}

// Guards against a run that goes on without room on its worker, and that the owner starts once more beside it.
TEST_CASE("a run that goes on before its task has started again occupies its worker", "[loss]")
{
    LossFixture cell;
    cell.begin(1, jobBody(1, 3000));
    cell.loseFirstWorker();
    cell.regainFirstWorker();
    cell.timers.advance(LossFixture::reactionTime);
    CHECK(cell.contradictions("lease-passed") == 1);
    constexpr const char *other = "00000000000000bb";
    REQUIRE(cell.submit(other, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(8000));
    CHECK(cell.attemptsOn("w1").size() == 1);
    CHECK(cell.starts.size() == 1);
    CHECK(cell.runUntil(LossFixture::job, JobStage::Completed, Milliseconds(10000)));
    CHECK(cell.runUntil(other, JobStage::Completed, Milliseconds(25000)));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty());
}

// Guards against a run that stays hidden because its worker answers and reports other runs.
TEST_CASE("a run that a worker leaves out of a report and lists later is noticed", "[loss]")
{
    LossFixture cell;
    cell.begin(2, jobBody(2, 1500));
    cell.addWorker("w2", 4);
    cell.fleet.worker("w1").unlistedRuns = { LossFixture::firstRun() };
    cell.timers.advance(Milliseconds(2500));
    REQUIRE(cell.starts.size() == 3);
    REQUIRE(cell.attempts().size() == 2);
    const auto first = cell.attempts().front();
    cell.fleet.worker("w1").unlistedRuns.clear();
    cell.timers.advance(Milliseconds(1000) + LossFixture::reactionTime);
    CHECK(cell.contradictions("missing") == 1);
    CHECK(cell.attempts() == std::vector<std::int64_t> { first });
    CHECK(cell.starts.size() == 3);
}

// Guards against a run that stays hidden because nobody reads the reports of a worker without known runs.
TEST_CASE("a worker is read once more after a report that left out its only run", "[loss]")
{
    LossFixture cell;
    cell.begin(1, jobBody(1, 3000));
    cell.addWorker("w2", 4);
    // Nothing is started on it any more.
    cell.list("w1", true);
    cell.fleet.worker("w1").unlistedRuns = { LossFixture::firstRun() };
    for (int step = 0; step < 200 && cell.starts.size() < 2; ++step) {
        cell.timers.advance(Milliseconds(20));
    }
    REQUIRE(cell.attemptsOn("w2").size() == 1);
    cell.fleet.worker("w1").unlistedRuns.clear();
    cell.timers.advance(LossFixture::reactionTime);
    CHECK(cell.contradictions("missing") == 1);
    CHECK(cell.attemptsOn("w1").size() == 1);
    CHECK(cell.attemptsOn("w2").empty());
}

// Guards against copies that are stopped although the step allows them.
TEST_CASE("a run that goes on after it was given up runs beside the later one if its step allows copies", "[loss]")
{
    LossFixture cell;
    cell.begin(1, jobBody(1, 3000, R"(,"speculative":true)"));
    cell.addWorker("w2", 4);
    cell.loseFirstWorker();
    const auto copy = cell.attemptsOn("w2");
    REQUIRE(copy.size() == 1);
    cell.regainFirstWorker();
    cell.timers.advance(LossFixture::reactionTime);
    CHECK(cell.contradictions("lease-passed") == 1);
    CHECK(cell.attemptsOn("w1").size() == 1);
    CHECK(cell.attemptsOn("w2") == copy);
}

// Guards against a run of a task that is done, which nobody stops.
TEST_CASE("a run that goes on after its task was done by another one is stopped", "[loss]")
{
    LossFixture cell;
    cell.plan = [](const TaskName &, std::int64_t attempt) {
        return SimulatedWork { Milliseconds(attempt > 1 ? 200 : 60000), RunOutcome::Done };
    };
    cell.begin(1, jobBody(1, 3000));
    cell.addWorker("w2", 4);
    cell.loseFirstWorker();
    cell.timers.advance(Milliseconds(1000));
    REQUIRE(cell.stage(LossFixture::job) == JobStage::Completed);
    cell.regainFirstWorker();
    cell.timers.advance(LossFixture::reactionTime);
    CHECK(cell.contradictions("lease-passed") == 1);
    CHECK(cell.attemptsOn("w1").empty());
    CHECK(cell.starts.size() == 2);
}

// Guards against a worker that was forgotten meanwhile: its earlier run was stopped as one of an unknown owner.
TEST_CASE("a run that goes on after its worker was forgotten is noticed as a wrong loss", "[loss]")
{
    LossFixture cell;
    cell.begin(1, jobBody(1, 3000));
    cell.addWorker("w2", 4);
    cell.fleet.worker("w1").isCutOff = true;
    cell.unlist("w1");
    cell.timers.advance(LossFixture::leaseTime + Milliseconds(1000));
    REQUIRE(cell.metrics.counter("events_total", "event=worker.forgotten") == 1);
    cell.regainFirstWorker();
    cell.list("w1");
    cell.timers.advance(Milliseconds(1500) + LossFixture::reactionTime);
    CHECK(cell.contradictions("lease-passed") == 1);
    CHECK(cell.attemptsOn("w1").size() == 1);
    CHECK(cell.attemptsOn("w2").empty());
}

// Guards against a late member of an attempt that was stopped as a whole: it cannot end done by itself, and its end must not stop
// the attempt that has taken its place.
TEST_CASE("a gang's member that goes on after it was given up is stopped, and the later attempt goes on", "[loss]")
{
    LossFixture cell;
    cell.addWorker("w2", 4);
    cell.timers.advance(Milliseconds(500));
    cell.begin(2, jobBody(2, 3000, R"(,"gang":true)"));
    const auto lostMember = cell.attemptsOn("w1", 0).empty() ? 1 : 0;
    const auto first = cell.attemptsOn("w1", lostMember);
    REQUIRE(first.size() == 1);
    const bool isStartedAgain = GENERATE(true, false);
    CAPTURE(isStartedAgain);
    if (isStartedAgain) {
        cell.addWorker("w3", 4);
    }
    cell.loseFirstWorker();
    cell.timers.advance(Milliseconds(1000));
    REQUIRE(cell.starts.size() == (isStartedAgain ? 4 : 2));
    cell.regainFirstWorker();
    cell.timers.advance(LossFixture::reactionTime);
    CHECK(cell.contradictions("lease-passed") == 1);
    CHECK(cell.attemptsOn("w1", lostMember) != first);
    CHECK(cell.runUntil(LossFixture::job, JobStage::Completed, Milliseconds(25000)));
    CHECK(cell.starts.size() == 4);
    CHECK(cell.violations().size() == (isStartedAgain ? 1 : 0));
}
