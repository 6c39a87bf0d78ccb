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
    EventLog::write("test.started",
                    { { "job", order.task.job },
                      { "step", order.task.step },
                      { "index", order.task.index },
                      { "attempt", order.attempt },
                      { "worker", worker.entry().id } });
    const auto name = nameOf(order.task);
    lastStarts_[order.task] = worker.runs().at({ order.task, order.attempt }).startedAt;
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
