#include "storage/HttpInstanceDirectory.h"

#include "core/BoundedJson.h"
#include "core/Failure.h"
#include "core/JsonFields.h"
#include "observability/Log.h"
#include "storage/PlatformConnection.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

using nlohmann::json;

namespace {

Resources readCapacity(const json &source)
{
    const auto read = [&source](const char *name) {
        // A number that is no amount makes the capacity invalid.
        return toExactInteger(source.at(name)).value_or(-1);
    };
    return { read("milliCores"), read("memoryMiB"), read("accelerators"), read("slots"), read("connections") };
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

/** Reads an entry of the list. @return false if it describes no usable worker; its id is set if that can be read */
bool readWorker(const json &entry, ListedWorker &worker)
{
    try {
        worker.id = WorkerId(entry.at("id").get<std::string>());
        worker.address = entry.at("address").get<std::string>();
        worker.service = ServiceId(entry.at("service").get<std::string>());
        worker.failureDomain = FailureDomainId(entry.at("failureDomain").get<std::string>());
        worker.region = RegionId(entry.at("region").get<std::string>());
        worker.capacity = readCapacity(entry.at("capacity"));
        return readState(entry.at("state").get<std::string>(), worker.state) && isEndpoint(worker.address)
               && worker.capacity.isValid();
    } catch (const json::exception &) {
        return false;
    }
}

/** Reads the list. Another writer may have left an odd entry: that one names no worker to use, and the others hold. */
bool readListing(const json &source, WorkerListing &listing)
{
    const auto cursor = toExactInteger(source.at("cursor"));
    const auto &entries = source.at("workers");
    if (!cursor || !entries.is_array()) {
        return false;
    }
    listing = {};
    listing.cursor = *cursor;
    for (const auto &entry : entries) {
        ListedWorker worker;
        if (!readWorker(entry, worker)) {
            Log::warning("worker-entry-malformed", { { "worker", worker.id.text() } });
            worker.state = ListedState::Gone;
        }
        if (!worker.id.isEmpty()) {
            listing.changed.push_back(std::move(worker));
        }
    }
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
            // Not bounded in depth: a value that is nested too deeply spoils its own entry only. Nothing copies or compares it.
            const auto source = json::parse(reply.body);
            return readListing(source, listing);
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
