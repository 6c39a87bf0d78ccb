#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>

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
