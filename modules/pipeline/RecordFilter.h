#pragma once

#include "pipeline/Filter.h"

namespace auburndoor {

class CapacityLedger;
class RequestRecords;
class TaskResolver;
struct RequestRecord;
struct ClaimResult;

/**
    Claims the record of a non-repeatable request before its task is started.

    A request whose record is taken gets the recorded outcome, or the outcome of the task that the record names.
*/
class RecordFilter : public Filter
{
public:
    RecordFilter(RequestRecords &records, TaskResolver &resolver, CapacityLedger &ledger);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    Outcome answerFromRecord(RequestContext &context, const ClaimResult &taken);
    Outcome resolveClaim(RequestContext &context, const ClaimResult &taken);
    void releaseRoom(RequestContext &context);

    RequestRecords &records_;
    TaskResolver &resolver_;
    CapacityLedger &ledger_;
};

} // namespace auburndoor
