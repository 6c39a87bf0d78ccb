#include "instance/DeclaredJobReconciler.h"

#include "instance/JobService.h"

namespace auburndoor {

DeclaredJobReconciler::DeclaredJobReconciler(JobService &jobs) : jobs_(jobs)
{
}

bool DeclaredJobReconciler::reconcile(const std::map<JobId, JobDeclaration> &declared)
{
    for (const auto &id : recorded_) {
        if (!declared.contains(id)) {
            removed_.insert(id);
        }
    }
    const auto isRecorded = recordNew(declared);
    return cancelRemoved() && isRecorded;
}

bool DeclaredJobReconciler::recordNew(const std::map<JobId, JobDeclaration> &declared)
{
    bool isDone = true;
    for (const auto &[id, job] : declared) {
        removed_.erase(id);
        if (!recorded_.contains(id) && jobs_.submitDeclared(job)) {
            recorded_.insert(id);
        }
        isDone = isDone && recorded_.contains(id);
    }
    return isDone;
}

bool DeclaredJobReconciler::cancelRemoved()
{
    bool isDone = true;
    for (auto id = removed_.begin(); id != removed_.end();) {
        if (!jobs_.cancelDeclared(*id)) {
            isDone = false;
            ++id;
            continue;
        }
        recorded_.erase(*id);
        id = removed_.erase(id);
    }
    return isDone;
}

} // namespace auburndoor
