#pragma once

#include "core/Clock.h"

#include <optional>

namespace auburndoor {

/** Converts between the steady clocks of this process and of the store, either of which may run 2% slow. */
class StoreClock
{
public:
    /** The store's clock showed this time between two moments of this process's steady clock. */
    void noteReading(Milliseconds time, TimePoint requestedAt, TimePoint receivedAt);

    /** The latest time that the store's clock can show at a moment after the reading; empty without a reading. */
    std::optional<Milliseconds> latestTimeAt(TimePoint moment) const;

    /** The latest moment at which the store's clock reaches a time; empty without a reading. */
    std::optional<TimePoint> reachedBy(Milliseconds time) const;

private:
    struct Reading
    {
        Milliseconds time { 0 };
        TimePoint requestedAt;
        TimePoint receivedAt;
    };

    std::optional<Reading> reading_;
};

} // namespace auburndoor
