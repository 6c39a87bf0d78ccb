#include "dispatch/OwnerFixture.h"
#include "fakes/CapturedLog.h"
#include "observability/EventLog.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace auburndoor;

namespace {

constexpr const char *job = "00000000000000aa";
constexpr const char *task = "00000000000000aa.0.0.0";

/** A cell whose log is read; one task runs for long on w1. */
struct LoggedCell : OwnerFixture
{
    explicit LoggedCell(const std::string &fields = {})
    {
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(20000), RunOutcome::Done }; };
        addWorker("w1", 4);
        // More than half of the roster stays within reach of the next owner.
        addWorker("s1", 4, "studio");
        addWorker("s2", 4, "studio");
        takeOver();
        REQUIRE(submit(job, jobBody(1, 1000, fields)) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(500));
        REQUIRE(starts.size() == 1);
    }

    /** The only line of an event that a search for the task finds. */
    nlohmann::json line(const std::string &event)
    {
        nlohmann::json found;
        for (const auto &candidate : log.search(task)) {
            if (candidate.at("event") == event) {
                CHECK(found.is_null());
                found = candidate;
            }
        }
        REQUIRE(found.is_object());
        return found;
    }

    CapturedLog log;
};

void checkRun(const nlohmann::json &line, std::int64_t attempt, const std::string &worker, std::int64_t token)
{
    INFO(line.dump());
    CHECK(line.value("task", "") == task);
    CHECK(line.value("attempt", 0) == attempt);
    CHECK(line.value("worker", "") == worker);
    CHECK(line.value("token", 0) == token);
}

} // namespace

// Guards against a log that a search for the task's name finds nothing in, and against lines that don't tell who owned the cell.
TEST_CASE("a search for a task's name finds its starts and its end")
{
    LoggedCell cell;
    REQUIRE(cell.runUntil(job, JobStage::Completed, Milliseconds(30000)));
    checkRun(cell.line("run.start"), 1, "w1", 1);
    checkRun(cell.line("run.ended"), 1, "w1", 1);
    CHECK(cell.line("run.ended").at("how") == "done");
    CHECK_FALSE(cell.line("run.start").contains("after_end"));
}

// Guards against a start after a loss that doesn't tell of the loss: one line has to name both runs.
TEST_CASE("a start after the loss of a run names the lost one and why it was given up")
{
    LoggedCell cell;
    cell.addWorker("w2", 4);
    cell.fleet.worker("w1").isCutOff = true;
    cell.timers.advance(Milliseconds(8000));
    checkRun(cell.line("run.lost"), 1, "w1", 1);
    CHECK(cell.line("run.lost").at("why") == "lease-passed");
    const auto starts = cell.log.lines("run.start");
    REQUIRE(starts.size() == 2);
    checkRun(starts.back(), 2, "w2", 1);
    CHECK(starts.back().value("after", "") == "w1");
    CHECK(starts.back().value("after_attempt", 0) == 1);
    CHECK(starts.back().value("after_end", "") == "lease-passed");
}

// Guards against a start after a failure that doesn't name the failed run.
TEST_CASE("a start after a failure names the failed run")
{
    LoggedCell cell;
    cell.plan = [](const TaskName &, std::int64_t attempt) {
        return SimulatedWork { Milliseconds(100), attempt == 1 ? RunOutcome::Failed : RunOutcome::Done };
    };
    REQUIRE(cell.submit("00000000000000bb", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(2000));
    const auto lines = cell.log.search("00000000000000bb.0.0.0");
    const auto restart = std::find_if(
        lines.begin(), lines.end(), [](const auto &line) { return line.at("event") == "run.start" && line.at("attempt") == 2; });
    REQUIRE(restart != lines.end());
    CHECK(restart->value("after", "") == "w1");
    CHECK(restart->value("after_attempt", 0) == 1);
    CHECK(restart->value("after_end", "") == "failed");
}

// Guards against a takeover after which a search finds neither the run that went on nor the one that is not wanted.
TEST_CASE("a new owner's lines about the runs that it finds name the task and its token")
{
    const bool isCancelled = GENERATE(false, true);
    LoggedCell cell;
    if (isCancelled) {
        cell.fleet.worker("w1").isCutOff = true;
        REQUIRE(cell.cancel(job) == ClientResult::Outcome::Cancelled);
        cell.timers.advance(Milliseconds(500));
    }
    cell.killOwner();
    cell.fleet.worker("w1").isCutOff = false;
    cell.takeOver();
    checkRun(cell.line(isCancelled ? "run.unwanted" : "run.adopted"), 1, "w1", 2);
}

// Guards against a start under a new owner that looks like the first one of its task.
TEST_CASE("a start under a new owner tells that the task was started under a former one")
{
    LoggedCell cell(R"(,"longRunning":true)");
    cell.killOwner();
    cell.fleet.worker("w1").restart();
    cell.addWorker("w2", 4);
    cell.takeOver();
    cell.timers.advance(Milliseconds(8000));
    const auto start = cell.log.lines("run.start").back();
    INFO(start.dump());
    CHECK(start.value("token", 0) == 2);
    CHECK(start.value("after_attempt", 0) == 1);
    CHECK(start.value("after_end", "") == "under a former owner");
}

// Guards against a copy that looks like a task which runs twice by mistake.
TEST_CASE("the start of a copy names the run that it copies")
{
    LoggedCell cell(R"(,"speculative":true,"estimateMs":500)");
    cell.addWorker("w2", 4);
    cell.timers.advance(Milliseconds(4000));
    checkRun(cell.line("run.copied"), 1, "w1", 1);
    const auto start = cell.log.lines("run.start").back();
    checkRun(start, 2, "w2", 1);
    CHECK(start.value("after", "") == "w1");
    CHECK(start.value("after_end", "") == "none, copied");
}

// Guards against refused and unanswered starts that a search for their task doesn't find.
TEST_CASE("a start that is refused or gets no answer names its task")
{
    const bool isRefused = GENERATE(true, false);
    LoggedCell cell;
    cell.fleet.worker("w1").isReplaced = isRefused;
    cell.fleet.worker("w1").isCutOff = !isRefused;
    ClientCall call;
    call.kind = ClientCall::Kind::Submit;
    call.queue = "normal";
    call.job = "00000000000000bb";
    call.body = jobBody(1, 1000);
    cell.owner->call(call, [](const ClientResult &) {});
    cell.timers.advance(Milliseconds(700));
    const auto lines = cell.log.lines(isRefused ? "start.refused" : "start.unanswered");
    REQUIRE_FALSE(lines.empty());
    CHECK(lines.front().value("task", "") == "00000000000000bb.0.0.0");
    CHECK(lines.front().value("attempt", 0) == 1);
    CHECK(lines.front().value("worker", "") == "w1");
    CHECK(lines.front().value("token", 0) == 1);
}

// Guards against losses that are missing from the log because many tasks start in the same second.
TEST_CASE("the loss of a run is logged in a second whose limit of lines about starts is reached")
{
    // Four times the limit of a second.
    constexpr std::size_t fillerLines = 6000;
    LoggedCell cell;
    cell.addWorker("w2", 4);
    cell.fleet.worker("w1").isCutOff = true;
    // The limit counts on the machine's clock; the simulated time until the loss passes within one of its seconds.
    cell.timers.advance(Milliseconds(3000));
    for (std::size_t line = 0; line < fillerLines; ++line) {
        EventLog::writeRateLimited("filler", {});
        cell.log.readPipe();
    }
    cell.timers.advance(Milliseconds(5000));
    CHECK(cell.log.lines("filler").size() < fillerLines);
    CHECK(cell.log.lines("run.lost").size() == 1);
    // The start after the loss tells of both runs.
    CHECK(cell.log.lines("run.start").back().value("after_end", "") == "lease-passed");
}
