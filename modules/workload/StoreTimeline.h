#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace auburndoor {

/**
    Which version the store had at which times of its clock, from the replies to this process's reads of the last seconds.

    By this the version of a row tells when the row was written at the earliest. Used on the loop's thread.
*/
class StoreTimeline
{
public:
    /** The store's newest version was this one at this time of its clock. */
    void note(std::int64_t version, Milliseconds time);

    /** The latest time at which the store is known not to have had a version yet; empty if no such time is known. */
    std::optional<Milliseconds> timeBefore(std::int64_t version) const;

private:
    struct Reading
    {
        std::int64_t version = 0;
        Milliseconds time { 0 };
    };

    /** In the order of their times. */
    std::deque<Reading> readings_;
};

} // namespace auburndoor
