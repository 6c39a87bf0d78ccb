#pragma once

#include "declaration/Declaration.h"

#include <map>
#include <set>

namespace auburndoor {

class JobService;

/** Brings the recorded jobs in line with the declared ones: records new ones and cancels those that a later file leaves out. One
 * thread. */
class DeclaredJobs
{
public:
    explicit DeclaredJobs(JobService &jobs);

    /** @return false if a write failed: call again */
    bool bringInLine(const std::map<JobId, JobDeclaration> &declared);

private:
    bool recordNew(const std::map<JobId, JobDeclaration> &declared);
    bool cancelRemoved();

    JobService &jobs_;
    /** Jobs that this instance knows to be recorded. */
    std::set<JobId> recorded_;
    /** Jobs of earlier versions that are still to be cancelled. */
    std::set<JobId> removed_;
};

} // namespace auburndoor
