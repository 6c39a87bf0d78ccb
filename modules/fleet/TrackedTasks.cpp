#include "fleet/TrackedTasks.h"

#include <algorithm>
#include <set>

namespace auburndoor {

namespace {

constexpr Milliseconds minimumPollPeriod { 250 };
constexpr int pollsPerAge = 8;

} // namespace

void TrackedTasks::add(const TaskId &task, TrackingMode mode, TimePoint now)
{
    entries_[task] = { mode, now };
}

std::vector<TaskId> TrackedTasks::takeEnded(const WorkerReport &report, TimePoint reportRequestTime)
{
    std::set<TaskId> running;
    for (const auto &task : report.tasks) {
        if (task.state == TaskState::Running) {
            running.insert(task.id);
        }
    }
    std::vector<TaskId> ended;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto isEnded = entry->second.mode == TrackingMode::Running && entry->second.since < reportRequestTime
                             && !running.contains(entry->first);
        if (isEnded) {
            ended.push_back(entry->first);
            entry = entries_.erase(entry);
        } else {
            ++entry;
        }
    }
    return ended;
}

std::vector<TaskId> TrackedTasks::unresolved() const
{
    std::vector<TaskId> tasks;
    for (const auto &[task, entry] : entries_) {
        if (entry.mode == TrackingMode::Unresolved) {
            tasks.push_back(task);
        }
    }
    return tasks;
}

void TrackedTasks::remove(const TaskId &task)
{
    entries_.erase(task);
}

bool TrackedTasks::contains(const TaskId &task) const
{
    return entries_.contains(task);
}

TimePoint TrackedTasks::nextPollTime(TimePoint now, Milliseconds longestPeriod) const
{
    auto period = longestPeriod;
    for (const auto &[task, entry] : entries_) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.since);
        period = std::min(period, std::max(minimumPollPeriod, Milliseconds(age / pollsPerAge)));
    }
    return now + period;
}

} // namespace auburndoor
