#pragma once

#include "jobs/OwnerGateway.h"

namespace auburndoor {

/**
    One attempt to hold a place for each task of a gang, all or none.

    Instances are asked in ascending order of their ids, and a request never waits. An attempt that finds too few places releases
    all of them at once, so that gangs cannot deadlock. Attempts of two gangs may make each other fail; the random delay between
    attempts keeps this from repeating for long. Not thread-safe.
*/
class GangAttempt
{
public:
    enum class State {
        Asking,
        Complete,
        Failed,
    };

    GangAttempt(OwnerGateway &gateway, const HoldRequest &request);

    /** Asks the next instance for the missing places; releases all places if some are missing after the last instance. */
    State askNextInstance();

    /** Releases all places held so far. */
    void releasePlaces();

    /** The places held so far. */
    const std::vector<HeldPlace> &places() const;

private:
    OwnerGateway &gateway_;
    HoldRequest request_;
    std::vector<InstanceId> instances_;
    std::size_t nextInstance_ = 0;
    std::vector<HeldPlace> places_;
};

/** Holds places for whole gangs and chooses the delay between attempts. Not thread-safe. */
class GangCoordinator
{
public:
    /** @param gateway and clock must outlive the coordinator */
    GangCoordinator(OwnerGateway &gateway, Clock &clock);

    /**
        Holds one place for each task.

        @return empty on failure, with NoCapacity; then no place stays held
    */
    std::optional<std::vector<HeldPlace>> acquire(const HoldRequest &request, Failure &failure);

    /** Chooses a random delay after a failed attempt. @param attempt the number of failed attempts before it, from 0 */
    static Milliseconds chooseRetryDelay(Priority priority, int attempt);

private:
    OwnerGateway &gateway_;
    Clock &clock_;
};

} // namespace auburndoor
