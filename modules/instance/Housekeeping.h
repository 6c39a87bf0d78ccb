#pragma once

#include "core/Clock.h"
#include "declaration/Declaration.h"
#include "instance/DeclaredJobs.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace auburndoor {

class MembershipView;
class Metrics;
class RequestRecordStore;

/**
    The work that one instance does for the cell: brings the recorded jobs in line with the declared ones and removes old request
   records.

    One thread. Among the live instances the one with the lowest id does it; two at once would do no harm, since every write is
    conditional.
*/
class Housekeeping
{
public:
    Housekeeping(Clock &clock, Metrics &metrics, MembershipView &members, JobService &jobs, RequestRecordStore &records);
    ~Housekeeping();

    void start();
    void stop();

    /** Tells of the configuration in force. Any thread; does not block. */
    void setDeclaration(const std::shared_ptr<const VersionedDeclaration> &declaration);

private:
    void run();
    void runOnce();
    bool isLeader() const;

    Clock &clock_;
    Metrics &metrics_;
    MembershipView &members_;
    RequestRecordStore &records_;
    DeclaredJobs declaredJobs_;
    TimePoint nextRemoval_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::shared_ptr<const VersionedDeclaration> wanted_;
    bool isChanged_ = false;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace auburndoor
