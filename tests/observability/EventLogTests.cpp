#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
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

// Guards against lines that a reader of JSON cannot parse, and against dropped lines that no figure shows. The writing of lines
// can't be switched off again, so both are checked in one test.
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
}
