#include "client/JobTimeline.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace auburndoor;

namespace {

std::string line(const std::string &process, int steady, int wall, const std::string &event, const std::string &fields)
{
    return R"({"t":)" + std::to_string(steady) + R"(,"wall":)" + std::to_string(wall) + R"(,"process":")" + process
           + R"(","event":")" + event + "\"" + fields + "}\n";
}

} // namespace

// Guards against events in the wrong order: each machine has its own clocks, and the wall clock of one jumps.
TEST_CASE("the events of a job are in order across machines, even if a wall clock jumps")
{
    const std::string job = R"(,"job":"00000000000000aa")";
    std::istringstream first(line("a", 100, 5000, "process.started", "") + line("a", 200, 5100, "job.accepted", job)
                             + line("a", 300, 9200, "run.start", job + R"(,"worker":"w1")")
                             + line("a", 400, 5300, "owner.ended", ""));
    std::istringstream second(line("b", 9000, 5350, "owner.ready", "") + line("b", 9900, 6250, "run.ended", job)
                              + "not a log line\n" + line("b", 9901, 6251, "run.ended", R"(,"job":"00000000000000bb")"));
    JobTimeline timeline("00000000000000aa");
    timeline.read(second);
    timeline.read(first);
    CHECK(timeline.unreadableCount() == 1);
    const auto text = timeline.text();
    INFO(text);
    const auto accepted = text.find("job.accepted");
    const auto started = text.find("100 ms  a  run.start  worker=w1");
    const auto ended = text.find("1150 ms  b  run.ended  ");
    REQUIRE(accepted != std::string::npos);
    CHECK(accepted < started);
    CHECK(started < ended);
    CHECK(text.find("longest wait, 1050 ms") > ended);
    CHECK(text.find("00000000000000bb") == std::string::npos);
}

TEST_CASE("the timeline of a job that no log line names is empty")
{
    std::istringstream log(line("a", 100, 5000, "job.accepted", R"(,"job":"00000000000000aa")"));
    JobTimeline timeline("00000000000000cc");
    timeline.read(log);
    CHECK(timeline.isEmpty());
}

// Guards against a task's name that finds nothing, or that finds another task whose name begins alike.
TEST_CASE("the timeline of a task has the events of the task and of its job, and none of the job's other tasks")
{
    const std::string job = "00000000000000aa";
    const auto taskLine = [&](int time, const std::string &task) {
        return line("a", time, time, "run.start", R"(,"task":")" + job + task + R"(","worker":"w)" + std::to_string(time) + "\"");
    };
    std::istringstream log(line("a", 1, 1, "job.accepted", R"(,"job":")" + job + "\"") + taskLine(2, ".0.1.1")
                           + taskLine(3, ".0.1.17") + taskLine(4, ".0.1.170")
                           + line("a", 5, 5, "call.failed", R"(,"detail":"no job )" + job + ".\"")
                           + line("a", 6, 6, "job.ended", R"(,"job":"00000000000000bb")"));
    const bool isTask = GENERATE(true, false);
    JobTimeline timeline(isTask ? job + ".0.1.17" : job);
    timeline.read(log);
    const auto text = timeline.text();
    INFO(text);
    CHECK(text.find("job.accepted") != std::string::npos);
    CHECK(text.find("task=" + job + ".0.1.17 worker=w3") != std::string::npos);
    CHECK((text.find("worker=w2") != std::string::npos) == !isTask);
    CHECK((text.find("worker=w4") != std::string::npos) == !isTask);
    CHECK(text.find("call.failed") != std::string::npos);
    CHECK(text.find("job.ended") == std::string::npos);
}
