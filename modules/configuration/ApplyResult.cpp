#include "configuration/ApplyResult.h"

#include "core/Failure.h"
#include "core/WallTimeText.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

using Json = nlohmann::ordered_json;

namespace {

std::string dump(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json toJsonValue(const Failure &failure)
{
    return {
        { "step", name(failure.step) }, { "peer", failure.peer }, { "reason", name(failure.reason) }, { "message", failure.message }
    };
}

Json toJsonArray(const std::vector<InstanceId> &instances)
{
    auto list = Json::array();
    for (const auto &instance : instances) {
        list.push_back(instance.text());
    }
    return list;
}

void addVersion(Json &value, const ApplyResult &result)
{
    value["version"] = result.version;
    value["digest"] = result.digest;
    value["operator"] = result.operatorName;
    value["time"] = toText(result.time);
    if (result.hasDifferences) {
        value.update(Json::parse(toJson(result.differences)));
    }
}

} // namespace

std::string name(ApplyStatus status)
{
    switch (status) {
    case ApplyStatus::Accepted:
        return "accepted";
    case ApplyStatus::Invalid:
        return "invalid";
    case ApplyStatus::Conflict:
        return "conflict";
    case ApplyStatus::Refused:
        return "refused";
    case ApplyStatus::Unknown:
        break;
    }
    return "unknown";
}

int httpStatus(ApplyStatus status)
{
    switch (status) {
    case ApplyStatus::Accepted:
        return 200;
    case ApplyStatus::Invalid:
        return 422;
    case ApplyStatus::Conflict:
        return 409;
    case ApplyStatus::Refused:
        return 503;
    case ApplyStatus::Unknown:
        break;
    }
    return 504;
}

std::string toJson(const ApplyResult &result, const Failure &failure)
{
    Json value { { "status", name(result.status) } };
    switch (result.status) {
    case ApplyStatus::Accepted:
        addVersion(value, result);
        value["confirmed"] = toJsonArray(result.confirmed);
        value["unconfirmed"] = toJsonArray(result.unconfirmed);
        break;
    case ApplyStatus::Invalid:
        value.update(Json::parse(toJson(result.problems)));
        break;
    case ApplyStatus::Conflict:
        addVersion(value, result);
        break;
    case ApplyStatus::Refused:
    case ApplyStatus::Unknown:
        value["error"] = toJsonValue(failure);
        break;
    }
    if (!result.transaction.empty()) {
        value["transaction"] = result.transaction;
    }
    return dump(value);
}

int httpStatus(const PlanResult &result)
{
    return result.problems.empty() ? 200 : 422;
}

std::string toJson(const PlanResult &result)
{
    if (!result.problems.empty()) {
        return toJson(result.problems);
    }
    Json value { { "version", result.version } };
    value.update(Json::parse(toJson(result.differences)));
    return dump(value);
}

std::string toJson(const Failure &failure)
{
    return dump(Json { { "error", toJsonValue(failure) } });
}

} // namespace auburndoor
