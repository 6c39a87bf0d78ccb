#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/Resources.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

enum class ListedState {
    Live,
    Leaving,
    Gone,
};

/** One worker of the platform's list. */
struct ListedWorker
{
    WorkerId id;
    /** "ip:port" of the worker protocol. */
    std::string address;
    /** The service whose pool it belongs to. */
    ServiceId service;
    FailureDomainId failureDomain;
    RegionId region;
    Resources capacity;
    ListedState state = ListedState::Live;
};

/** The changes of the list since a cursor. */
struct WorkerListing
{
    std::vector<ListedWorker> changed;
    /** Give it to the next call. */
    long long cursor = 0;
};

/** The platform's lagging list of live and leaving workers. Any thread. */
class InstanceDirectory
{
public:
    virtual ~InstanceDirectory() = default;

    /** Workers changed after the cursor; all of them for cursor 0. @return empty on failure */
    virtual std::optional<WorkerListing> changesSince(long long cursor, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
