#include "placement/WorkerHealth.h"

#include <algorithm>

namespace auburndoor {

WorkerHealth::WorkerHealth(const Clock &clock, const WorkerHealthOptions &options) : clock_(clock), options_(options)
{
}

bool WorkerHealth::recordStart(const WorkerId &worker, bool hasSucceeded)
{
    const std::lock_guard lock(mutex_);
    auto &record = records_[worker];
    if (record.state == State::Quarantined) {
        // The start was made before the quarantine began, so its result says nothing new about the worker.
        return false;
    }
    if (record.state == State::Probation) {
        if (!hasSucceeded) {
            startQuarantine(record);
            return true;
        }
        if (++record.probationSuccesses >= options_.requiredSuccesses) {
            record.state = State::Healthy;
        }
        return false;
    }
    record.recentResults.push_back(hasSucceeded);
    if (record.recentResults.size() > options_.windowSize) {
        record.recentResults.pop_front();
    }
    const auto failures = std::count(record.recentResults.begin(), record.recentResults.end(), false);
    if (static_cast<std::size_t>(failures) < options_.failureLimit) {
        return false;
    }
    startQuarantine(record);
    return true;
}

bool WorkerHealth::isQuarantined(const WorkerId &worker) const
{
    const std::lock_guard lock(mutex_);
    const auto found = records_.find(worker);
    return found != records_.end() && found->second.state == State::Quarantined && clock_.now() < found->second.quarantineEnd;
}

std::vector<WorkerId> WorkerHealth::takeReleased()
{
    const std::lock_guard lock(mutex_);
    std::vector<WorkerId> released;
    for (auto &[worker, record] : records_) {
        if (record.state == State::Quarantined && clock_.now() >= record.quarantineEnd) {
            record.state = State::Probation;
            record.probationSuccesses = 0;
            released.push_back(worker);
        }
    }
    return released;
}

void WorkerHealth::forget(const WorkerId &worker)
{
    const std::lock_guard lock(mutex_);
    records_.erase(worker);
}

void WorkerHealth::startQuarantine(Record &record) const
{
    record.state = State::Quarantined;
    record.quarantineEnd = clock_.now() + options_.quarantineDuration;
    record.recentResults.clear();
}

} // namespace auburndoor
