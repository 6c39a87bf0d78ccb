#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/Resources.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

/** The state of a worker in the platform's list. */
enum class ListedState {
    Live,
    Leaving,
    Gone,
};

/** A worker in the platform's list. */
struct ListedWorker
{
    WorkerId id;
    /** "ip:port" of the worker protocol. */
    std::string address;
    /** The service to whose pool the worker belongs. */
    ServiceId service;
    FailureDomainId failureDomain;
    RegionId region;
    Resources capacity;
    ListedState state = ListedState::Live;
};

/** The changes of the platform's list since a cursor. */
struct WorkerListing
{
    std::vector<ListedWorker> changed;
    /** The cursor for the next call. */
    long long cursor = 0;
};

/** The platform's list of live and leaving workers, which lags behind their state. Thread-safe. */
class InstanceDirectory
{
public:
    virtual ~InstanceDirectory() = default;

    /** The workers that changed after the cursor, or all workers for cursor 0. @return empty on failure */
    virtual std::optional<WorkerListing> changesSince(long long cursor, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
