#pragma once

#include "core/Identifier.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

#include <span>

namespace auburndoor {

struct Failure;

/** The total capacity of one worker, including what its running tasks use. */
struct WorkerCapacity
{
    WorkerId worker;
    ServiceId service;
    Resources capacity;
};

/**
    Checks whether a submitted job could run if all workers were idle.

    @return false with the failure filled: OutOfRange for an invalid task count, need or number of attempts, UnknownName if the
    service has no workers, and NeverFits with a message that names the nearest fit
*/
bool canEverFit(const JobDeclaration &job, std::span<const WorkerCapacity> workers, Failure &failure);

} // namespace auburndoor
