#pragma once

#include "core/Clock.h"
#include "core/Resources.h"
#include "net/Address.h"
#include "workload/HandedOverLease.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

/** A worker's registration in the directory. */
struct WorkerEntry
{
    std::string id;
    std::string service;
    /** The services under which this incarnation was registered before; the directory does not tell, a Fleet does. */
    std::set<std::string> earlierServices;
    Address address;
    std::string failureDomain;
    std::vector<std::string> labels;
    Resources capacity;
    /** The worker is about to stop and gets no new tasks. */
    bool isDraining = false;
    /** For a draining worker: the minimum time until it stops. */
    std::optional<Milliseconds> remaining;
    /** When this incarnation of the worker started, since 1970; a restart under the same id gets a later one. */
    std::int64_t incarnation = 0;
    /** Counts the reports of this incarnation to the directory; empty if the entry does not tell. */
    std::optional<std::int64_t> reportNumber;
    /** The worker has last reported to the directory after this time of the store's clock; empty if that is not known. */
    std::optional<Milliseconds> reportedAfter;
    /** In the roster: the version of the store at the reading of its clock that the times rest on. */
    std::int64_t timesAsOf = 0;
    /** Its entry was missing at this time of the store's clock; empty while it is there, or if that is not known. */
    std::optional<Milliseconds> missingAt;
    /** In the roster: until when an owner that has stopped may have granted leases; empty unless it told that. */
    std::optional<HandedOverLease> handedOverLease;

    /** The store's clock has begun anew: drops the times that were taken from it. */
    void forgetStoreTimes();

    bool hasLabel(const std::string &label) const;

    /** True if this incarnation is registered under the service, or was before. */
    bool hasServed(const std::string &name) const;

    /** The worker's rack, which is its last label; empty if there are fewer than two labels. */
    std::string rack() const;
};

} // namespace auburndoor
