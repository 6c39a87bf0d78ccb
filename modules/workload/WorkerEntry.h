#pragma once

#include "core/Clock.h"
#include "core/Resources.h"
#include "net/Address.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** What a worker says of itself in the directory. */
struct WorkerEntry
{
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
    /** While it drains: the least time that is left to it. */
    std::optional<Milliseconds> remaining;
    /** The start of this life of the worker, since 1970; a restart under the same id has another. */
    std::int64_t incarnation = 0;

    bool hasLabel(const std::string &label) const;

    /** The rack: the label that all its kind but the first share; empty if there is none. */
    std::string rack() const;
};

} // namespace auburndoor
