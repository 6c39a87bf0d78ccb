#pragma once

#include "core/Failure.h"
#include "fakes/FakeTask.h"
#include "worker/WorkerConnection.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace auburndoor {

/** Faults that a test orders from a worker. */
struct WorkerFaults
{
    /** How long each answer is kept back. Stand-in only. */
    Milliseconds answerDelay { 0 };
    /** The next answers to orders are lost after the order took effect. */
    int cutAnswers = 0;
    /** The next answers of calls are swapped in pairs. Stand-in only. */
    int crossAnswers = 0;
    /** Every task fails as soon as it has started. */
    bool failEverything = false;
    /** How long a start is under way before the worker judges it. */
    Milliseconds startDelay { 0 };
    /** How long after its start a task's use shows in reports. */
    Milliseconds usageLag { 0 };
    /** Orders with a lower epoch are obeyed too; a negative control for promises 1 and 2. */
    bool ignoreEpoch = false;
    /** A cancelled id that had not started is forgotten, so that a late start of it runs; a negative control for promise 4. */
    bool forgetCancelled = false;
};

/** One event in the life of a worker, for checkers. */
struct WorkerEvent
{
    enum class Kind {
        Start,
        End,
        Refusal,
    };

    Kind kind = Kind::Start;
    WallTime time;
    TaskId task;
    Epoch epoch = 0;
    /** End: how the task ended. */
    TaskState state = TaskState::Unknown;
    /** Refusal: why. */
    FailureReason reason = FailureReason::None;
};

/**
    The rules of a worker on a Clock, without network; serves as connection to itself. Any thread.

    It keeps the highest epoch and refuses lower ones, starts each task id at most once, never exceeds its capacity, remembers
    outcomes and cancelled ids for 10 minutes, stops tasks whose lease lapses, and refuses starts after latestStart. Ends are
    worked out when the worker is next asked and recorded with the time at which they were due, so no thread is needed.

    A task's body is JSON such as {"runMs": 50, "echo": "text", "fail": false}; a negative runMs runs until stopped. Any other
    body is echoed after 0 ms. The answer is {"echo": "text", "task": "<id>"}.
*/
class FakeWorker : public WorkerConnection
{
public:
    FakeWorker(WorkerId id, const Resources &capacity, Clock &clock);
    ~FakeWorker() override;

    std::optional<WorkerReport> claim(Epoch epoch, const InstanceId &owner, TimePoint deadline, Failure &failure) override;
    CallResult call(const TaskStart &start, TimePoint deadline, Failure &failure) override;
    CallResult start(const TaskStart &start, TimePoint deadline, Failure &failure) override;
    std::optional<TaskStatus> query(const TaskId &task, TimePoint deadline, Failure &failure) override;
    std::optional<TaskStatus> cancel(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure) override;
    std::optional<TaskStatus> checkpoint(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure) override;
    bool throttle(const TaskId &task, Epoch epoch, int percent, TimePoint deadline, Failure &failure) override;
    std::optional<WorkerReport> renew(Epoch epoch, Milliseconds lease, TimePoint deadline, Failure &failure) override;

    /** As renew(), reporting the tasks that ended after the given mark. @param mark in: last seen, out: the present one */
    std::optional<WorkerReport> renewAfter(Epoch epoch, Milliseconds lease, long long &mark, Failure &failure);

    void setFaults(const WorkerFaults &faults);

    /** Refuses all new starts while true. */
    void setLeaving(bool isLeaving);

    /** While false, every order fails with ConnectionFailed and has no effect; tasks run on. */
    void setReachable(bool isReachable);

    /** All events so far, in the order of their time. */
    std::vector<WorkerEvent> history();

    /** The highest sum of needs that ran at the same time, for each resource. */
    Resources highestUse();

    /** The sum of the needs of the tasks that run now. */
    Resources use();

    /** The number of starts of a task that took effect; more than one is a fault of the worker. */
    int startCount(const TaskId &task);

    const WorkerId &id() const;
    const Resources &capacity() const;

private:
    void settle();
    void end(FakeTask &task, TaskState state, WallTime time, const std::string &answer);
    FailureReason refusalOf(const TaskStart &start) const;
    bool accept(const TaskStart &start, Failure &failure);
    bool checkEpoch(Epoch epoch, FailureStep step, Failure &failure);
    bool isCut(FailureStep step, Failure &failure);
    bool isUnreachable(FailureStep step, Failure &failure) const;
    TaskStatus describe(const TaskId &id) const;
    WorkerReport report(long long mark) const;

    const WorkerId id_;
    const Resources capacity_;
    Clock &clock_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<TaskId, FakeTask> tasks_;
    std::set<FakeTask *> running_;
    /** Ended and cancelled tasks in the order in which they are forgotten. */
    std::deque<std::pair<WallTime, TaskId>> remembered_;
    std::vector<WorkerEvent> history_;
    WorkerFaults faults_;
    Resources used_;
    Resources highest_;
    Epoch epoch_ = 0;
    long long endMark_ = 0;
    long long seenMark_ = 0;
    bool isLeaving_ = false;
    bool isReachable_ = true;
};

} // namespace auburndoor
