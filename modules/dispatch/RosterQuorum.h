#pragma once

#include "core/Clock.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

/**
    Tells whether an owner reaches so many workers of the stored roster that no other owner can reach its share of them as well.

    An owner that goes on needs half of the roster, one that takes over more than half, so that they have a worker in common. That
    holds only if none counts fewer rows than the store may hold: a row counts from the time at which it is put until its removal is
    stored. It also holds only for one and the same roster, so an owner leaves the roster as it is until it has read more than half
    of it, or for the time of a lease. All members are called from the loop's thread.
*/
class RosterQuorum
{
public:
    /** This owner has found the worker in the roster. */
    void addInherited(const std::string &worker);

    /** True if the stored roster may hold the worker. */
    bool contains(const std::string &worker) const;

    /** The worker's row is about to be written. */
    void add(const std::string &worker);

    /** The removal of the worker's row is stored. */
    void remove(const std::string &worker);

    /** The worker has accepted a command of this owner, or has ended. */
    void noteReached(const std::string &worker);

    /** The number of workers that addInherited() has added. */
    std::size_t inheritedCount() const;

    /** The number of those that have not been reached. */
    std::size_t unreachedInheritedCount() const;

    /** True if more than half of the inherited workers have been reached, or if none were inherited. */
    bool hasReachedInheritedMajority() const;

    /**
        The latest time since which at least half of the roster's workers have accepted commands; empty if half of them have not.

        @param acceptedAt for each worker whose row is known to be stored, when the last command that it accepted was sent
    */
    std::optional<TimePoint> quorumTime(std::vector<TimePoint> acceptedAt) const;

private:
    std::set<std::string> workers_;
    std::size_t inheritedCount_ = 0;
    std::set<std::string> unreachedInherited_;
};

} // namespace auburndoor
