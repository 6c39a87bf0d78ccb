#pragma once

#include "core/Clock.h"
#include "membership/Member.h"
#include "ownership/OwnershipAgent.h"
#include "placement/CapacityLedger.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** The status of one instance that operators see. */
struct StatusReport
{
    TimePoint now;
    /** Why the instance does not serve callers; empty if it serves them. */
    std::string notReadyReason;
    long long configurationVersion = 0;
    Member self;
    std::vector<Member> peers;
    std::map<ShardId, OwnedShard> shards;
    std::vector<LedgerWorker> workers;

    /** Returns the report as a JSON object. */
    static std::string text(const StatusReport &report);
};

} // namespace auburndoor
