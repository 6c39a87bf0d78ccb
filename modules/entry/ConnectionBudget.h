#pragma once

#include "core/Clock.h"
#include "entry/ConnectionLimits.h"
#include "net/ConnectionMemory.h"

#include <array>
#include <memory>

namespace auburndoor {

class Metrics;
class Timers;

/**
    The memory of all connections of an entry process: gives free memory back to the operating system after a peak, and reports
    what was refused. Used on the loop's thread only.
*/
class ConnectionBudget
{
public:
    ConnectionBudget(Timers &timers, const EntrySettings &settings);
    ~ConnectionBudget();

    const ConnectionLimits &limits() const;
    const std::shared_ptr<ConnectionMemory> &memory() const;

    /** Writes a line for each cause of refusals since the last one, at most one in 10 s for each; to be called periodically. */
    void report();
    void updateMetrics(Metrics &metrics) const;

private:
    struct Cause
    {
        const char *name;
        long long ConnectionMemory::Refusals::*count;
    };
    struct Reported
    {
        long long count = 0;
        TimePoint at {};
    };

    static const std::array<Cause, 6> causes;

    Timers &timers_;
    ConnectionLimits limits_;
    std::shared_ptr<ConnectionMemory> memory_;
    ConnectionMemory::Refusals seen_;
    std::array<Reported, 6> reported_ {};
};

} // namespace auburndoor
