#include "configuration/ConfigurationHead.h"

#include "core/BoundedJson.h"
#include "core/Failure.h"
#include "core/WallTimeText.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

std::string ConfigurationHead::rowValue() const
{
    return nlohmann::json {
        { "version", version },
        { "digest", digest },
        { "operator", operatorName },
        { "timeMs", toMilliseconds(time) },
        { "transaction", transaction }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ConfigurationHead> ConfigurationHead::parse(const TableRow &row, Failure &failure)
{
    ConfigurationHead head;
    head.rowVersion = row.version;
    if (row.version == 0) {
        return head;
    }
    try {
        const auto value = parseBoundedJson(row.value);
        head.version = value.at("version").get<long long>();
        head.digest = value.at("digest").get<std::string>();
        head.operatorName = value.at("operator").get<std::string>();
        head.time = wallTimeOf(value.at("timeMs").get<long long>());
        head.transaction = value.at("transaction").get<std::string>();
        return head;
    } catch (const nlohmann::json::exception &error) {
        failure = { FailureStep::ReadTable,
                    "table",
                    FailureReason::BadReply,
                    "row configuration/head is malformed: " + std::string(error.what()) };
        return std::nullopt;
    }
}

} // namespace auburndoor
