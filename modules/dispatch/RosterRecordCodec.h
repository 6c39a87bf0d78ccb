#pragma once

#include "workload/WorkerEntry.h"

#include <optional>
#include <string>

namespace auburndoor {

/** Converts workers of the roster to and from the texts in the store, which are JSON objects with keys of auburndoor's own. */
class RosterRecordCodec
{
public:
    /**
        Returns what the next owner needs to know of a worker: how to reach it, its services and incarnation, whether it is draining
        or has left, and until when leases may hold on it.
    */
    static std::string write(const WorkerEntry &entry);

    /** Empty if the text cannot be read. Times that cannot be read are left out, so that nothing is concluded from them. */
    static std::optional<WorkerEntry> read(const std::string &id, const std::string &text);
};

} // namespace auburndoor
