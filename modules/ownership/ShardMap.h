#pragma once

#include "core/Identifier.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** Who is preferred as owner of shards. */
enum class OwnershipMode {
    /** Each shard prefers an instance near its workers. */
    Sharded,
    /** All shards prefer the same instance; the baseline with a single placer. */
    Single,
};

/** An instance as a candidate for the ownership of shards. */
struct OwnerCandidate
{
    InstanceId id;
    FailureDomainId failureDomain;
    RegionId region;
};

/**
    Maps workers to shards and shards to preferred owners.

    Pure and without state beyond its parameters: every instance with the same candidates comes to the same answers.
*/
class ShardMap
{
public:
    using Domains = std::map<FailureDomainId, RegionId>;

    /** @param shardsPerDomain at least 1 @param domains the failure domains that exist, with their regions */
    ShardMap(int shardsPerDomain, OwnershipMode mode, Domains domains);

    /** The shard of a worker: xxHash64 of its id, modulo the shards of its failure domain. */
    ShardId shardOf(const FailureDomainId &domain, const WorkerId &worker) const;

    /** All shards of all failure domains. */
    std::vector<ShardId> shards() const;

    /** The failure domain of a shard. */
    static FailureDomainId domainOf(const ShardId &shard);

    /**
        The preferred owner by rendezvous hashing among the candidates of the shard's failure domain, else of its region, else all.

        @return empty if there is no candidate
    */
    InstanceId preferredOwner(const ShardId &shard, const std::vector<OwnerCandidate> &candidates) const;

private:
    int shardsPerDomain_;
    OwnershipMode mode_;
    Domains domains_;
};

} // namespace auburndoor
