#include "dispatch/AccountLimits.h"
#include "entry/OwnerImpl.h"
#include "observability/EventLog.h"

namespace auburndoor {

namespace {

// Only a new version of the desired state can raise the limit, and clients retry a few times only.
constexpr Milliseconds retryAfterLimit { 5000 };
// A successor with another limit may have accepted the job, so that a refusal by an owner that has been replaced would be untrue.
constexpr Milliseconds maxAgeOfRefusal { 500 };

} // namespace

bool Owner::Impl::refuseAboveLimit(const ClientCall &call, const JobSpec &spec, const Callback &callback)
{
    const auto *account = desiredState.account(call.account);
    const auto oversized = account == nullptr ? std::string() : AccountLimits::describeOversized(spec, account->limit);
    if (oversized.empty()) {
        return false;
    }
    ++submissionsAboveLimit;
    EventLog::writeRateLimited("submission.above_limit",
                               { { "job", call.job }, { "account", call.account }, { "detail", oversized } });
    answerAsOwner({ .outcome = ClientResult::Outcome::Refused, .retryAfter = retryAfterLimit, .detail = oversized },
                  maxAgeOfRefusal,
                  callback);
    return true;
}

} // namespace auburndoor
