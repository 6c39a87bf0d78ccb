#pragma once

#include "core/Clock.h"
#include "declaration/Declaration.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace auburndoor {

class JobService;
class MembershipView;
class Metrics;

/**
    Brings the recorded jobs in line with the declared ones: records new ones and cancels those that a later file leaves out.

    One thread. Among the live instances the one with the lowest id does it; two at once would do no harm, since a job is recorded
   only if it is absent.
*/
class DeclaredJobs
{
public:
    DeclaredJobs(Clock &clock, Metrics &metrics, MembershipView &members, JobService &jobs);
    ~DeclaredJobs();

    void start();
    void stop();

    /** Tells of the configuration in force. Any thread; does not block. */
    void setDeclaration(const std::shared_ptr<const VersionedDeclaration> &declaration);

private:
    void run();
    bool bringInLine();
    bool isLeader() const;

    Clock &clock_;
    Metrics &metrics_;
    MembershipView &members_;
    JobService &jobs_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::shared_ptr<const VersionedDeclaration> wanted_;
    bool isChanged_ = false;
    bool isStopping_ = false;
    /** Jobs that this instance knows to be recorded. Used by the thread only. */
    std::set<JobId> recorded_;
    /** Jobs of earlier versions that are still to be cancelled. Used by the thread only. */
    std::set<JobId> removed_;
    std::thread thread_;
};

} // namespace auburndoor
