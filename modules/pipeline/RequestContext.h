#pragma once

#include "core/Identifier.h"
#include "declaration/Declaration.h"
#include "pipeline/Request.h"
#include "placement/CapacityLedger.h"

#include <map>
#include <memory>
#include <optional>

#include <string>

namespace auburndoor {

/** A caller's request as it came in, before it is checked. */
struct IncomingCall
{
    /** The token that the caller presented. Never logged. */
    std::string token;
    std::string service;
    std::string kind;
    std::string priority;
    std::string idempotencyKey;
    /** Time that the caller gives, in milliseconds as text; empty for the service's default. */
    std::string timeout;
    std::string body;
    /** Time that the call has spent in this instance before it was read; it counts against the timeout. */
    Milliseconds waited { 0 };
};

/** The record of a non-repeatable request that this instance has claimed. */
struct ClaimedRecord
{
    std::string key;
    /** Version of the row as claimed. */
    long long version = 0;
};

/** All that is known of one request while it passes the filters. Used by one thread. */
struct RequestContext
{
    IncomingCall call;
    Request request;
    /** The configuration in force when the request arrived; the same for all its filters. */
    std::shared_ptr<const VersionedDeclaration> configuration;
    /** Points into the configuration. */
    const ServiceDeclaration *service = nullptr;

    /** Counts the attempts, from 1. */
    int attempt = 0;
    /** True if the run-time estimate says that it will run long. */
    bool isLong = false;
    /** Share of an accelerator pool's slots that long work may not fill now, in percent. */
    int shortReservePercent = 0;
    /** Set by Reserve: room on a worker of this instance. */
    std::optional<Reservation> reservation;
    /** Set by Reserve: the peer that has room. */
    InstanceId forwardTo;
    /** Peers that refused for want of room, with the time of the refusal. */
    std::map<InstanceId, TimePoint> fullPeers;
    /** Set by Record. */
    std::optional<ClaimedRecord> record;
    /** When the task was started on a worker. */
    TimePoint started;

    /** What the placer is told of the request. */
    PlacementNeed placementNeed() const
    {
        return { request.service, request.need, isLong, shortReservePercent, {} };
    }

    /** The identifier of the present attempt's task. */
    TaskId task() const
    {
        return TaskId(request.id.text() + "." + std::to_string(request.hopCount) + "." + std::to_string(attempt));
    }
};

} // namespace auburndoor
