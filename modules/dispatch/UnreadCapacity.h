#pragma once

#include "core/Resources.h"

namespace auburndoor {

/** What the workers can hold together that may have runs which this owner does not know. */
struct UnreadCapacity
{
    bool hasWorkers = false;
    /** False if the capacity of some of them is not known, as that of a worker which the directory has not listed so far. */
    bool isKnown = true;
    /** Of those whose capacity is known. */
    Resources total;
};

} // namespace auburndoor
