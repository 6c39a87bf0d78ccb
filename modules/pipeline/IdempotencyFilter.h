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

    If another attempt has claimed the record, the request gets the stored outcome, or that of the task which the record names.
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
    /** The outcome that the record of another attempt holds. */
    Outcome answerFromRecord(RequestContext &context, const ClaimResult &existingClaim);
    /** Finds out how the task ended that another attempt claimed, and stores this in the record. */
    Outcome resolveClaim(RequestContext &context, const ClaimResult &existingClaim);
    void releaseReservation(RequestContext &context);

    TimePoint latestStart(const RequestContext &context) const;
    std::optional<Outcome> refuseLateStart(RequestContext &context, const RequestRecord &record, TimePoint latestStartTime);

    Clock &clock_;
    RequestRecordStore &records_;
    TaskResolver &resolver_;
    CapacityLedger &ledger_;
    const RunTimeEstimator &estimator_;
};

} // namespace auburndoor
