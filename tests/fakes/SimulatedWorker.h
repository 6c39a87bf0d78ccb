#pragma once

#include "net/Timers.h"
#include "workload/WorkerConnection.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

/** How a simulated run goes. */
struct SimulatedWork
{
    Milliseconds duration { 500 };
    RunOutcome end = RunOutcome::Done;
};

/**
    A worker of the platform in memory: fencing, leases, late starts, ends that are listed until they are acknowledged.

    It keeps what a test has to check: when two runs of one task overlap, a task runs again after an acknowledged end, or the
    capacity is exceeded.
*/
class SimulatedWorker
{
public:
    using Plan = std::function<SimulatedWork(const TaskName &, std::int64_t attempt)>;

    struct LiveRun
    {
        TimePoint endsAt;
        RunOutcome end = RunOutcome::Done;
        TimePoint startedAt;
        Milliseconds duration { 0 };
    };

    SimulatedWorker(Timers &timers, WorkerEntry entry, Plan plan);

    /** Lets runs end and leases lapse up to now. */
    void settle();

    CommandOutcome start(const StartCommand &order, TimePoint deadline, std::int64_t token);
    CommandOutcome stop(const TaskName &task, std::int64_t attempt, std::int64_t token);
    CommandOutcome renewLeases(std::int64_t acknowledged,
                               std::optional<TimePoint> deadline,
                               std::int64_t token,
                               TaskReport &report);

    /** Ends this life: all runs are gone, and it knows nothing of before. */
    void restart();

    /** While cut off, no order arrives and nothing is answered; it runs on. */
    bool isCutOff = false;

    /** The fencing tokens whose orders do not arrive and get no answer, since only their owners are cut off. */
    std::set<std::int64_t> cutOffTokens;
    /** True if orders with this token get no answer. */
    bool isCutOffFrom(std::int64_t token) const;

    /** Called when an end as done is acknowledged and the lease has not lapsed since the end. */
    std::function<void(const TaskName &, TimePoint endedAt)> onDoneAcknowledged;

    /** Called for each run that has ended, with the time of its end, when the worker lists it. */
    std::function<void(const EndedTask &, TimePoint endedAt)> onEnded;

    /** Orders arrive and are carried out, but nothing that it answers arrives. */
    bool losesReplies = false;

    /** Its clock is 2% slow, so that a lease lasts as long as WorkerLease allows for. */
    bool isClockSlow = false;

    /** It is gone: no connection to it can be opened. */
    bool hasExited = false;

    /** How long its runs go on once the lease has ended. */
    Milliseconds killTime { 0 };

    /** The runs, by task and attempt, that its reports do not list though they go on. */
    std::set<std::pair<TaskName, std::int64_t>> unlistedRuns;

    /** The longest lease that it grants. */
    Milliseconds maxLease { 10000 };

    /** As TaskReport::omission in its reports. */
    std::string omission;

    /** The most ended runs that a report lists, those with the lowest numbers. */
    std::size_t maxListedEnds = 500;

    /** Another worker has its address and answers that it is not this one. */
    bool isReplaced = false;

    /** Changes the capacity that its entry shows; what runs goes on. */
    void setCapacity(const Resources &capacity);
    /** Changes the service that its entry shows; what runs goes on. */
    void setService(const std::string &service);

    /** The time on the clock of the test. */
    TimePoint now() const;
    /** The time on its own clock, which begins at zero with each restart. */
    Milliseconds clock() const;
    /** Sets its own clock, as if it had run for this long. */
    void setClock(Milliseconds time);
    /** When a lease with this deadline on its own clock ends, at most the longest lease from now. */
    TimePoint leaseEndAt(Milliseconds deadline) const;
    const WorkerEntry &entry() const;
    const std::map<std::pair<TaskName, std::int64_t>, LiveRun> &runs() const;
    const std::vector<EndedTask> &listedEnds() const;
    /** The tasks of which an end as done was acknowledged. */
    const std::vector<TaskName> &acknowledgedDone() const;

private:
    void end(const std::pair<TaskName, std::int64_t> &key, RunOutcome how, TimePoint at);
    void acknowledge(const EndedTask &ended, std::int64_t token);
    /** How much its clock advances in a millisecond. */
    double clockRate() const;

    Timers &timers_;
    WorkerEntry entry_;
    /** What its clock has shown when this incarnation was first seen. */
    Milliseconds firstClock_;
    TimePoint firstSeenAt_;
    Plan plan_;
    std::int64_t highestToken_ = 0;
    std::int64_t nextEnd_ = 1;
    TimePoint leaseEnd_;
    std::map<std::pair<TaskName, std::int64_t>, LiveRun> runs_;
    std::map<TaskName, std::int64_t> overAttempts_;
    std::vector<EndedTask> ended_;
    std::vector<TaskName> acknowledgedDone_;
    std::set<std::int64_t> lapsedSince_;
    /** By number; kept after the acknowledgement. */
    std::map<std::int64_t, TimePoint> endTimes_;
};

/** Faults on the way to the workers, drawn by a test. */
struct CommandFault
{
    enum class Kind {
        None,
        /** Carried out, but the answer does not arrive. */
        AnswerLost,
        /** No answer, and carried out some time later. */
        Late,
    };
    Kind kind = Kind::None;
    Milliseconds late { 2000 };
};

class SimulatedConnections;

/** Simulated workers and the product's clients of them, over connections that faults disturb. */
class SimulatedFleet : public WorkerClientFactory
{
public:
    explicit SimulatedFleet(Timers &timers);
    ~SimulatedFleet() override;

    SimulatedWorker &add(const WorkerEntry &entry, SimulatedWorker::Plan plan);
    SimulatedWorker &worker(const std::string &id);
    std::map<std::string, std::unique_ptr<SimulatedWorker>> &workers();
    std::unique_ptr<WorkerClient> create(const WorkerEntry &entry, std::int64_t fencingToken) override;

    /** Creates the channels of later clients; null for ConfirmingWorkerChannel. */
    std::function<std::unique_ptr<WorkerChannel>(WorkerConnectionFactory &, const WorkerEntry &, std::int64_t fencingToken)>
        createChannel;

    /** Called for each start or stop to draw its fault. */
    std::function<CommandFault()> drawFault;
    /**
        Called for each order that is sent into a cut.

        It returns how long after the end of the cut the order is carried out, or nothing if it is lost. Without it, all are lost.
    */
    std::function<std::optional<Milliseconds>()> drawDelayAfterCut;
    /** Hands a reply to the owner with this token, which may be paused; without it, replies arrive at once. */
    std::function<void(std::int64_t token, std::function<void()> reply)> deliverReply;
    /** Called after each start that a worker has accepted, and after each renewal that it has. */
    std::function<void(SimulatedWorker &, std::int64_t token, bool isStart)> onAccepted;
    /** Called after each start that a worker has begun. */
    std::function<void(SimulatedWorker &, const StartCommand &)> onStarted;
    /** Called as SimulatedWorker::onEnded for all workers. */
    std::function<void(const SimulatedWorker &, const EndedTask &, TimePoint endedAt)> onEnded;
    /** Called as SimulatedWorker::onDoneAcknowledged for all workers. */
    std::function<void(const TaskName &, TimePoint endedAt)> onDoneAcknowledged;

private:
    Timers &timers_;
    std::map<std::string, std::unique_ptr<SimulatedWorker>> workers_;
    std::unique_ptr<SimulatedConnections> connections_;
};

} // namespace auburndoor
