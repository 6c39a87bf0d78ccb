#include "storage/HttpInstanceDirectory.h"

#include "core/Failure.h"
#include "storage/PlatformConnection.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

using nlohmann::json;

namespace {

Resources readCapacity(const json &source)
{
    return {
        source.at("milliCores"), source.at("memoryMiB"), source.at("accelerators"), source.at("slots"), source.at("connections")
    };
}

bool readState(const std::string &text, ListedState &state)
{
    if (text == "live") {
        state = ListedState::Live;
    } else if (text == "leaving") {
        state = ListedState::Leaving;
    } else if (text == "gone") {
        state = ListedState::Gone;
    } else {
        return false;
    }
    return true;
}

bool readListing(const json &source, WorkerListing &listing)
{
    listing = {};
    for (const auto &entry : source.at("workers")) {
        ListedWorker worker;
        worker.id = WorkerId(entry.at("id"));
        worker.address = entry.at("address");
        worker.service = ServiceId(entry.at("service"));
        worker.failureDomain = FailureDomainId(entry.at("failureDomain"));
        worker.region = RegionId(entry.at("region"));
        worker.capacity = readCapacity(entry.at("capacity"));
        if (!readState(entry.at("state"), worker.state) || !worker.capacity.isValid()) {
            return false;
        }
        listing.changed.push_back(std::move(worker));
    }
    listing.cursor = source.at("cursor");
    return true;
}

} // namespace

HttpInstanceDirectory::HttpInstanceDirectory(PlatformConnection &connection) : connection_(connection)
{
}

std::optional<WorkerListing> HttpInstanceDirectory::changesSince(long long cursor, TimePoint deadline, Failure &failure)
{
    WorkerListing listing;
    bool mayHaveArrived = false;
    const auto reader = [&listing](const HttpReply &reply) {
        try {
            return readListing(json::parse(reply.body), listing);
        } catch (const json::exception &) {
            return false;
        }
    };
    const PlatformCall call { "GET", "/v1/workers?since=" + std::to_string(cursor), {}, FailureStep::ListInstances };
    if (!connection_.call(call, deadline, reader, mayHaveArrived, failure)) {
        return std::nullopt;
    }
    return listing;
}

} // namespace auburndoor
