#include "fleet/FollowedTasks.h"

#include <algorithm>
#include <set>

namespace auburndoor {

namespace {

constexpr Milliseconds shortestQuestionPeriod { 250 };
constexpr int questionsPerAge = 8;

} // namespace

void FollowedTasks::add(const TaskId &task, FollowMode mode, TimePoint now)
{
    entries_[task] = { mode, now };
}

std::vector<TaskId> FollowedTasks::takeEnded(const WorkerReport &report, TimePoint reportAsked)
{
    std::set<TaskId> running;
    for (const auto &task : report.tasks) {
        if (task.state == TaskState::Running) {
            running.insert(task.id);
        }
    }
    std::vector<TaskId> ended;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto isEnded = entry->second.mode == FollowMode::Running && entry->second.since < reportAsked
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

std::vector<TaskId> FollowedTasks::unresolved() const
{
    std::vector<TaskId> tasks;
    for (const auto &[task, entry] : entries_) {
        if (entry.mode == FollowMode::Unresolved) {
            tasks.push_back(task);
        }
    }
    return tasks;
}

void FollowedTasks::remove(const TaskId &task)
{
    entries_.erase(task);
}

bool FollowedTasks::contains(const TaskId &task) const
{
    return entries_.contains(task);
}

TimePoint FollowedTasks::nextQuestion(TimePoint now, Milliseconds longest) const
{
    auto period = longest;
    for (const auto &[task, entry] : entries_) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.since);
        period = std::min(period, std::max(shortestQuestionPeriod, Milliseconds(age / questionsPerAge)));
    }
    return now + period;
}

} // namespace auburndoor
