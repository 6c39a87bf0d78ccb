#pragma once

#include "dispatch/CallTime.h"

#include <optional>

namespace auburndoor {

/** Converts between the clocks of this process and the steady clock of the store, either of which may run 2% slow. */
class StoreClock
{
public:
    /** The store's clock showed this time between the request and a moment of the steady clock. */
    void noteReading(Milliseconds time, CallTime requestedAt, TimePoint receivedAt);

    /** The latest time that the store's clock can show after this duration; empty without a reading. @param bootNow the boot clock
     */
    std::optional<Milliseconds> latestTimeAfter(Milliseconds duration, TimePoint bootNow) const;

    /** The latest moment of the steady clock at which the store's clock reaches a time; empty without a reading. */
    std::optional<TimePoint> reachedBy(Milliseconds time) const;

private:
    struct Reading
    {
        Milliseconds time { 0 };
        /** On the boot clock: the store's clock goes on while this process is suspended. */
        TimePoint requestedAt;
        TimePoint receivedAt;
    };

    std::optional<Reading> reading_;
};

} // namespace auburndoor
