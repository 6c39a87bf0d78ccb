#pragma once

#include "core/Clock.h"
#include "pipeline/Filter.h"

namespace auburndoor {

class CapacityLedger;
class RequestRecordStore;
class RunTimeEstimator;
class TaskResolver;
struct RequestRecord;
struct ClaimResult;

/**
    Claims the record of a non-repeatable request before its task is started.

    A request whose record is taken gets the recorded outcome, or the outcome of the task that the record names.
*/
class IdempotencyFilter : public Filter
{
public:
    IdempotencyFilter(Clock &clock,
                      RequestRecordStore &records,
                      TaskResolver &resolver,
                      CapacityLedger &ledger,
                      const RunTimeEstimator &estimator);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    Outcome answerFromRecord(RequestContext &context, const ClaimResult &taken);
    Outcome resolveClaim(RequestContext &context, const ClaimResult &taken);
    void releaseRoom(RequestContext &context);

    TimePoint latestStart(const RequestContext &context) const;
    std::optional<Outcome> refuseLateStart(RequestContext &context, const RequestRecord &record, TimePoint startBy);

    Clock &clock_;
    RequestRecordStore &records_;
    TaskResolver &resolver_;
    CapacityLedger &ledger_;
    const RunTimeEstimator &estimator_;
};

} // namespace auburndoor
