#pragma once

#include "core/Clock.h"
#include "entry/KeyRefusal.h"

#include <cstdint>
#include <map>

namespace auburndoor {

struct ClientCall;
class Metrics;
class Timers;

/**
    Counts the calls that are refused for their keys, and logs them.

    The counter "client_key_refusals_total" has the cause as its label. For each cause at most one event "call.key_refused" a second
    is logged, with the number of refusals since the last one; a flood of refused calls must not displace other lines. Keys are
    neither counted nor logged. All members are called from the loop's thread.
*/
class KeyRefusalReport
{
public:
    KeyRefusalReport(Timers &timers, Metrics &metrics);

    /** Notes a refused call; does nothing for KeyRefusal::None. @param desiredStateVersion the version that it was refused by */
    void note(KeyRefusal refusal, const ClientCall &call, std::int64_t desiredStateVersion);

private:
    struct Cause
    {
        /** The refusals that no line has told of. */
        std::int64_t unreported = 0;
        /** No line is logged before this time. */
        TimePoint nextLineAt;
    };

    Timers &timers_;
    Metrics &metrics_;
    std::map<KeyRefusal, Cause> causes_;
};

} // namespace auburndoor
