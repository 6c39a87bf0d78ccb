#pragma once

#include "declaration/Declaration.h"

#include <map>
#include <set>

namespace auburndoor {

class JobService;

/** Reconciles the recorded jobs with the declaration: records newly declared jobs and cancels jobs that a later declaration no
 * longer contains. Used from one thread. */
class DeclaredJobReconciler
{
public:
    explicit DeclaredJobReconciler(JobService &jobs);

    /** Records and cancels jobs to match the declared jobs. @return false if a write failed and the call must be repeated */
    bool reconcile(const std::map<JobId, JobDeclaration> &declared);

private:
    bool recordNew(const std::map<JobId, JobDeclaration> &declared);
    bool cancelRemoved();

    JobService &jobs_;
    /** The declared jobs that this instance knows to be recorded. */
    std::set<JobId> recorded_;
    /** Jobs of earlier declarations that are no longer declared and not cancelled yet. */
    std::set<JobId> removed_;
};

} // namespace auburndoor
