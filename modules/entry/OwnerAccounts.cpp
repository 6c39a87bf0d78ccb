#include "dispatch/AccountLimits.h"
#include "entry/OwnerImpl.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

namespace auburndoor {

namespace {

// Only a new version of the desired state can raise the limit, and clients retry a few times only.
constexpr Milliseconds retryAfterLimit { 5000 };
// A successor with another limit may have accepted the job, so that a refusal by an owner that has been replaced would be untrue.
constexpr Milliseconds maxAgeOfRefusal { 500 };

// Each account takes memory of every process that serves metrics.
constexpr std::size_t maxAccountsInMetrics = 50;

/** The label of an account: its name without the characters that labels are made of. */
std::string labelOf(const std::string &account)
{
    std::string label = "account=";
    for (const char character : account) {
        const auto code = static_cast<unsigned char>(character);
        const bool isPlain = code > ' ' && code != 0x7f && character != ',' && character != '"' && character != '\\';
        label += isPlain ? character : '_';
    }
    return label;
}

} // namespace

void Owner::Impl::updateAccountMetrics(Metrics &metrics) const
{
    const auto &quotas = placer.accountQuotas();
    metrics.setGauge("submissions_above_limit", static_cast<double>(submissionsAboveLimit));
    std::size_t shown = 0;
    for (const auto &[account, limit] : quotas.limits()) {
        if (++shown > maxAccountsInMetrics) {
            return;
        }
        const auto label = labelOf(account);
        const auto use = quotas.use(account);
        metrics.setGauge("account_used_millicores", static_cast<double>(use.milliCores), label);
        metrics.setGauge("account_used_memory_mib", static_cast<double>(use.memoryMiB), label);
        metrics.setGauge("account_used_accelerators", static_cast<double>(use.accelerators), label);
        metrics.setGauge("account_limit_millicores", static_cast<double>(limit.milliCores), label);
        metrics.setGauge("account_limit_memory_mib", static_cast<double>(limit.memoryMiB), label);
        metrics.setGauge("account_limit_accelerators", static_cast<double>(limit.accelerators), label);
        metrics.setGauge("account_tasks_at_limit", placer.accountLimitReport().waitingTasks(account), label);
    }
}

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
