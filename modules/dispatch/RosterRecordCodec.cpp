#include "dispatch/RosterRecordCodec.h"

#include "core/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

// Times of the store's clock stay far from the limits of their type when they are converted.
constexpr std::int64_t maxTime = 1'000'000'000'000'000;

/** Empty unless the value is a time of the store's clock. */
std::optional<Milliseconds> readTime(const Json &value)
{
    const auto number = toExactInteger(value);
    return number && *number >= 0 && *number <= maxTime ? std::optional(Milliseconds(*number)) : std::nullopt;
}

/** As above, of a member that may be absent. */
std::optional<Milliseconds> readTime(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found == json.end() ? std::nullopt : readTime(*found);
}

/** Reads [fencing token, time]; empty if it is absent or cannot be read. */
std::optional<HandedOverLease> readHandedOverLease(const Json &json)
{
    const auto found = json.find("leases");
    if (found == json.end() || !found->is_array() || found->size() != 2) {
        return std::nullopt;
    }
    const auto token = toExactInteger((*found)[0]);
    const auto endsBy = readTime((*found)[1]);
    return token && endsBy ? std::optional(HandedOverLease { *token, *endsBy }) : std::nullopt;
}

void putTime(Json &json, const char *key, const std::optional<Milliseconds> &time)
{
    if (time) {
        json[key] = time->count();
    }
}

} // namespace

std::string RosterRecordCodec::write(const WorkerEntry &entry)
{
    Json json { { "service", entry.service }, { "address", entry.address.text() }, { "born", entry.incarnation } };
    if (entry.isDraining || entry.handedOverLease) {
        json["as_of"] = entry.timesAsOf;
    }
    if (entry.isDraining) {
        json["draining"] = true;
        if (entry.reportNumber) {
            json["reports"] = *entry.reportNumber;
        }
        putTime(json, "reported", entry.reportedAfter);
        putTime(json, "missing", entry.missingAt);
    }
    if (entry.handedOverLease) {
        json["leases"] = Json::array({ entry.handedOverLease->fencingToken, entry.handedOverLease->endsBy.count() });
    }
    if (!entry.earlierServices.empty()) {
        json["earlier"] = entry.earlierServices;
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<WorkerEntry> RosterRecordCodec::read(const std::string &id, const std::string &text)
{
    const auto json = parseBoundedJson(text);
    try {
        const auto address = Address::parse(json.at("address").get<std::string>());
        if (!address || !address->hasPort()) {
            return std::nullopt;
        }
        WorkerEntry entry;
        entry.id = id;
        entry.service = json.at("service").get<std::string>();
        entry.earlierServices = json.value("earlier", std::set<std::string>());
        entry.isDraining = json.value("draining", false);
        if (const auto asOf = json.find("as_of"); asOf != json.end()) {
            entry.timesAsOf = toExactInteger(*asOf).value_or(0);
        }
        if (const auto reports = json.find("reports"); reports != json.end()) {
            entry.reportNumber = toExactInteger(*reports);
        }
        entry.reportedAfter = readTime(json, "reported");
        entry.missingAt = readTime(json, "missing");
        entry.handedOverLease = readHandedOverLease(json);
        entry.address = *address;
        if (const auto born = json.find("born"); born != json.end()) {
            const auto incarnation = toExactInteger(*born);
            if (!incarnation) {
                return std::nullopt;
            }
            entry.incarnation = *incarnation;
        }
        return entry;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace auburndoor
