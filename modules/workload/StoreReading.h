#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace auburndoor {

/** A reply of the store that tells its newest version and its clock. */
struct StoreReading
{
    std::int64_t version = 0;
    /** The store's steady clock. */
    Milliseconds time { 0 };
    /** When the request was sent, on the boot clock of this process. */
    TimePoint requestedAt;
    /** When the reply had arrived, on the same clock. */
    TimePoint receivedAt;
};

} // namespace auburndoor
