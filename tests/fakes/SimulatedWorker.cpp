#include "fakes/SimulatedWorker.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds stopTime { 100 };
constexpr double slowClockRate = 0.98;
// Workers have run for a while when a test begins.
constexpr Milliseconds firstUpTime { 480000 };

} // namespace

SimulatedWorker::SimulatedWorker(Timers &timers, WorkerEntry entry, Plan plan)
    : timers_(timers), entry_(std::move(entry)), firstClock_(firstUpTime), firstSeenAt_(timers.now()), plan_(std::move(plan))
{
}

double SimulatedWorker::clockRate() const
{
    return isClockSlow ? slowClockRate : 1.0;
}

Milliseconds SimulatedWorker::clock() const
{
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(timers_.now() - firstSeenAt_);
    return firstClock_ + Milliseconds(static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * clockRate()));
}

void SimulatedWorker::setClock(Milliseconds time)
{
    firstClock_ = time;
    firstSeenAt_ = timers_.now();
}

TimePoint SimulatedWorker::leaseEndAt(Milliseconds deadline) const
{
    const auto onTestClock = [rate = clockRate()](Milliseconds duration) {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) / rate));
    };
    return std::min(firstSeenAt_ + onTestClock(deadline - firstClock_), timers_.now() + onTestClock(maxLease));
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
        if (unlistedRuns.contains(key)) {
            continue;
        }
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(timers_.now() - run.startedAt);
        const auto percent = run.duration.count() == 0 ? 100 : static_cast<int>(elapsed * 100 / run.duration);
        report.running.push_back({ key.first, key.second, {}, std::min(percent, 99) });
    }
    report.isCutOff = ended_.size() >= maxListedEnds;
    report.ended.assign(ended_.begin(), ended_.begin() + static_cast<std::ptrdiff_t>(std::min(ended_.size(), maxListedEnds)));
    report.incarnation = entry_.incarnation;
    report.omission = omission;
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
    setClock(Milliseconds(0));
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

TimePoint SimulatedWorker::now() const
{
    return timers_.now();
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

} // namespace auburndoor
