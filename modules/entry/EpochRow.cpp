#include "entry/EpochRow.h"

#include "core/BoundedJson.h"
#include "observability/EventLog.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

// The attempts that an owner numbers in the range of its token fit into the integers that a double holds.
constexpr std::int64_t maxToken = 1'000'000'000'000;

} // namespace

std::string EpochRow::toText() const
{
    return nlohmann::json { { "token", token }, { "owner", owner }, { "address", address } }.dump();
}

EpochRow EpochRow::read(const StoreRow &stored)
{
    const auto json = parseBoundedJson(stored.value);
    try {
        const auto token = toExactInteger(json.at("token"));
        if (token && *token >= 0 && *token <= maxToken) {
            return { *token, json.at("owner").get<std::string>(), json.at("address").get<std::string>() };
        }
    } catch (const nlohmann::json::exception &) {
        // Logged below.
    }
    EventLog::write("record.unreadable", { { "table", stored.table }, { "version", stored.version } });
    // Each token was written by a transaction of its own, so that none is above the version of the row.
    return { stored.version, {}, {} };
}

} // namespace auburndoor
