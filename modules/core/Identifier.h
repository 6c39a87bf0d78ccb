#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace auburndoor {

/** A string that names one kind of thing; the tag keeps kinds from being mixed up. */
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

/** Names a shard: a failure domain and a number in it, written "domain/number". */
using ShardId = Identifier<struct ShardTag>;

/** The version of a shard's ownership; sent with each order to a worker as fencing token. */
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
