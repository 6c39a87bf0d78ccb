#include "soak/RunHistory.h"

#include "net/EventLoop.h"

#include <algorithm>
#include <fstream>

namespace auburndoor {

namespace {

std::int64_t millisecondsOf(TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

std::string textOf(const std::optional<TimePoint> &time)
{
    return time ? std::to_string(millisecondsOf(*time)) : "-";
}

/** The time at the beginning of a line of a log: {"t":MILLISECONDS,... */
std::int64_t timeOfLine(const std::string &line)
{
    const std::string prefix = R"({"t":)";
    return line.starts_with(prefix) ? std::strtoll(line.c_str() + prefix.size(), nullptr, 10) : 0;
}

} // namespace

RunHistory::RunHistory(PlatformServer &platform) : platform_(platform)
{
    platform.onRunStarted = [this](const SimulatedWorker &worker, const StartCommand &command, std::int64_t token) {
        noteStarted(worker, command, token);
    };
    platform.onStopped = [this](const SimulatedWorker &worker, const TaskName &task, std::int64_t attempt, std::int64_t) {
        if (auto *run = find(worker, task, attempt); run != nullptr && !run->stoppedAt) {
            run->stoppedAt = platform_.now();
        }
    };
    platform.fleet.onEnded = [this](const SimulatedWorker &worker, const EndedTask &ended, TimePoint endedAt) {
        if (auto *run = find(worker, ended.task, ended.attempt)) {
            run->endedAt = endedAt;
            run->how = name(ended.end);
        }
    };
    const auto checkAcknowledged = platform.fleet.onDoneAcknowledged;
    platform.fleet.onDoneAcknowledged = [this, checkAcknowledged](const TaskName &task, TimePoint endedAt) {
        for (auto &run : runs_[task]) {
            if (run.endedAt == endedAt && !run.acknowledgedAt) {
                run.acknowledgedAt = platform_.now();
            }
        }
        checkAcknowledged(task, endedAt);
    };
}

RunHistory::RunRecord *RunHistory::find(const SimulatedWorker &worker, const TaskName &task, std::int64_t attempt)
{
    auto &runs = runs_[task];
    const auto found = std::find_if(runs.rbegin(), runs.rend(), [&worker, attempt](const RunRecord &run) {
        return run.worker == worker.entry().id && run.incarnation == worker.entry().incarnation && run.attempt == attempt;
    });
    return found == runs.rend() ? nullptr : &*found;
}

void RunHistory::noteStarted(const SimulatedWorker &worker, const StartCommand &command, std::int64_t token)
{
    RunRecord run;
    run.worker = worker.entry().id;
    run.incarnation = worker.entry().incarnation;
    run.attempt = command.attempt;
    run.token = token;
    run.startedAt = platform_.now();
    runs_[command.task].push_back(run);
}

void RunHistory::noteGone(const SimulatedWorker &worker)
{
    for (const auto &[key, run] : worker.runs()) {
        if (auto *record = find(worker, key.first, key.second)) {
            record->endedAt = platform_.now();
            record->how = "worker gone";
        }
    }
}

std::string RunHistory::text(const TaskName &task) const
{
    const auto found = runs_.find(task);
    std::string lines;
    for (const auto &run : found == runs_.end() ? std::vector<RunRecord>() : found->second) {
        lines += "  attempt " + std::to_string(run.attempt) + " on " + run.worker + " by token " + std::to_string(run.token)
                 + ": started " + textOf(run.startedAt) + ", stopped " + textOf(run.stoppedAt) + ", ended " + textOf(run.endedAt)
                 + " " + run.how + ", acknowledged " + textOf(run.acknowledgedAt) + "\n";
    }
    return lines;
}

std::optional<TaskName> RunHistory::taskOf(const std::string &violation) const
{
    for (const auto &[task, runs] : runs_) {
        const auto name = task.job + "." + std::to_string(task.step) + "." + std::to_string(task.index) + " ";
        if (violation.starts_with(name)) {
            return task;
        }
    }
    return std::nullopt;
}

std::string RunHistory::explain(const std::string &violation, const std::vector<std::string> &logFiles) const
{
    constexpr std::int64_t before = 8000;
    constexpr std::int64_t after = 500;
    const auto task = taskOf(violation);
    if (!task) {
        return violation + "\n";
    }
    const auto &runs = runs_.at(*task);
    const auto begin = millisecondsOf(runs.front().startedAt) - before;
    const auto end = millisecondsOf(runs.back().startedAt) + after;
    const auto isRelevant = [&](const std::string &line) {
        const auto names = [&line](const std::string &text) { return line.find('"' + text + '"') != std::string::npos; };
        return names(task->job) || line.find("\"owner.") != std::string::npos
               || std::any_of(runs.begin(), runs.end(), [&names](const RunRecord &run) { return names(run.worker); });
    };
    std::vector<std::string> lines;
    for (const auto &file : logFiles) {
        std::ifstream log(file);
        for (std::string line; std::getline(log, line);) {
            if (const auto time = timeOfLine(line); begin <= time && time <= end && isRelevant(line)) {
                lines.push_back(line);
            }
        }
    }
    std::sort(lines.begin(), lines.end(), [](const auto &one, const auto &other) { return timeOfLine(one) < timeOfLine(other); });
    std::string result = violation + "\n" + text(*task);
    for (const auto &line : lines) {
        result += "    " + line + "\n";
    }
    return result;
}

} // namespace auburndoor
