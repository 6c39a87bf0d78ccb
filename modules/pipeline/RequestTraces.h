#pragma once

#include "pipeline/Request.h"

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace auburndoor {

/** What an operator is told of one request. */
struct RequestTrace
{
    RequestId request;
    TeamId team;
    ServiceId service;
    std::string kind;
    int attempts = 0;
    Outcome outcome;
};

/** The latest requests of this instance, without their bodies and answers. Split by request, each part under its own lock. Any
 * thread. */
class RequestTraces
{
public:
    void add(RequestTrace trace);

    std::optional<RequestTrace> find(const RequestId &request) const;

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<RequestId, RequestTrace> traces;
        std::deque<RequestId> order;
    };

    static constexpr std::size_t shardCount = 8;
    /** 8 x 250 traces of some 600 bytes take 1.2 MB. */
    static constexpr std::size_t tracesPerShard = 250;

    std::array<Shard, shardCount> shards_;
};

} // namespace auburndoor
