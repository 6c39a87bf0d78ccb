#pragma once

#include "core/Identifier.h"

#include <optional>
#include <string>

namespace auburndoor {

/** The value of the table row "instance/<id>", which is the lease of an instance. */
struct InstanceRow
{
    InstanceId id;
    /** Rises with each start of a process with this id. */
    long long incarnation = 0;
    /** "ip:port" on which the instance accepts connections from peers. */
    std::string peerAddress;
    FailureDomainId failureDomain;
    RegionId region;
    /** Incremented by each renewal of the lease, so that each renewal changes the row. */
    long long renewal = 0;
    /** True once the instance has begun a graceful shutdown. */
    bool isLeaving = false;

    bool operator==(const InstanceRow &other) const = default;

    static std::string key(const InstanceId &id);
    std::string toText() const;
    /** @return empty if the text is malformed */
    static std::optional<InstanceRow> fromText(const InstanceId &id, const std::string &text);
};

/** The value of the table row "shard/<shard>", which names the owner of a shard. */
struct ShardRow
{
    /** Empty if the last owner released the shard without a successor. */
    InstanceId owner;
    /** The incarnation of the owner's process; a later process with the same id is not the owner. */
    long long incarnation = 0;
    /** Rises by one with each acquisition, handover and release of the shard. */
    Epoch epoch = 0;

    bool operator==(const ShardRow &other) const = default;

    static std::string key(const ShardId &id);
    std::string toText() const;
    /** @return empty if the text is malformed */
    static std::optional<ShardRow> fromText(const std::string &text);
};

/** The prefixes of the keys of all instance rows and all shard rows. */
inline constexpr const char *instanceRowPrefix = "instance/";
inline constexpr const char *shardRowPrefix = "shard/";

} // namespace auburndoor
