#include "core/Failure.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

TEST_CASE("metrics are rendered with their labels and cumulative buckets", "[observability]")
{
    // Guards against output that Prometheus cannot parse, and against refusals counted without their reason.
    Metrics metrics;
    metrics.countRefusal({ FailureStep::Queue, "entry-2", FailureReason::DeadlinePassed, {} });
    metrics.count("heartbeats_dropped_total", "old-summary", 3);
    metrics.observe("request_duration", Milliseconds(5), "service=namedesk");
    metrics.observe("request_duration", Milliseconds(500), "service=namedesk");
    const auto text = metrics.text();
    CHECK(text.find("auburndoor_refusals_total{step=\"queue\",reason=\"deadline-passed\"} 1\n") != std::string::npos);
    CHECK(text.find("auburndoor_heartbeats_dropped_total{reason=\"old-summary\"} 3\n") != std::string::npos);
    CHECK(text.find("auburndoor_request_duration_seconds_bucket{service=\"namedesk\",le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("auburndoor_request_duration_seconds_count{service=\"namedesk\"} 2\n") != std::string::npos);
}

TEST_CASE("a quantile of a histogram is an upper bound within one bucket", "[observability]")
{
    Metrics metrics;
    for (int millisecond = 1; millisecond <= 100; ++millisecond) {
        metrics.observe("wait", Milliseconds(millisecond));
    }
    CHECK(metrics.quantile("wait", 0.5) >= Milliseconds(50));
    CHECK(metrics.quantile("wait", 0.5) <= Milliseconds(50) * 1.6);
    CHECK(metrics.quantile("wait", 1.0) >= Milliseconds(100));
}
