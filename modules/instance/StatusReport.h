#pragma once

#include "core/Clock.h"
#include "membership/Member.h"
#include "ownership/OwnershipAgent.h"
#include "placement/CapacityLedger.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** What an operator is told of one instance. */
struct StatusReport
{
    TimePoint now;
    /** Empty if the instance serves callers. */
    std::string whyNotReady;
    long long configurationVersion = 0;
    Member self;
    std::vector<Member> peers;
    std::map<ShardId, OwnedShard> shards;
    std::vector<LedgerWorker> workers;

    /** The report as a JSON object. */
    static std::string text(const StatusReport &report);
};

} // namespace auburndoor
