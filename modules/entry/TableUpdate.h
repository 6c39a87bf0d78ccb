#pragma once

#include "dispatch/CallTime.h"
#include "workload/StateStore.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace auburndoor {

/** What a TableWatch has read. */
struct TableUpdate
{
    std::vector<StoreRow> rows;
    /** True if the rows are all rows of the table, false if they are changes. */
    bool isWholeTable = false;
    /** The rows were read at this time of the store's clock, or before; empty if the store did not tell. */
    std::optional<Milliseconds> readBy;
    /** The version of the store that they show. */
    std::int64_t version = 0;
    /** When they were requested. */
    CallTime requestedAt;
    /** The bytes of the replies, and the time from the first to the last of them. */
    std::size_t receivedBytes = 0;
    Milliseconds receiveDuration { 0 };
};

} // namespace auburndoor
