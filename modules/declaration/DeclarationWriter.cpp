#include "declaration/DeclarationWriter.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

const char *nameOf(Priority priority)
{
    switch (priority) {
    case Priority::Urgent:
        return "urgent";
    case Priority::Normal:
        return "normal";
    case Priority::Background:
        break;
    }
    return "background";
}

const char *nameOf(JobKind kind)
{
    switch (kind) {
    case JobKind::Batch:
        return "batch";
    case JobKind::Gang:
        return "gang";
    case JobKind::Service:
        break;
    }
    return "service";
}

Json toValue(const Resources &amounts)
{
    return { { "milliCores", amounts.milliCores },
             { "memoryMiB", amounts.memoryMiB },
             { "accelerators", amounts.accelerators },
             { "slots", amounts.slots },
             { "connections", amounts.connections } };
}

Json toValue(const ServiceDeclaration &service)
{
    return { { "need", toValue(service.need) },
             { "priority", nameOf(service.priority) },
             { "defaultDeadlineMs", service.defaultDeadline.count() },
             { "maximumDeadlineMs", service.maximumDeadline.count() },
             { "repeatable", service.isRepeatable },
             { "nonRepeatableKinds", service.nonRepeatableKinds },
             { "queueLimit", service.queueLimit },
             { "shortReservePercent", service.shortReservePercent },
             { "longWorkMs", service.longWork.count() } };
}

Json toValue(const TeamDeclaration &team)
{
    return { { "tokenDigest", team.tokenDigest }, { "weight", team.weight }, { "quota", toValue(team.quota) } };
}

Json toValue(const JobDeclaration &job)
{
    return { { "kind", nameOf(job.kind) },
             { "team", job.team.text() },
             { "service", job.service.text() },
             { "taskCount", job.taskCount },
             { "need", toValue(job.need) },
             { "priority", nameOf(job.priority) },
             { "body", job.body },
             { "maximumAttempts", job.maximumAttempts } };
}

template<typename Items>
Json toValues(const Items &items)
{
    auto values = Json::object();
    for (const auto &[id, item] : items) {
        values[id.text()] = toValue(item);
    }
    return values;
}

} // namespace

void DeclarationWriter::fill(Json &target, const Declaration &declaration)
{
    target = Json::object();
    target["services"] = toValues(declaration.services);
    target["teams"] = toValues(declaration.teams);
    target["jobs"] = toValues(declaration.jobs);
}

std::string DeclarationWriter::write(const Declaration &declaration)
{
    Json value;
    fill(value, declaration);
    return value.dump(2) + "\n";
}

std::string DeclarationWriter::write(const JobDeclaration &job)
{
    return toValue(job).dump();
}

} // namespace auburndoor
