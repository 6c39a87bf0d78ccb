#pragma once

#include <chrono>

namespace auburndoor {

/** Traffic of heartbeats, measured with Thrift messages between instances on loopback. */
struct HeartbeatTraffic
{
    /** Of all pairs of instances together. */
    double exchangesPerSecond = 0;
    /** Mean of request and answer with the length of the frame, without TCP/IP headers. */
    double bytesPerExchange = 0;
    /** Sent and received by one instance, with 40 bytes of TCP/IP header for the request, the answer and one bare acknowledgement.
     */
    double bytesPerSecond = 0;
};

/**
    Runs the heartbeats of some instances for a while in real time.

    @param instanceCount how many instances exchange heartbeats with each other
    @param changePeriod  how often the summary of each instance changes; zero for never
    @param duration      length of the measurement, after a start phase of one second
*/
HeartbeatTraffic measureHeartbeatTraffic(int instanceCount,
                                         std::chrono::milliseconds changePeriod,
                                         std::chrono::milliseconds duration);

} // namespace auburndoor
