#pragma once

#include "core/Identifier.h"

#include <optional>
#include <string>

namespace auburndoor {

/** The value of the row "instance/<id>": the lease of an instance. */
struct InstanceRow
{
    InstanceId id;
    /** Rises with each start of the process. */
    long long incarnation = 0;
    /** "ip:port" of the peers' listener. */
    std::string peerAddress;
    FailureDomainId failureDomain;
    RegionId region;
    /** Rises with each renewal, so that each renewal changes the row. */
    long long renewal = 0;
    /** True once the instance has begun a graceful shutdown. */
    bool isLeaving = false;

    bool operator==(const InstanceRow &other) const = default;

    static std::string key(const InstanceId &id);
    std::string toText() const;
    /** @return empty if the text is malformed */
    static std::optional<InstanceRow> fromText(const InstanceId &id, const std::string &text);
};

/** The value of the row "shard/<shard>": who owns a shard. */
struct ShardRow
{
    /** Empty if the shard has been released without a successor. */
    InstanceId owner;
    /** The owner's incarnation; a later process with the same id is not the owner. */
    long long incarnation = 0;
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
