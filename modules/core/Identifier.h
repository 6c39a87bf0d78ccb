#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace auburndoor {

/** A string identifier; the tag makes identifiers of different kinds distinct types that cannot be mixed up. */
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;

    explicit Identifier(std::string text) : text_(std::move(text))
    {
    }

    const std::string &text() const
    {
        return text_;
    }

    bool isEmpty() const
    {
        return text_.empty();
    }

    auto operator<=>(const Identifier &other) const = default;

private:
    std::string text_;
};

using WorkerId = Identifier<struct WorkerTag>;
using InstanceId = Identifier<struct InstanceTag>;
using TaskId = Identifier<struct TaskTag>;
using RequestId = Identifier<struct RequestTag>;
using JobId = Identifier<struct JobTag>;
using TeamId = Identifier<struct TeamTag>;
using ServiceId = Identifier<struct ServiceTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;
using RegionId = Identifier<struct RegionTag>;

/** Identifies a shard by its failure domain and its number in that domain, written "domain/number". */
using ShardId = Identifier<struct ShardTag>;

/** The version of a shard's ownership; sent as fencing token with each order to a worker. */
using Epoch = long long;

} // namespace auburndoor

template<typename Tag>
struct std::hash<auburndoor::Identifier<Tag>>
{
    std::size_t operator()(const auburndoor::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.text());
    }
};
