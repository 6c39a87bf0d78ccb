#include "dispatch/JobManager.h"
#include "dispatch/JobRecordCodec.h"

namespace auburndoor {

void JobManager::restoreEndedDescription(const std::string &id, const std::string &description)
{
    JobState job;
    if (JobRecordCodec::readDescription(description, job) && !job.spec.account.empty()) {
        endedInheritedTasks_[id] = InheritedTasks::ofDescription(job);
    }
}

RunClaim JobManager::claimOfUnwanted(const RunningTask &running) const
{
    RunClaim claim;
    const auto step = static_cast<std::size_t>(running.task.step);
    const auto job = jobs_.find(running.task.job);
    if (job != jobs_.end() && step < job->second->spec.steps.size()) {
        claim.account = job->second->spec.account;
        claim.accountNeed = job->second->spec.steps[step].need;
        return claim;
    }
    const auto ended = endedInheritedTasks_.find(running.task.job);
    if (ended != endedInheritedTasks_.end() && step < ended->second.steps.size()) {
        claim.account = ended->second.account;
        claim.accountNeed = ended->second.steps[step].need;
    }
    return claim;
}

} // namespace auburndoor
