#pragma once

#include "core/Identifier.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

#include <span>

namespace auburndoor {

struct Failure;

/** The whole capacity of one worker, whatever runs on it now. */
struct WorkerCapacity
{
    WorkerId worker;
    ServiceId service;
    Resources capacity;
};

/**
    Tells whether a job could run if all workers were empty; a pure check for submissions.

    @return false with the failure filled: OutOfRange for senseless amounts, UnknownName if the service has no workers, and
   NeverFits with the nearest fit named
*/
bool canEverFit(const JobDeclaration &job, std::span<const WorkerCapacity> workers, Failure &failure);

} // namespace auburndoor
