#include "fakes/StartChecker.h"

#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

std::string nameOf(const TaskName &task)
{
    return task.job + "." + std::to_string(task.step) + "." + std::to_string(task.index);
}

} // namespace

StartChecker::StartChecker(SimulatedFleet &fleet) : fleet_(fleet)
{
    fleet.onDoneAcknowledged = [this](const TaskName &task, TimePoint endedAt) { checkAcknowledged(task, endedAt); };
    fleet.onAccepted = [this](SimulatedWorker &worker, std::int64_t token, bool isStart) { checkToken(worker, token, isStart); };
}

void StartChecker::checkToken(const SimulatedWorker &worker, std::int64_t token, bool isStart)
{
    auto &accepted = acceptedTokens_[worker.entry().id];
    auto &acceptedHere = accepted[worker.entry().incarnation];
    for (const auto &[incarnation, earlier] : accepted) {
        if (token < earlier && (isStart || incarnation == worker.entry().incarnation)) {
            violations.push_back(worker.entry().id + " accepted an order with token " + std::to_string(token)
                                 + " after one with token " + std::to_string(earlier));
            EventLog::write("test.violation", { { "what", violations.back() } });
        }
    }
    acceptedHere = std::max(acceptedHere, token);
}

bool StartChecker::mayRunAgain(const TaskName &task) const
{
    const auto job = jobs_.find(task.job);
    return permitsCopies && job != jobs_.end() && job->second.steps.at(static_cast<std::size_t>(task.step)).allowsCopies;
}

void StartChecker::checkAcknowledged(const TaskName &task, TimePoint endedAt)
{
    const auto lastStart = lastStarts_.find(task);
    if (lastStart != lastStarts_.end() && lastStart->second > endedAt && !mayRunAgain(task)) {
        violations.push_back(nameOf(task) + " started after an end that was acknowledged later");
        EventLog::write("test.violation", { { "what", violations.back() } });
    }
}

void StartChecker::check(SimulatedWorker &worker, const StartCommand &order)
{
    lastStarts_[order.task] = worker.runs().at({ order.task, order.attempt }).startedAt;
    EventLog::write(
        "test.started",
        { { "job", order.task.job },
          { "step", order.task.step },
          { "index", order.task.index },
          { "attempt", order.attempt },
          { "worker", worker.entry().id },
          { "simulated", std::chrono::duration_cast<Milliseconds>(lastStarts_[order.task].time_since_epoch()).count() } });
    const auto name = nameOf(order.task);
    std::int64_t used = 0;
    for (const auto &[key, run] : worker.runs()) {
        used += jobs_[key.first.job].steps.at(static_cast<std::size_t>(key.first.step)).need.milliCores;
    }
    if (used > worker.entry().capacity.milliCores) {
        violations.push_back(name + " exceeds the capacity of " + worker.entry().id);
    }
    if (mayRunAgain(order.task)) {
        return;
    }
    for (const auto &[id, other] : fleet_.workers()) {
        other->settle();
        for (const auto &[key, run] : other->runs()) {
            if (key.first == order.task && (key.second != order.attempt || other.get() != &worker)) {
                violations.push_back(name);
                violations.back().append(" runs on ").append(id).append(" and ").append(worker.entry().id);
                EventLog::write("test.violation", { { "what", violations.back() }, { "other_attempt", key.second } });
            }
        }
        const auto &done = other->acknowledgedDone();
        if (std::find(done.begin(), done.end(), order.task) != done.end()) {
            violations.push_back(name + " started after its end was acknowledged");
        }
    }
}

} // namespace auburndoor
