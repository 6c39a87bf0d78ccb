#pragma once

#include "jobs/OwnerGateway.h"

namespace auburndoor {

/**
    One attempt to hold a place for every task of a gang: all or none.

    Instances are asked in ascending order of their ids, and a request never waits, so that gangs cannot deadlock: an attempt that
    finds too little gives everything back at once. Attempts of different gangs may each leave too little for the other; the
    randomised pause between attempts keeps that from repeating for long.
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

    /** Asks the next instance; gives all places back when the last one has been asked and some are missing. */
    State step();

    /** Gives all places back. */
    void abandon();

    /** The places held so far. */
    const std::vector<HeldPlace> &places() const;

private:
    OwnerGateway &gateway_;
    HoldRequest request_;
    std::vector<InstanceId> instances_;
    std::size_t next_ = 0;
    std::vector<HeldPlace> places_;
};

/** Finds places for whole gangs. One thread. */
class GangCoordinator
{
public:
    /** @param gateway and clock must outlive the coordinator */
    GangCoordinator(OwnerGateway &gateway, Clock &clock);

    /** One place for each task, or empty with NoCapacity; then nothing stays held. */
    std::optional<std::vector<HeldPlace>> acquire(const HoldRequest &request, Failure &failure);

    /** A random pause after a failed attempt. @param attempt counts from 0 */
    static Milliseconds pause(Priority priority, int attempt);

private:
    OwnerGateway &gateway_;
    Clock &clock_;
};

} // namespace auburndoor
