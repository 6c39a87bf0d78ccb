#pragma once

#include "core/Failure.h"
#include "peer/PeerHandler.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace auburndoor {

/** A handler whose execute() a test replaces; everything else gives fixed answers and keeps what it was given. */
class StubPeerHandler : public PeerHandler
{
public:
    Member heartbeat(const Member &sender) override
    {
        const std::lock_guard lock(mutex);
        lastSender = sender;
        return self;
    }

    Outcome execute(const Request &request) override
    {
        ++executions;
        return onExecute(request);
    }

    long long announce(const ConfigurationAnnouncement &announcement) override
    {
        lastAnnouncement = announcement;
        return announcement.version + 1;
    }

    ConfigurationAnnouncement fetchConfiguration() override
    {
        return { 9, "digest", "text" };
    }

    std::vector<Hold> hold(const HoldRequest &request) override
    {
        lastHoldRequest = request;
        return { { WorkerId("w1"), "h1" }, { WorkerId("w2"), "h2" } };
    }

    void release(const std::vector<Hold> &holds) override
    {
        lastReleased = holds;
    }

    CallResult startHeld(const Hold &hold, const TaskStart &start, Failure &failure) override
    {
        lastReleased = { hold };
        lastStart = start;
        failure = { FailureStep::Start, "w1", FailureReason::StaleEpoch, "the epoch is old" };
        return { CallStatus::NotRun, "answer" };
    }

    std::optional<TaskStatus> queryTask(const WorkerId &, const TaskId &task, Failure &) override
    {
        return TaskStatus {
            task, TaskState::Done, { 1, 2, 3, 4, 5 }, TeamId("team"), std::string("\0binary", 7), { 6, 7, 8, 9, 10 }
        };
    }

    std::vector<TaskId> runningTasks(const JobId &job) override
    {
        return { TaskId(job.text() + "/0/1"), TaskId(job.text() + "/12/3") };
    }

    std::optional<TaskStatus> cancelTask(const WorkerId &worker, const TaskId &, Failure &failure) override
    {
        failure = { FailureStep::Cancel, worker.text(), FailureReason::NotOwner, "the worker is not owned here" };
        return std::nullopt;
    }

    void notifyJob(const ShardId &shard, const JobId &job) override
    {
        lastJob = shard.text() + ' ' + job.text();
    }

    static Outcome answer(const Request &request)
    {
        Outcome outcome;
        outcome.status = OutcomeStatus::Answered;
        outcome.answer = "answer to " + request.id.text();
        return outcome;
    }

    std::function<Outcome(const Request &)> onExecute = answer;
    std::atomic<int> executions { 0 };
    std::mutex mutex;
    Member self;
    Member lastSender;
    ConfigurationAnnouncement lastAnnouncement;
    HoldRequest lastHoldRequest;
    std::vector<Hold> lastReleased;
    TaskStart lastStart;
    std::string lastJob;
};

} // namespace auburndoor
