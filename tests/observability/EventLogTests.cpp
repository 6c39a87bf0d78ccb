#include "fakes/CapturedLog.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace auburndoor;

TEST_CASE("each event is counted by its reason, and its durations are measured")
{
    Metrics metrics;
    EventLog::setMetrics(&metrics);
    EventLog::write("run.lost", { { "job", "a" }, { "why", "lease-passed" } });
    EventLog::writeRateLimited("run.lost", { { "job", "b" }, { "why", "lease-passed" } });
    EventLog::writeRateLimited("job.begun", { { "job", "a" }, { "waited_ms", 40 } });
    EventLog::setMetrics(nullptr);
    EventLog::write("run.lost", { { "why", "lease-passed" } });
    CHECK(metrics.counter("events_total", "event=run.lost,reason=lease-passed") == 2);
    CHECK(metrics.quantile("event_milliseconds", 0.5, "event=job.begun,field=waited_ms") >= std::chrono::milliseconds(40));
}

namespace {

/** Standard output goes to a temporary file until this is destroyed. */
class CapturedOutput
{
public:
    CapturedOutput() : original_(dup(STDOUT_FILENO)), file_(std::tmpfile())
    {
        std::fflush(stdout);
        dup2(fileno(file_), STDOUT_FILENO);
    }

    ~CapturedOutput()
    {
        dup2(original_, STDOUT_FILENO);
        close(original_);
        std::fclose(file_);
    }

    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> result;
        std::rewind(file_);
        std::array<char, 4096> line {};
        while (std::fgets(line.data(), line.size(), file_) != nullptr) {
            result.push_back(nlohmann::json::parse(line.data()));
        }
        return result;
    }

private:
    int original_;
    std::FILE *file_;
};

} // namespace

// Guards against lines that a reader of JSON cannot parse, and against dropped lines that no figure shows.
TEST_CASE("lines are JSON objects, and those over the limit of a second are dropped and counted")
{
    constexpr int events = 4000;
    constexpr int maxLinesPerSecond = 1500;
    Metrics metrics;
    const CapturedOutput output;
    EventLog::configure("entry \"1\"");
    EventLog::setMetrics(&metrics);
    EventLog::write("text", { { "plain", "a b" }, { "escaped", "\"\\\n\x7f" }, { "empty", "" }, { "number", -12 } });
    const auto droppedBefore = EventLog::droppedCount();
    for (int event = 0; event < events; ++event) {
        EventLog::writeRateLimited("run.start", { { "job", "a" } });
    }
    const auto dropped = EventLog::droppedCount() - droppedBefore;
    EventLog::write("exempt", {});
    EventLog::flush();
    EventLog::setMetrics(nullptr);
    const auto lines = output.lines();
    CHECK(lines.front().at("process") == "entry \"1\"");
    CHECK(lines.front().at("event") == "text");
    CHECK(lines.front().at("plain") == "a b");
    CHECK(lines.front().at("escaped") == "\"\\\n\x7f");
    CHECK(lines.front().at("empty").get<std::string>().empty());
    CHECK(lines.front().at("number") == -12);
    CHECK(lines.back().at("event") == "exempt");
    // The events may fall into two seconds.
    CHECK(dropped >= events - 2 * maxLinesPerSecond);
    CHECK(dropped <= events - maxLinesPerSecond);
    CHECK(metrics.counter("events_total", "event=run.start") == events);
    const auto written = std::count_if(
        lines.begin(), lines.end(), [](const nlohmann::json &line) { return line.at("event") == "run.start"; });
    CHECK(written + dropped == events);
    EventLog::close(std::chrono::milliseconds(0));
}

namespace {

// Longer than a line of the product, so that few of them fill the buffer.
const std::string longDetail(1000, 'x'); // NOLINT(cert-err58-cpp)

constexpr int routineLines = 1500;

/** Fills the room for routine lines: they tell of starts, and the reader takes none of them. */
void fillWithStarts()
{
    for (int line = 0; line < routineLines; ++line) {
        EventLog::writeRateLimited("run.start", { { "detail", longDetail } });
    }
}

} // namespace

// Guards against a log that lacks just the losses, since lines about each start have taken the room of a log that nobody reads.
TEST_CASE("lines about each start do not displace rare lines and losses while the reader stands still")
{
    constexpr int losses = 1000;
    constexpr int lostWorkers = 500;
    CapturedLog log;
    const auto droppedBefore = EventLog::droppedCount();
    fillWithStarts();
    CHECK(EventLog::droppedCount() > droppedBefore);
    for (int run = 0; run < losses; ++run) {
        EventLog::writeBurst("run.lost", { { "task", "00000000000000aa.0.0.0" }, { "why", "lease-passed" } });
    }
    for (int worker = 0; worker < lostWorkers; ++worker) {
        EventLog::write("worker.lost", { { "worker", "w1" } });
    }
    const auto dropped = EventLog::droppedCount() - droppedBefore;
    CHECK(log.lines("run.lost").size() == losses);
    CHECK(log.lines("worker.lost").size() == lostWorkers);
    CHECK(static_cast<long long>(log.lines("run.start").size()) + dropped == routineLines);
}

// Guards against losses that are missing from the log because many tasks start in the same second.
TEST_CASE("losses do not fall under the limit of lines about each start")
{
    constexpr int losses = 3000;
    CapturedLog log;
    for (int line = 0; line < 2 * routineLines; ++line) {
        EventLog::writeRateLimited("run.start", { { "task", "00000000000000aa.0.0.0" } });
        log.readPipe();
    }
    for (int run = 0; run < losses; ++run) {
        EventLog::writeBurst("run.lost", { { "task", "00000000000000aa.0.0.0" } });
        log.readPipe();
    }
    CHECK(log.lines("run.lost").size() == losses);
}

// Guards against a log whose gaps no line shows.
TEST_CASE("a line tells of dropped lines once there is room again, and they are counted by their kind")
{
    Metrics metrics;
    CapturedLog log;
    EventLog::setMetrics(&metrics);
    const auto droppedBefore = EventLog::droppedCount();
    fillWithStarts();
    for (int line = 0; line < 10; ++line) {
        EventLog::writeRateLimited("run.ended", {});
    }
    const auto dropped = EventLog::droppedCount() - droppedBefore;
    // At most one line a second tells of dropped lines, and an earlier test may have caused one just now.
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    EventLog::flush();
    CHECK(metrics.counter("events_total", "event=log.dropped") == 0);
    const auto reports = log.lines("log.dropped");
    EventLog::setMetrics(nullptr);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().at("lines") == dropped);
    CHECK(reports.front().at("over_limit") == 10);
    CHECK(reports.front().at("not_routine") == 0);
    CHECK(metrics.counter("log_lines_dropped_total", "kind=routine,reason=limit") == 10);
    CHECK(metrics.counter("log_lines_dropped_total", "kind=routine,reason=no room") == dropped - 10);
    CHECK(metrics.counter("events_total", "event=run.start") == routineLines);
}

// Guards against a process that a reader which stands still lets grow without a limit.
TEST_CASE("the buffer has a limit for rare lines as well")
{
    constexpr int lines = 4000;
    // The pipe holds 64 KiB, the buffer 1.75 MiB and one line more.
    constexpr std::size_t maxBytes = (1 << 16) + (7 << 18) + 2000;
    CapturedLog log;
    const auto droppedBefore = EventLog::droppedCount();
    for (int line = 0; line < lines; ++line) {
        EventLog::write("worker.lost", { { "detail", longDetail } });
    }
    const auto dropped = EventLog::droppedCount() - droppedBefore;
    CHECK(static_cast<long long>(log.lines("worker.lost").size()) + dropped == lines);
    CHECK(dropped > 0);
    CHECK(log.readBytes() <= maxBytes);
}

// Guards against the loss of the last lines, which tell why a process has ended.
TEST_CASE("closing the log waits for a slow reader, but not for one that takes nothing")
{
    const bool isRead = GENERATE(true, false);
    constexpr std::chrono::milliseconds maxWait { 300 };
    CapturedLog log;
    fillWithStarts();
    EventLog::write("process.stopped", {});
    std::atomic<bool> isClosed { false };
    std::thread reader([&] {
        while (isRead && !isClosed) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            log.readPipe();
        }
    });
    const auto begin = std::chrono::steady_clock::now();
    const bool isComplete = EventLog::close(isRead ? std::chrono::seconds(20) : maxWait);
    const auto duration = std::chrono::steady_clock::now() - begin;
    isClosed = true;
    reader.join();
    CHECK(isComplete == isRead);
    CHECK((isRead || duration < std::chrono::seconds(5)));
    if (isRead) {
        CHECK(log.lines("process.stopped").size() == 1);
    }
}

// Guards against a metric that monitoring cannot read: an event with two reasons, and one label given twice.
TEST_CASE("an event with two fields that tell a reason is counted by the first one")
{
    Metrics metrics;
    EventLog::setMetrics(&metrics);
    EventLog::writeBurst("run.lost", { { "task", "00000000000000aa.0.0.0" }, { "why", "refused" }, { "outcome", "no-room" } });
    EventLog::setMetrics(nullptr);
    CHECK(metrics.counter("events_total", "event=run.lost,reason=refused") == 1);
    CHECK(metrics.text().find(R"(auburndoor_events_total{event="run.lost",reason="refused"} 1)") != std::string::npos);
}
