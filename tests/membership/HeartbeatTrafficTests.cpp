#include "membership/HeartbeatTraffic.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace auburndoor;
using namespace std::chrono_literals;

TEST_CASE("the heartbeats of eight instances stay within their part of the network budget", "[membership]")
{
    // Guards against messages that grow: the design gives heartbeats 14 of 25 KB/s at peak and 4.2 KB/s at rest.
    const auto print = [](const char *name, const HeartbeatTraffic &traffic) {
        std::cout << "heartbeats of 8 instances, " << name << ": " << traffic.exchangesPerSecond << " exchanges a second of "
                  << traffic.bytesPerExchange << " bytes, " << traffic.bytesPerSecond << " bytes a second for each instance\n";
    };
    const auto peak = measureHeartbeatTraffic(8, 10ms, 3s);
    print("summaries change all the time", peak);
    const auto rest = measureHeartbeatTraffic(8, 0ms, 3s);
    print("at rest", rest);
    // Request and answer contain at least the secret and a number; fewer bytes would mean that some are not counted.
    CHECK(rest.bytesPerExchange > 80);
    CHECK(peak.bytesPerSecond < 14'000);
    CHECK(rest.bytesPerSecond < 4'200);
    // 28 pairs exchange heartbeats at least every 500 ms; on a machine too slow for that, the figures above would mean nothing.
    CHECK(rest.exchangesPerSecond > 28 * 1.5);
}
