#include "fakes/SimulatedWorker.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds wayThere { 3 };
constexpr Milliseconds givenUpAfter { 400 };
constexpr Milliseconds stopTime { 100 };
constexpr Milliseconds waitStep { 10 };

} // namespace

SimulatedWorker::SimulatedWorker(Timers &timers, WorkerEntry entry, Plan plan)
    : timers_(timers), entry_(std::move(entry)), plan_(std::move(plan))
{
}

bool SimulatedWorker::isCutOffFrom(std::int64_t token) const
{
    return isCutOff || cutOffTokens.contains(token);
}

void SimulatedWorker::end(const std::pair<TaskName, std::int64_t> &key, RunOutcome how, TimePoint at)
{
    runs_.erase(key);
    auto &over = overAttempts_[key.first];
    over = std::max(over, key.second);
    endTimes_[nextEnd_] = at;
    ended_.push_back({ nextEnd_++, key.first, key.second, how, {} });
    if (onEnded) {
        onEnded(ended_.back(), at);
    }
}

void SimulatedWorker::settle()
{
    const auto now = timers_.now();
    std::vector<std::pair<std::pair<TaskName, std::int64_t>, RunOutcome>> due;
    for (const auto &[key, run] : runs_) {
        if (run.endsAt <= std::min(now, leaseEnd_)) {
            due.emplace_back(key, run.end);
        } else if (leaseEnd_ + killTime <= now) {
            due.emplace_back(key, RunOutcome::LeaseExpired);
        }
    }
    for (const auto &[key, how] : due) {
        end(key, how, std::min(runs_.at(key).endsAt, leaseEnd_ + killTime));
    }
    if (leaseEnd_ <= now) {
        // Ends that were not acknowledged before the lease passed may be made up for by another run.
        for (const auto &ended : ended_) {
            lapsedSince_.insert(ended.number);
        }
    }
}

CommandOutcome SimulatedWorker::start(const StartCommand &order, TimePoint deadline, std::int64_t token)
{
    settle();
    if (token < highestToken_) {
        return CommandOutcome::Fenced;
    }
    highestToken_ = token;
    const std::pair key { order.task, order.attempt };
    leaseEnd_ = std::max(leaseEnd_, deadline);
    if (runs_.contains(key)) {
        return CommandOutcome::Accepted;
    }
    const auto over = overAttempts_.find(order.task);
    if (over != overAttempts_.end() && order.attempt <= over->second) {
        return CommandOutcome::Superseded;
    }
    if (deadline <= timers_.now()) {
        return CommandOutcome::LeaseExpired;
    }
    const auto work = plan_(order.task, order.attempt);
    runs_[key] = { timers_.now() + work.duration, work.end, timers_.now(), work.duration };
    return CommandOutcome::Accepted;
}

CommandOutcome SimulatedWorker::stop(const TaskName &task, std::int64_t attempt, std::int64_t token)
{
    settle();
    if (token < highestToken_) {
        return CommandOutcome::Fenced;
    }
    highestToken_ = token;
    const auto found = runs_.find({ task, attempt });
    if (found != runs_.end()) {
        const auto stopsAt = timers_.now() + stopTime;
        if (found->second.endsAt >= stopsAt) {
            found->second.endsAt = stopsAt;
            found->second.end = RunOutcome::Stopped;
        }
    } else {
        auto &over = overAttempts_[task];
        over = std::max(over, attempt);
    }
    return CommandOutcome::Accepted;
}

CommandOutcome SimulatedWorker::renewLeases(std::int64_t acknowledged,
                                            std::optional<TimePoint> deadline,
                                            std::int64_t token,
                                            TaskReport &report)
{
    settle();
    if (token < highestToken_) {
        return CommandOutcome::Fenced;
    }
    highestToken_ = token;
    if (deadline) {
        leaseEnd_ = std::max(leaseEnd_, *deadline);
    }
    for (const auto &ended : ended_) {
        if (ended.number <= acknowledged && ended.end == RunOutcome::Done && !lapsedSince_.contains(ended.number)) {
            acknowledge(ended, token);
        }
    }
    std::erase_if(ended_, [acknowledged](const EndedTask &ended) { return ended.number <= acknowledged; });
    for (const auto &[key, run] : runs_) {
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(timers_.now() - run.startedAt);
        const auto percent = run.duration.count() == 0 ? 100 : static_cast<int>(elapsed * 100 / run.duration);
        report.running.push_back({ key.first, key.second, {}, std::min(percent, 99) });
    }
    report.isCutOff = ended_.size() >= maxListedEnds;
    report.ended.assign(ended_.begin(), ended_.begin() + static_cast<std::ptrdiff_t>(std::min(ended_.size(), maxListedEnds)));
    report.incarnation = entry_.incarnation;
    return CommandOutcome::Accepted;
}

void SimulatedWorker::acknowledge(const EndedTask &ended, std::int64_t token)
{
    acknowledgedDone_.push_back(ended.task);
    EventLog::write("test.acknowledged",
                    { { "job", ended.task.job },
                      { "index", ended.task.index },
                      { "attempt", ended.attempt },
                      { "worker", entry_.id },
                      { "number", ended.number },
                      { "token", token },
                      { "simulated", std::chrono::duration_cast<Milliseconds>(timers_.now() - TimePoint()).count() } });
    if (onDoneAcknowledged) {
        onDoneAcknowledged(ended.task, endTimes_.at(ended.number));
    }
}

void SimulatedWorker::restart()
{
    settle();
    runs_.clear();
    ended_.clear();
    overAttempts_.clear();
    highestToken_ = 0;
    nextEnd_ = 1;
    lapsedSince_.clear();
    endTimes_.clear();
    leaseEnd_ = {};
    ++entry_.incarnation;
}

void SimulatedWorker::setCapacity(const Resources &capacity)
{
    entry_.capacity = capacity;
}

void SimulatedWorker::setService(const std::string &service)
{
    entry_.service = service;
}

const WorkerEntry &SimulatedWorker::entry() const
{
    return entry_;
}

const std::map<std::pair<TaskName, std::int64_t>, SimulatedWorker::LiveRun> &SimulatedWorker::runs() const
{
    return runs_;
}

const std::vector<EndedTask> &SimulatedWorker::listedEnds() const
{
    return ended_;
}

const std::vector<TaskName> &SimulatedWorker::acknowledgedDone() const
{
    return acknowledgedDone_;
}

/** Carries orders to a simulated worker. */
class SimulatedFleet::Orders : public WorkerClient
{
public:
    Orders(SimulatedFleet &fleet, const WorkerEntry &entry, std::int64_t token)
        : fleet_(fleet), id_(entry.id), token_(token), connectedLife_(fleet.worker(id_).entry().incarnation)
    {
    }

    void start(const StartCommand &order, Milliseconds lease, CommandCallback callback) override
    {
        const auto deadline = promise(lease);
        deliver(
            [&fleet = fleet_, id = id_, token = token_, order, deadline] {
                auto &worker = fleet.worker(id);
                const auto before = worker.runs().size();
                const auto outcome = worker.start(order, deadline, token);
                if (worker.runs().size() > before && fleet.onStarted) {
                    fleet.onStarted(worker, order);
                }
                return outcome;
            },
            std::move(callback));
    }

    void stop(const TaskName &task, std::int64_t attempt, CommandCallback callback) override
    {
        deliver([&fleet = fleet_, id = id_, token = token_, task, attempt] { return fleet.worker(id).stop(task, attempt, token); },
                std::move(callback));
    }

    void throttle(const TaskName &, std::int64_t, int, CommandCallback callback) override
    {
        deliver([] { return CommandOutcome::Accepted; }, std::move(callback));
    }

    void renewLeases(std::int64_t acknowledged, Milliseconds lease, Milliseconds wait, ReportCallback callback) override
    {
        auto &timers = fleet_.timers_;
        const auto deadline = lease > Milliseconds(0) ? std::optional(promise(lease)) : std::nullopt;
        if (const auto incarnation = fleet_.worker(id_).entry().incarnation;
            std::exchange(connectedLife_, incarnation) != incarnation) {
            // The restart has closed the kept connection.
            timers.after(wayThere, [callback = std::move(callback)] { callback({ CommandOutcome::Unknown, "reset" }, {}); });
            return;
        }
        if (fleet_.worker(id_).isCutOffFrom(token_)) {
            // The kept connection breaks with the first request; after that no connection can be opened.
            const bool isConnected = std::exchange(isConnected_, false);
            timers.after(isConnected ? wait + givenUpAfter : givenUpAfter, [isConnected, callback = std::move(callback)] {
                callback({ isConnected ? CommandOutcome::Unknown : CommandOutcome::NotSent, "cut" }, {});
            });
            return;
        }
        isConnected_ = true;
        if (fleet_.worker(id_).hasExited) {
            timers.after(wayThere, [callback = std::move(callback)] {
                callback({ CommandOutcome::NotSent, "no connection" }, {});
            });
            return;
        }
        if (fleet_.worker(id_).isReplaced) {
            timers.after(wayThere, [callback = std::move(callback)] { callback({ CommandOutcome::WrongWorker, {} }, {}); });
            return;
        }
        timers.after(wayThere, [&timers, &fleet = fleet_, id = id_, token = token_, acknowledged, deadline, wait, callback] {
            const auto incarnation = fleet.worker(id).entry().incarnation;
            waitForEnd(fleet, timers, id, token, acknowledged, deadline, timers.now() + wait, incarnation, callback);
        });
    }

    TimePoint leaseEnd() const override
    {
        return leaseEnd_;
    }

    void update(const WorkerEntry &) override
    {
    }

private:
    TimePoint promise(Milliseconds lease)
    {
        const auto deadline = fleet_.timers_.now() + lease;
        leaseEnd_ = std::max(leaseEnd_, deadline + Milliseconds(100));
        return deadline;
    }

    static void waitForEnd(SimulatedFleet &fleet,
                           Timers &timers,
                           const std::string &id,
                           std::int64_t token,
                           std::int64_t acknowledged,
                           std::optional<TimePoint> deadline,
                           TimePoint until,
                           std::int64_t incarnation,
                           const ReportCallback &callback)
    {
        auto &worker = fleet.worker(id);
        if (worker.cutOffTokens.contains(token)) {
            timers.after(givenUpAfter, [callback] { callback({ CommandOutcome::Unknown, "cut" }, {}); });
            return;
        }
        if (worker.entry().incarnation != incarnation) {
            // The restart has closed the connection.
            callback({ CommandOutcome::Unknown, "reset" }, {});
            return;
        }
        TaskReport report;
        const auto outcome = worker.renewLeases(acknowledged, deadline, token, report);
        if (outcome == CommandOutcome::Accepted && report.ended.empty() && timers.now() < until && !worker.isCutOff) {
            timers.after(waitStep, [&fleet, &timers, id, token, until, incarnation, callback] {
                waitForEnd(fleet, timers, id, token, 0, std::nullopt, until, incarnation, callback);
            });
            return;
        }
        if (worker.isCutOff) {
            timers.after(givenUpAfter, [callback] { callback({ CommandOutcome::Unknown, "cut" }, {}); });
            return;
        }
        timers.after(wayThere, [callback, outcome, report] { callback({ outcome, {} }, report); });
    }

    void deliver(std::function<CommandOutcome()> action, CommandCallback callback)
    {
        auto &timers = fleet_.timers_;
        const auto fault = fleet_.drawFault ? fleet_.drawFault() : CommandFault();
        const bool isCutOff = fleet_.worker(id_).isCutOffFrom(token_);
        if (isCutOff || fault.kind == CommandFault::Kind::Late) {
            if (!isCutOff) {
                // What is carried out late waits in the worker, and goes with its life.
                timers.after(fault.late, [&fleet = fleet_, id = id_, incarnation = fleet_.worker(id_).entry().incarnation, action] {
                    if (fleet.worker(id).entry().incarnation == incarnation) {
                        action();
                    }
                });
            }
            timers.after(givenUpAfter, [callback = std::move(callback)] { callback({ CommandOutcome::Unknown, "no answer" }); });
            return;
        }
        timers.after(wayThere,
                     [&timers,
                      &fleet = fleet_,
                      id = id_,
                      token = token_,
                      fault,
                      action = std::move(action),
                      callback = std::move(callback)] {
                         const auto outcome = fleet.worker(id).isReplaced ? CommandOutcome::WrongWorker : action();
                         const bool isLost = fault.kind == CommandFault::Kind::AnswerLost
                                             || fleet.worker(id).cutOffTokens.contains(token);
                         timers.after(isLost ? givenUpAfter : wayThere, [callback, outcome, isLost] {
                             callback({ isLost ? CommandOutcome::Unknown : outcome, {} });
                         });
                     });
    }

    SimulatedFleet &fleet_;
    std::string id_;
    std::int64_t token_;
    std::int64_t connectedLife_ = 0;
    /** A connection to the worker is kept. */
    bool isConnected_ = true;
    TimePoint leaseEnd_;
};

SimulatedFleet::SimulatedFleet(Timers &timers) : timers_(timers)
{
}

SimulatedFleet::~SimulatedFleet() = default;

SimulatedWorker &SimulatedFleet::add(const WorkerEntry &entry, SimulatedWorker::Plan plan)
{
    auto &slot = workers_[entry.id];
    slot = std::make_unique<SimulatedWorker>(timers_, entry, std::move(plan));
    slot->onDoneAcknowledged = [this](const TaskName &task, TimePoint endedAt) {
        if (onDoneAcknowledged) {
            onDoneAcknowledged(task, endedAt);
        }
    };
    slot->onEnded = [this, worker = slot.get()](const EndedTask &ended, TimePoint endedAt) {
        if (onEnded) {
            onEnded(*worker, ended, endedAt);
        }
    };
    return *slot;
}

SimulatedWorker &SimulatedFleet::worker(const std::string &id)
{
    return *workers_.at(id);
}

std::map<std::string, std::unique_ptr<SimulatedWorker>> &SimulatedFleet::workers()
{
    return workers_;
}

std::unique_ptr<WorkerClient> SimulatedFleet::create(const WorkerEntry &entry, std::int64_t fencingToken)
{
    return std::make_unique<Orders>(*this, entry, fencingToken);
}

} // namespace auburndoor
