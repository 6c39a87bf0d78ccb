#pragma once

#include "core/Clock.h"
#include "declaration/Declaration.h"
#include "instance/DeclaredJobReconciler.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace auburndoor {

class MembershipView;
class Metrics;
class RequestRecordStore;

/**
    Does periodic work for the whole cell: reconciles the recorded jobs with the declared jobs and removes expired request records.

    Every instance runs one thread for it, but only the live instance with the lowest id does the work. Two instances that do it at
    the same time are harmless, because every write is conditional.
*/
class Housekeeping
{
public:
    Housekeeping(Clock &clock, Metrics &metrics, MembershipView &members, JobService &jobs, RequestRecordStore &requestRecords);
    ~Housekeeping();

    void start();
    void stop();

    /** Sets the current configuration and wakes the thread. Any thread; does not wait for the work. */
    void setDeclaration(const std::shared_ptr<const VersionedDeclaration> &declaration);

private:
    void run();
    void runOnce();
    /** True if no live peer has a lower id than this instance. */
    bool isLeader() const;

    Clock &clock_;
    Metrics &metrics_;
    MembershipView &members_;
    RequestRecordStore &requestRecords_;
    DeclaredJobReconciler declaredJobReconciler_;
    TimePoint nextRecordRemoval_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::shared_ptr<const VersionedDeclaration> latestDeclaration_;
    bool isChanged_ = false;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace auburndoor
