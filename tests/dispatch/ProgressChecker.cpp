#include "dispatch/ProgressChecker.h"

#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds maxStall { 3000 };

} // namespace

void ProgressChecker::addJob(const std::string &id, int tasks, int milliCores)
{
    needs_[id] = { tasks, milliCores };
}

void ProgressChecker::check(const std::set<std::string> &open)
{
    const auto now = cell_.timers.now();
    for (const auto &[id, worker] : cell_.fleet.workers()) {
        worker->settle();
    }
    for (const auto &[id, need] : needs_) {
        if (!open.contains(id) || isRunning(id) || !hasCapacity(need)) {
            stalledSince_.erase(id);
            continue;
        }
        const auto since = stalledSince_.try_emplace(id, now).first->second;
        if (now - since > maxStall) {
            violations.push_back(id + " has had nothing running for 3 s though there is capacity");
            EventLog::write("test.violation", { { "what", violations.back() } });
            stalledSince_.erase(id);
        }
    }
}

bool ProgressChecker::isRunning(const std::string &id) const
{
    return std::any_of(cell_.fleet.workers().begin(), cell_.fleet.workers().end(), [&id](const auto &worker) {
        const auto &runs = worker.second->runs();
        return std::any_of(runs.begin(), runs.end(), [&id](const auto &run) { return run.first.first.job == id; });
    });
}

bool ProgressChecker::hasCapacity(const Need &need) const
{
    std::int64_t total = 0;
    std::int64_t used = 0;
    std::int64_t places = 0;
    for (const auto &[id, worker] : cell_.fleet.workers()) {
        if (worker->entry().service != "desk") {
            continue;
        }
        std::int64_t usedHere = 0;
        for (const auto &[key, run] : worker->runs()) {
            usedHere += needs_.at(key.first.job).milliCores;
        }
        total += worker->entry().capacity.milliCores;
        used += usedHere;
        places += std::max<std::int64_t>(0, worker->entry().capacity.milliCores - usedHere) / need.milliCores;
    }
    return places >= 2 * static_cast<std::int64_t>(need.tasks) && used * 2 < total;
}

} // namespace auburndoor
