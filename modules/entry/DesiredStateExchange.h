#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace auburndoor {

class DesiredStateHolder;
class EventLoop;
class HttpChannels;
class Leadership;
class Metrics;

/**
    Fetches the desired state from another process that has a newer one than this process.

    The store remains the source of every process; the first of both ways that delivers a version ends the other one. All members
    are called from the loop's thread, and it has to exist while the loop runs.
*/
class DesiredStateExchange
{
public:
    DesiredStateExchange(EventLoop &loop, DesiredStateHolder &desiredState, const Leadership &leadership);
    ~DesiredStateExchange();

    /** Begins to look for newer versions periodically. */
    void start();

    /** Asks for a copy if another process has told of a newer version; does nothing while a copy is under way. */
    void fetchNewer();

    /** The process that has told of a newer version than the one in force here; empty if none has. */
    std::optional<Address> holderOfNewerState() const;

    /** Sets the gauges that tell how far this process is behind. */
    void updateMetrics(Metrics &metrics) const;

private:
    void check();
    /** Logs once a second that this process is behind. */
    void reportBehind();
    /** For how long newer versions have been known that this process does not have; zero if none is. */
    Milliseconds behindDuration() const;

    EventLoop &loop_;
    DesiredStateHolder &desiredState_;
    const Leadership &leadership_;
    std::unique_ptr<HttpChannels> channel_;
    bool isCopyUnderWay_ = false;
    std::optional<TimePoint> behindSince_;
    TimePoint nextReportAt_;
};

} // namespace auburndoor
