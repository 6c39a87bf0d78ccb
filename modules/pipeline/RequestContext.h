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

/** The fields of a caller's call as received, before they are checked. */
struct IncomingCall
{
    /** The token that the caller presented. Never logged. */
    std::string token;
    std::string service;
    std::string kind;
    std::string priority;
    std::string idempotencyKey;
    /** Time that the caller allows for the answer, in milliseconds as text; empty for the service's default deadline. */
    std::string timeout;
    std::string body;
    /** Time that the call has spent in this instance before it was read; counts against the timeout. */
    Milliseconds waited { 0 };
};

/** The record of a non-repeatable request that this instance has claimed. */
struct ClaimedRecord
{
    std::string key;
    /** Version of the row as claimed. */
    long long version = 0;
};

/** What the filters know of one request and pass on to each other. Used by one thread at a time. */
struct RequestContext
{
    IncomingCall call;
    Request request;
    /** The configuration in force when the request arrived; the same for all its filters. */
    std::shared_ptr<const VersionedDeclaration> configuration;
    /** Points into the configuration. */
    const ServiceDeclaration *service = nullptr;

    /** The number of the current attempt, from 1; 0 before the first. */
    int attempt = 0;
    /** True if the run-time estimate expects the request to run long. */
    bool isLong = false;
    /** Share of an accelerator pool's slots that long work may not fill at present, in percent. */
    int shortReservePercent = 0;
    /** Set by ReserveFilter: the capacity reserved on a worker of this instance. */
    std::optional<Reservation> reservation;
    /** Set by ReserveFilter: the peer that is to execute the request. */
    InstanceId forwardTo;
    /** The time at which each peer last refused this request for lack of capacity. */
    std::map<InstanceId, TimePoint> peerRefusals;
    /** Set by IdempotencyFilter. */
    std::optional<ClaimedRecord> record;
    /** When the task was started on a worker. */
    TimePoint started;

    /** The request's need in the form that the placer takes. */
    PlacementNeed placementNeed() const
    {
        return { request.service, request.need, isLong, shortReservePercent, {} };
    }

    /** The identifier of the current attempt's task. */
    TaskId task() const
    {
        return TaskId(request.id.text() + "." + std::to_string(request.hopCount) + "." + std::to_string(attempt));
    }
};

} // namespace auburndoor
