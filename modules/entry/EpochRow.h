#pragma once

#include "workload/StateStore.h"

#include <cstdint>
#include <string>

namespace auburndoor {

/** The row that names the owner. */
struct EpochRow
{
    /** The owner's fencing token; each takeover increments it. */
    std::int64_t token = 0;
    /** The owner's node name; empty after a planned stop. */
    std::string owner;
    /** The owner's peer address; after a planned stop that of the process that is to take over, empty for any. */
    std::string address;

    std::string toText() const;
    /** Reads the stored row. If it cannot be read, the cell has no owner, and the next token is above all earlier ones. */
    static EpochRow read(const StoreRow &stored);
};

} // namespace auburndoor
