#include "worker/WorkerMessages.h"

#include "core/BoundedJson.h"
#include "core/JsonBytes.h"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>

namespace auburndoor {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 6> stateNames { "unknown", "running", "done", "failed", "stopped", "never-started" };

/**
    Sets a field unless it has the default value, which a reader assumes for an absent field.

    Renewals are a large part of an instance's control traffic, and most fields of their orders and reports are unused.
*/
template<typename Value>
void setUnlessDefault(Json &json, const char *key, const Value &value)
{
    if (value != Value {}) {
        json[key] = value;
    }
}

Json toJson(const Resources &resources)
{
    Json json = Json::object();
    setUnlessDefault(json, "milliCores", resources.milliCores);
    setUnlessDefault(json, "memoryMiB", resources.memoryMiB);
    setUnlessDefault(json, "accelerators", resources.accelerators);
    setUnlessDefault(json, "slots", resources.slots);
    setUnlessDefault(json, "connections", resources.connections);
    return json;
}

void setResources(Json &json, const char *key, const Resources &resources)
{
    if (auto value = toJson(resources); !value.empty()) {
        json[key] = std::move(value);
    }
}

/** Reads amounts, of which absent ones are zero. Throws std::out_of_range if one is no number or no valid amount. */
Resources toResources(const Json &json)
{
    const auto read = [&json](const char *key) {
        const auto found = json.find(key);
        return found == json.end() ? std::int64_t(0) : toExactInteger(*found).value_or(-1);
    };
    const Resources resources { read("milliCores"), read("memoryMiB"), read("accelerators"), read("slots"), read("connections") };
    if (!resources.isValid()) {
        throw std::out_of_range("an amount of a resource is out of range");
    }
    return resources;
}

Json toJson(const TaskStatus &task)
{
    Json json { { "task", task.id.text() }, { "state", name(task.state) } };
    setResources(json, "need", task.need);
    setUnlessDefault(json, "team", task.team.text());
    setResources(json, "measuredUse", task.measuredUse);
    setBytes(json, "answer", task.answer);
    return json;
}

TaskStatus toTask(const Json &json)
{
    TaskStatus task;
    task.id = TaskId(json.at("task").get<std::string>());
    const auto state = taskState(json.at("state").get<std::string>());
    if (!state) {
        throw std::invalid_argument("unknown task state");
    }
    task.state = *state;
    task.need = toResources(json.value("need", Json::object()));
    task.team = TeamId(json.value("team", std::string()));
    task.answer = bytesOf(json, "answer");
    task.measuredUse = toResources(json.value("measuredUse", Json::object()));
    return task;
}

/** The fields that a renewal reports of a task, without those that the owner knows. */
Json toRenewalJson(const TaskStatus &task)
{
    Json json { { "task", task.id.text() }, { "state", name(task.state) } };
    setResources(json, "measuredUse", task.measuredUse);
    return json;
}

/** The reason of that name; BadReply if there is none. */
FailureReason parseFailureReason(std::string_view text)
{
    for (int value = 0; value <= static_cast<int>(FailureReason::OutcomeUnknown); ++value) {
        if (name(static_cast<FailureReason>(value)) == text) {
            return static_cast<FailureReason>(value);
        }
    }
    return FailureReason::BadReply;
}

/** Parses the text and applies a function that reads its fields; empty if a field is missing or has the wrong type. */
template<typename Read>
auto decode(const std::string &text, Read read) -> std::optional<decltype(read(Json()))>
{
    const auto json = parseBoundedJson(text);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        return read(json);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string_view name(TaskState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::optional<TaskState> taskState(std::string_view name)
{
    for (std::size_t index = 0; index < stateNames.size(); ++index) {
        if (stateNames[index] == name) {
            return static_cast<TaskState>(index);
        }
    }
    return std::nullopt;
}

std::string encode(const WorkerCommand &order)
{
    const auto latestStartMs = std::chrono::duration_cast<Milliseconds>(order.task.latestStart.time_since_epoch());
    Json json { { "worker", order.worker.text() } };
    setUnlessDefault(json, "owner", order.owner.text());
    setUnlessDefault(json, "task", order.task.id.text());
    setUnlessDefault(json, "epoch", order.task.epoch);
    setUnlessDefault(json, "team", order.task.team.text());
    setUnlessDefault(json, "service", order.task.service.text());
    setResources(json, "need", order.task.need);
    setUnlessDefault(json, "latestStartMs", latestStartMs.count());
    setUnlessDefault(json, "leaseMs", order.task.lease.count());
    setUnlessDefault(json, "waitMs", order.wait.count());
    setUnlessDefault(json, "percent", order.percent);
    setUnlessDefault(json, "mark", order.mark);
    setBytes(json, "body", order.task.body);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encode(const TaskStatus &task)
{
    return toJson(task).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encode(const MarkedReport &report, ReportKind kind)
{
    Json tasks = Json::array();
    for (const auto &task : report.report.tasks) {
        tasks.push_back(kind == ReportKind::Claim ? toJson(task) : toRenewalJson(task));
    }
    return Json {
        { "worker", report.worker.text() },
        { "capacity", toJson(report.report.capacity) },
        { "tasks", tasks },
        { "mark", report.mark }
    }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encode(const WorkerRefusal &refusal)
{
    return Json { { "task", refusal.task.text() }, { "reason", name(refusal.reason) }, { "message", refusal.message } }.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

std::optional<WorkerCommand> decodeCommand(const std::string &text)
{
    return decode(text, [](const Json &json) {
        WorkerCommand order;
        order.worker = WorkerId(json.at("worker").get<std::string>());
        order.owner = InstanceId(json.value("owner", std::string()));
        order.task.id = TaskId(json.value("task", std::string()));
        order.task.epoch = json.value("epoch", Epoch {});
        order.task.team = TeamId(json.value("team", std::string()));
        order.task.service = ServiceId(json.value("service", std::string()));
        order.task.need = toResources(json.value("need", Json::object()));
        order.task.latestStart = WallTime(Milliseconds(json.value("latestStartMs", 0LL)));
        order.task.lease = Milliseconds(json.value("leaseMs", 0LL));
        order.task.body = bytesOf(json, "body");
        order.wait = Milliseconds(json.value("waitMs", 0LL));
        order.percent = json.value("percent", 0);
        order.mark = json.value("mark", 0LL);
        return order;
    });
}

std::optional<TaskStatus> decodeTask(const std::string &text)
{
    return decode(text, [](const Json &json) { return toTask(json); });
}

std::optional<MarkedReport> decodeReport(const std::string &text)
{
    return decode(text, [](const Json &json) {
        MarkedReport report;
        report.worker = WorkerId(json.at("worker").get<std::string>());
        report.report.capacity = toResources(json.at("capacity"));
        for (const auto &task : json.at("tasks")) {
            report.report.tasks.push_back(toTask(task));
        }
        report.mark = json.value("mark", 0LL);
        return report;
    });
}

std::optional<WorkerRefusal> decodeRefusal(const std::string &text)
{
    return decode(text, [](const Json &json) {
        return WorkerRefusal { TaskId(json.value("task", std::string())),
                               parseFailureReason(json.at("reason").get<std::string>()),
                               json.value("message", std::string()) };
    });
}

} // namespace auburndoor
