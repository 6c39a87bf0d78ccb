#include "ownership/OwnershipRows.h"

#include "core/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

std::string InstanceRow::key(const InstanceId &id)
{
    return instanceRowPrefix + id.text();
}

std::string InstanceRow::toText() const
{
    return nlohmann::json {
        { "incarnation", incarnation }, { "address", peerAddress }, { "failureDomain", failureDomain.text() },
        { "region", region.text() },    { "renewal", renewal },     { "leaving", isLeaving }
    }.dump();
}

std::optional<InstanceRow> InstanceRow::fromText(const InstanceId &id, const std::string &text)
{
    try {
        const auto json = parseBoundedJson(text);
        InstanceRow row;
        row.id = id;
        row.incarnation = json.at("incarnation").get<long long>();
        row.peerAddress = json.at("address").get<std::string>();
        row.failureDomain = FailureDomainId(json.at("failureDomain").get<std::string>());
        row.region = RegionId(json.at("region").get<std::string>());
        row.renewal = json.at("renewal").get<long long>();
        row.isLeaving = json.at("leaving").get<bool>();
        return row;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string ShardRow::key(const ShardId &id)
{
    return shardRowPrefix + id.text();
}

std::string ShardRow::toText() const
{
    return nlohmann::json { { "owner", owner.text() }, { "incarnation", incarnation }, { "epoch", epoch } }.dump();
}

std::optional<ShardRow> ShardRow::fromText(const std::string &text)
{
    try {
        const auto json = parseBoundedJson(text);
        ShardRow row;
        row.owner = InstanceId(json.at("owner").get<std::string>());
        row.incarnation = json.at("incarnation").get<long long>();
        row.epoch = json.at("epoch").get<long long>();
        return row;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace auburndoor
