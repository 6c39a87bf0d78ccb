#include "dispatch/TaskRecordCodec.h"

#include "core/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

constexpr std::size_t maxShortCheckpointBytes = 64;

/** A row of [worker, incarnation, attempt, alone, last] for each run. */
template<typename Runs>
Json hostedRunsJson(const Runs &runs)
{
    Json json = Json::array();
    for (const HostedRun &run : runs) {
        json.push_back(Json::array({ run.worker, run.incarnation, run.attempt, run.isAlone ? 1 : 0, run.isLast ? 1 : 0 }));
    }
    return json;
}

/** Reads what hostedRunsJson() has written, without the elements that cannot be read. */
std::vector<HostedRun> readHostedRuns(const Json &json)
{
    std::vector<HostedRun> runs;
    for (const auto &row : json.is_array() ? json : Json::array()) {
        const bool isReadable = row.is_array() && row.size() >= 5 && row[0].is_string()
                                && std::all_of(
                                    row.begin() + 1, row.end(), [](const Json &item) { return item.is_number_integer(); });
        if (isReadable) {
            runs.push_back({ row[0].get<std::string>(),
                             row[1].get<std::int64_t>(),
                             row[2].get<std::int64_t>(),
                             row[3].get<int>() != 0,
                             row[4].get<int>() != 0 });
        }
    }
    return runs;
}

/** The checkpoint to store; empty if there is none, or if it is left out. */
std::string shownCheckpoint(const Task &task, RecordDetail detail)
{
    const bool isLeftOut = detail == RecordDetail::Essential
                           || (detail == RecordDetail::ShortCheckpoints && task.checkpoint.size() > maxShortCheckpointBytes);
    return task.isDone || isLeftOut ? std::string() : task.checkpoint;
}

} // namespace

Json TaskRecordCodec::write(const Task &task, RecordDetail detail)
{
    // A short array, since most tasks have had only one start.
    Json json = Json::array({ task.isDone ? 1 : 0, task.lastAttempt, task.failedAttempts });
    const bool hasCrashes = detail != RecordDetail::Essential && !task.isDone
                            && (!task.crashes.crashes().empty() || !task.hostedRuns.empty());
    const auto checkpoint = shownCheckpoint(task, detail);
    if (!checkpoint.empty() || hasCrashes) {
        json.push_back(checkpoint);
    }
    if (hasCrashes) {
        json.push_back(hostedRunsJson(task.crashes.crashes()));
        json.push_back(hostedRunsJson(task.hostedRuns));
    }
    return json;
}

bool TaskRecordCodec::read(const Json &json, Task &task)
{
    const bool isTask = json.is_array() && json.size() >= 3;
    const auto isDone = isTask ? toExactInteger(json[0]) : std::nullopt;
    const auto lastAttempt = isTask ? toExactInteger(json[1]) : std::nullopt;
    if (!isDone || !lastAttempt) {
        return false;
    }
    try {
        Task read;
        read.isDone = *isDone != 0;
        read.lastAttempt = *lastAttempt;
        read.failedAttempts = json[2].get<std::set<std::int64_t>>();
        if (json.size() > 3) {
            read.checkpoint = json[3].get<std::string>();
        }
        if (json.size() > 5) {
            for (const auto &crash : readHostedRuns(json[4])) {
                read.crashes.record(crash);
            }
            read.hostedRuns = readHostedRuns(json[5]);
        }
        task = std::move(read);
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

} // namespace auburndoor
