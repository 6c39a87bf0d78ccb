#pragma once

#include <chrono>

namespace auburndoor {

/** The traffic of heartbeats, measured with Thrift messages between instances on the loopback interface. */
struct HeartbeatTraffic
{
    /** Of all pairs of instances together, each a heartbeat and its answer. */
    double exchangesPerSecond = 0;
    /** Mean size of a request and its answer together, with the lengths of their frames, without TCP/IP headers. */
    double bytesPerExchange = 0;
    /** Sent and received by one instance, with 40 bytes of TCP/IP headers for request, answer and one empty acknowledgement. */
    double bytesPerSecond = 0;
};

/**
    Measures the heartbeats between some instances in real time.

    @param instanceCount how many instances exchange heartbeats with each other
    @param changePeriod  time between two changes of the summary of each instance; zero if it never changes
    @param duration      length of the measurement, which begins after one second
*/
HeartbeatTraffic measureHeartbeatTraffic(int instanceCount,
                                         std::chrono::milliseconds changePeriod,
                                         std::chrono::milliseconds duration);

} // namespace auburndoor
