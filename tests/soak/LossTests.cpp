#include "soak/LossCell.h"
#include "soak/SoakSeeds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace auburndoor;

namespace {

constexpr int jobsPerLoss = 12;
constexpr Milliseconds endLimit { 30000 };
constexpr std::pair shortTasks { Milliseconds(100), Milliseconds(700) };

std::string folderOf(const std::string &test, unsigned seed)
{
    return std::string(PROGRAM_FOLDER) + "/soak-losses-" + test + "-" + std::to_string(seed);
}

void checkViolations(const LossCell &losses)
{
    std::string timeline;
    for (const auto &line : losses.cell.timeline) {
        timeline += line + "\n";
    }
    INFO(timeline);
    for (const auto &violation : losses.violations()) {
        FAIL_CHECK(violation);
    }
}

/** The losses of the rounds, in turn. */
void prepareLoss(LossCell &losses, int round)
{
    constexpr int kinds = 6;
    const int answers = losses.cell.draw(1, jobsPerLoss);
    switch (round % kinds) {
    case 0:
        losses.afterAccepted(answers, [&losses](const std::string &) { losses.loseEverything(); });
        return;
    case 1:
        losses.afterAccepted(jobsPerLoss / 2, [&losses](const std::string &) { losses.cancelJobs(); });
        losses.afterCancelled(1, [&losses](const std::string &) { losses.loseEverything(); });
        return;
    case 2:
        losses.afterAccepted(answers, [&losses](const std::string &) { losses.killOwner(); });
        return;
    case 3:
        // The owner is told to stop while the other submissions are being stored.
        losses.cell.platform.store.setAnswerTime(Milliseconds(losses.cell.draw(20, 300)));
        losses.cell.loop.after(Milliseconds(losses.cell.draw(5, 60)), [&losses] { losses.stopOwner(); });
        return;
    case 4:
        // The transactions with the submissions are applied, and their answers are lost with the owner.
        losses.cell.platform.store.loseAnswers(losses.cell.draw(1, 3), Milliseconds(losses.cell.draw(4, 600)));
        losses.cell.loop.after(Milliseconds(losses.cell.draw(10, 200)), [&losses] { losses.killOwner(); });
        return;
    default:
        losses.cell.platform.store.loseAnswers(1, Milliseconds(losses.cell.draw(4, 600)));
        losses.cell.loop.after(Milliseconds(losses.cell.draw(10, 200)), [&losses] { losses.stopOwner(); });
        return;
    }
}

void runRound(LossCell &losses, int round)
{
    constexpr Milliseconds submissionTime { 2500 };
    constexpr Milliseconds answerTime { 8 };
    prepareLoss(losses, round);
    losses.submitJobs(jobsPerLoss);
    losses.cell.runFor(submissionTime);
    losses.clients.onAccepted = {};
    losses.clients.onCancelled = {};
    losses.cell.platform.store.loseAnswers(0, Milliseconds(0));
    losses.cell.platform.store.setAnswerTime(answerTime);
    losses.returnWorkers();
    losses.waitForEnds(endLimit);
}

int acceptedCount(const LossCell &losses)
{
    const auto &jobs = losses.clients.jobs();
    return static_cast<int>(std::count_if(jobs.begin(), jobs.end(), [](const auto &job) { return job.second.isAccepted; }));
}

} // namespace

// Guards against an answer 2xx, to a submission or a cancellation, for what is lost with the processes and workers of that moment.
// SOAK_SEED, SOAK_SEEDS and SOAK_ROUNDS select longer runs.
TEST_CASE("what was accepted or cancelled survives the loss of all processes and workers right after the answer", "[losses]")
{
    for (const auto seed : selectSeeds(std::array { 1U })) {
        LossCell losses(seed, folderOf("accepted", seed), shortTasks);
        REQUIRE(losses.waitForOwner());
        for (int round = 0; round < readIntegerVariable("SOAK_ROUNDS", 6); ++round) {
            runRound(losses, round);
        }
        WARN("seed " << seed << ": " << losses.lossCount << " losses, " << acceptedCount(losses) << " jobs accepted");
        CHECK(losses.lossCount > 0);
        checkViolations(losses);
    }
}

// Negative control: a store that drops a row after it has acknowledged it is seen as the loss of that job.
TEST_CASE("a job whose row the store drops is reported as lost", "[losses]")
{
    LossCell losses(1, folderOf("control", 1), shortTasks);
    REQUIRE(losses.waitForOwner());
    std::string dropped;
    losses.afterAccepted(1, [&](const std::string &id) {
        dropped = id;
        losses.loseEverything();
        losses.cell.platform.store.remove("jobs", id);
    });
    losses.submitJobs(1);
    losses.cell.runUntil([&] { return !dropped.empty() && losses.cell.entries.front()->isRunning(); }, endLimit);
    losses.waitForEnds(Milliseconds(6000));
    const auto violations = losses.violations();
    CHECK(std::any_of(violations.begin(), violations.end(), [&dropped](const std::string &violation) {
        return violation.starts_with(dropped) && violation.ends_with("(no such job)");
    }));
}

// Guards against a sound job that is shown as failed because all workers have lost power several times while it ran.
TEST_CASE("a job is not given up when all workers lose power several times", "[losses][repeated]")
{
    constexpr int lossCount = 5;
    constexpr Milliseconds taskTime { 3000 };
    constexpr Milliseconds startLimit { 15000 };
    constexpr Milliseconds outage { 1000 };
    for (const auto seed : selectSeeds(std::array { 1U })) {
        LossCell losses(seed, folderOf("repeated", seed), { taskTime, taskTime });
        REQUIRE(losses.waitForOwner());
        losses.submitJobs(jobsPerLoss);
        for (int loss = 0; loss < lossCount; ++loss) {
            const int startsBefore = losses.startCount;
            losses.cell.runUntil([&] { return losses.startCount >= startsBefore + jobsPerLoss; }, startLimit);
            losses.cell.runFor(Milliseconds(losses.cell.draw(200, 1500)));
            losses.loseWorkers();
            losses.cell.runFor(outage);
            losses.returnWorkers();
        }
        losses.waitForEnds(endLimit);
        CHECK(acceptedCount(losses) == jobsPerLoss);
        checkViolations(losses);
    }
}
