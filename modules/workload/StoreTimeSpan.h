#pragma once

#include "core/Clock.h"

namespace auburndoor {

/** When the store replied to a read, on its own steady clock, which all its clients share. */
struct StoreTimeSpan
{
    /** The reply to the first request of the read. */
    Milliseconds earliest { 0 };
    /** The reply to the last one. */
    Milliseconds latest { 0 };
};

} // namespace auburndoor
