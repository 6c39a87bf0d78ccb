#pragma once

#include "core/Clock.h"
#include "workload/StoreReading.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace auburndoor {

/**
    Which version the store had at which times of its clock, from the replies to this process's reads of the last seconds.

    By this the version of a row tells when the row was written at the earliest. Readings that contradict each other show that the
    store's clock or its versions have begun anew, as after a restart: times from before do not compare with later ones. Used on
    the loop's thread.
*/
class StoreTimeline
{
public:
    void note(const StoreReading &reading);

    /** The latest time at which the store is known not to have had a version yet; empty if no such time is known. */
    std::optional<Milliseconds> timeBefore(std::int64_t version) const;

    /** True if times from a reading of this version compare with those of now, as far as this process has seen. */
    bool isComparable(std::int64_t version) const;

    /** How often the store's clock or versions have begun anew. */
    int restartCount() const;

private:
    /** In the order of their times. */
    std::deque<StoreReading> readings_;
    int restartCount_ = 0;
    /** The store's version at the first reading after the last restart. */
    std::int64_t restartVersion_ = 0;
};

} // namespace auburndoor
