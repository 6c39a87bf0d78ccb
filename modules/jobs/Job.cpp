#include "jobs/Job.h"

#include "core/BoundedJson.h"
#include "core/JsonBytes.h"

#include <nlohmann/json.hpp>

#include <array>

namespace auburndoor {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 4> taskPhaseNames { "waiting", "assigned", "done", "cancelled" };
constexpr std::array<std::string_view, 6> jobPhaseNames { "active", "cancelling", "failing", "done", "failed", "cancelled" };
constexpr std::array<std::string_view, 3> kindNames { "batch", "gang", "service" };
constexpr std::array<std::string_view, 3> priorityNames { "urgent", "normal", "background" };

template<typename Enum, std::size_t size>
Enum parseName(const std::array<std::string_view, size> &names, const std::string &text)
{
    for (std::size_t index = 0; index < size; ++index) {
        if (names[index] == text) {
            return static_cast<Enum>(index);
        }
    }
    throw std::invalid_argument("unknown name " + text);
}

template<typename Enum, std::size_t size>
std::string_view getName(const std::array<std::string_view, size> &names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

Json toJson(const JobDeclaration &declaration)
{
    const auto &need = declaration.need;
    Json json { { "id", declaration.id.text() },
                { "kind", getName(kindNames, declaration.kind) },
                { "team", declaration.team.text() },
                { "service", declaration.service.text() },
                { "taskCount", declaration.taskCount },
                { "need", Json::array({ need.milliCores, need.memoryMiB, need.accelerators, need.slots, need.connections }) },
                { "priority", getName(priorityNames, declaration.priority) },
                { "maximumAttempts", declaration.maximumAttempts } };
    setBytes(json, "body", declaration.body);
    return json;
}

JobDeclaration parseDeclaration(const Json &json)
{
    const auto need = json.at("need").get<std::array<std::int64_t, 5>>();
    JobDeclaration declaration;
    declaration.id = JobId(json.at("id").get<std::string>());
    declaration.kind = parseName<JobKind>(kindNames, json.at("kind").get<std::string>());
    declaration.team = TeamId(json.at("team").get<std::string>());
    declaration.service = ServiceId(json.at("service").get<std::string>());
    declaration.taskCount = json.at("taskCount").get<int>();
    declaration.need = { need[0], need[1], need[2], need[3], need[4] };
    declaration.priority = parseName<Priority>(priorityNames, json.at("priority").get<std::string>());
    declaration.maximumAttempts = json.at("maximumAttempts").get<int>();
    declaration.body = bytesOf(json, "body");
    return declaration;
}

/** Omits the values that a new task has, which keeps the row of a large waiting job small. */
Json toJson(const TaskRecord &task)
{
    Json json = Json::object();
    if (task.assignments > 0) {
        json = { { "phase", name(task.phase) },
                 { "assignments", task.assignments },
                 { "worker", task.worker.text() },
                 { "owner", task.owner.text() } };
    } else if (task.phase != TaskPhase::Waiting) {
        json["phase"] = name(task.phase);
    }
    if (task.failures > 0) {
        json["failures"] = task.failures;
    }
    setBytes(json, "answer", task.answer);
    return json;
}

TaskRecord parseTask(const Json &json)
{
    TaskRecord task;
    task.phase = parseName<TaskPhase>(taskPhaseNames, json.value("phase", std::string("waiting")));
    task.assignments = json.value("assignments", 0);
    task.failures = json.value("failures", 0);
    task.worker = WorkerId(json.value("worker", std::string()));
    task.owner = InstanceId(json.value("owner", std::string()));
    task.answer = bytesOf(json, "answer");
    return task;
}

long long toUnixMs(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

} // namespace

bool Job::hasEnded() const
{
    return phase == JobPhase::Done || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

bool Job::isEnding() const
{
    return phase == JobPhase::Cancelling || phase == JobPhase::Failing;
}

TaskId Job::taskId(std::size_t index) const
{
    return TaskId(declaration.id.text() + "/" + std::to_string(index) + "/" + std::to_string(tasks[index].assignments));
}

bool Job::isRecordedAs(const Job &other) const
{
    return phase == other.phase && tasks == other.tasks && reason == other.reason;
}

Job makeJob(const ShardId &shard, const JobDeclaration &declaration, WallTime submitted)
{
    Job job;
    job.shard = shard;
    job.declaration = declaration;
    job.tasks.resize(static_cast<std::size_t>(declaration.taskCount));
    job.submitted = submitted;
    return job;
}

std::string_view name(TaskPhase phase)
{
    return getName(taskPhaseNames, phase);
}

std::string_view name(JobPhase phase)
{
    return getName(jobPhaseNames, phase);
}

std::string encode(const Job &job)
{
    Json tasks = Json::array();
    for (const auto &task : job.tasks) {
        tasks.push_back(toJson(task));
    }
    const Json json { { "shard", job.shard.text() },
                      { "declaration", toJson(job.declaration) },
                      { "phase", name(job.phase) },
                      { "tasks", tasks },
                      { "submittedMs", toUnixMs(job.submitted) },
                      { "endedMs", toUnixMs(job.ended) },
                      { "reason", job.reason } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Job> decodeJob(const std::string &text)
{
    const auto json = parseBoundedJson(text);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        Job job;
        job.shard = ShardId(json.at("shard").get<std::string>());
        job.declaration = parseDeclaration(json.at("declaration"));
        job.phase = parseName<JobPhase>(jobPhaseNames, json.at("phase").get<std::string>());
        for (const auto &task : json.at("tasks")) {
            job.tasks.push_back(parseTask(task));
        }
        job.submitted = WallTime(Milliseconds(json.at("submittedMs").get<long long>()));
        job.ended = WallTime(Milliseconds(json.at("endedMs").get<long long>()));
        job.reason = json.at("reason").get<std::string>();
        const bool hasAllTasks = static_cast<int>(job.tasks.size()) == job.declaration.taskCount;
        return hasAllTasks ? std::optional(std::move(job)) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

bool isSameDeclaration(const JobDeclaration &one, const JobDeclaration &other)
{
    return toJson(one) == toJson(other);
}

} // namespace auburndoor
