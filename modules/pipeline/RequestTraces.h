#pragma once

#include "pipeline/Request.h"

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace auburndoor {

/** How one request ended, for operators. */
struct RequestTrace
{
    RequestId request;
    TeamId team;
    ServiceId service;
    std::string kind;
    int attempts = 0;
    Outcome outcome;
};

/**
    The latest requests that ended at this instance, without their bodies and answers.

    Partitioned by request id; each partition has its own lock. Any thread.
*/
class RequestTraces
{
public:
    /** Stores a trace without its answer; the oldest of a full partition is removed. */
    void add(RequestTrace trace);

    std::optional<RequestTrace> find(const RequestId &request) const;

private:
    struct Partition
    {
        mutable std::mutex mutex;
        std::map<RequestId, RequestTrace> traces;
        std::deque<RequestId> insertionOrder;
    };

    static constexpr std::size_t partitionCount = 8;
    /** 8 partitions of 250 traces, of about 600 bytes each, take 1.2 MB. */
    static constexpr std::size_t tracesPerPartition = 250;

    std::array<Partition, partitionCount> partitions_;
};

} // namespace auburndoor
