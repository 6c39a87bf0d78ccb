#pragma once

#include "core/Identifier.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** How the preferred owners of shards are chosen. */
enum class OwnershipMode {
    /** Each shard prefers an instance in the failure domain of its workers, else in their region. */
    Sharded,
    /** All shards prefer the same instance. The baseline in comparisons: one instance places all work. */
    Single,
};

/** An instance that may own shards. */
struct OwnerCandidate
{
    InstanceId id;
    FailureDomainId failureDomain;
    RegionId region;
};

/**
    Maps workers to shards and shards to preferred owners.

    Has no state beyond its parameters, so that instances with the same candidates choose the same owners.
*/
class ShardMap
{
public:
    using Domains = std::map<FailureDomainId, RegionId>;

    /** @param shardsPerDomain a value below 1 counts as 1 @param domains the existing failure domains, each with its region */
    ShardMap(int shardsPerDomain, OwnershipMode mode, Domains domains);

    /** Returns the shard of a worker: xxHash64 of its id modulo the number of shards in its failure domain. */
    ShardId shardOf(const FailureDomainId &domain, const WorkerId &worker) const;

    /** Returns all shards of all existing failure domains. */
    std::vector<ShardId> shards() const;

    /** Returns the failure domain of a shard. */
    static FailureDomainId domainOf(const ShardId &shard);

    /**
        Chooses the preferred owner by rendezvous hashing.

        The candidates in the shard's failure domain go first, then those in its region, then all others.

        @return empty if there are no candidates
    */
    InstanceId preferredOwner(const ShardId &shard, const std::vector<OwnerCandidate> &candidates) const;

private:
    int shardsPerDomain_;
    OwnershipMode mode_;
    Domains domains_;
};

} // namespace auburndoor
