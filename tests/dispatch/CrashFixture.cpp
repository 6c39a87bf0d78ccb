#include "dispatch/CrashFixture.h"

#include <algorithm>

namespace auburndoor {

CrashFixture::CrashFixture() : isDeadly([](const TaskName &) { return false; })
{
    fleet.onStarted = [this, onStarted = fleet.onStarted](SimulatedWorker &worker, const StartCommand &command) {
        onStarted(worker, command);
        if (crashesUnderTask_[command.task] >= 3) {
            ++startsAfterThreeCrashes_[command.task];
        }
        if (!isDeadly(command.task)) {
            return;
        }
        const auto id = worker.entry().id;
        const std::pair run { command.task, command.attempt };
        timers.after(crashDelay, [this, id, run] {
            if (fleet.worker(id).runs().contains(run)) {
                crash(id);
            }
        });
    };
}

void CrashFixture::addWorkers(int count, int cores)
{
    for (int number = 0; number < count; ++number) {
        addWorker("w" + std::to_string(number), cores);
    }
}

void CrashFixture::crash(const std::string &id)
{
    auto &worker = fleet.worker(id);
    ++crashCount_;
    for (const auto &[key, run] : worker.runs()) {
        ++crashesUnderTask_[key.first];
    }
    worker.restart();
    worker.isCutOff = true;
    timers.after(downtime, [this, id] { comeBack(id); });
}

void CrashFixture::comeBack(const std::string &id)
{
    auto &worker = fleet.worker(id);
    worker.isCutOff = false;
    if (!getsNewId) {
        list(id);
        return;
    }
    worker.isReplaced = true;
    unlist(id);
    auto entry = worker.entry();
    entry.id = id + "'";
    fleet.add(entry, [this](const TaskName &task, std::int64_t attempt) { return plan(task, attempt); });
    list(entry.id);
}

int CrashFixture::mostStartsAfterThreeCrashes() const
{
    int most = 0;
    for (const auto &[task, starts] : startsAfterThreeCrashes_) {
        most = std::max(most, starts);
    }
    return most;
}

int CrashFixture::startCount(const std::string &job) const
{
    return static_cast<int>(
        std::count_if(starts.begin(), starts.end(), [&job](const StartCommand &command) { return command.task.job == job; }));
}

} // namespace auburndoor
