#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace auburndoor {

/** What an owner that has stopped as planned tells its successor of a worker that did not answer it. */
struct HandedOverLease
{
    /** The fencing token of the owner that tells it. It holds for the owner with the next token only, as any owner may grant
     * leases. */
    std::int64_t fencingToken = 0;
    /** All leases of that owner and of earlier ones have ended by this time of the store's clock. */
    Milliseconds endsBy { 0 };
};

} // namespace auburndoor
