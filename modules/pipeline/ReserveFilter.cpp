#include "pipeline/ReserveFilter.h"

#include "admission/ShareAccounts.h"
#include "fleet/PoolInventory.h"
#include "membership/MembershipView.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestEstimates.h"
#include "pipeline/ServiceQueues.h"
#include "placement/RunTimeEstimator.h"

namespace auburndoor {

namespace {

/** How long a peer is not chosen again after a refusal, so that a newer summary of its capacity has time to arrive. */
constexpr Milliseconds refusalExclusionTime { 200 };

} // namespace

ReserveFilter::ReserveFilter(const ReserveDependencies &dependencies) : dependencies_(dependencies)
{
}

std::optional<Outcome> ReserveFilter::apply(RequestContext &context)
{
    updateEstimates(context);
    if (context.request.hopCount > 0) {
        if (reserveLocally(context)) {
            return std::nullopt;
        }
        return Outcome { OutcomeStatus::NotRun,
                         {},
                         { FailureStep::Reserve,
                           {},
                           FailureReason::NoCapacity,
                           "no worker of this instance has capacity, or the team's quota is used up" },
                         {},
                         {},
                         {} };
    }
    Failure failure;
    auto &queue = dependencies_.queues.queue(*context.service);
    const auto tryStart = [&] { return findCapacity(context); };
    if (queue.wait(makeWaitingEntry(context), tryStart, failure)) {
        return std::nullopt;
    }
    return Outcome { OutcomeStatus::NotRun, {}, failure, {}, {}, {} };
}

/** Sets isLong and shortReservePercent. An owner estimates forwarded requests itself, from the run times on its own workers. */
void ReserveFilter::updateEstimates(RequestContext &context)
{
    if (context.service == nullptr) {
        return;
    }
    const auto &request = context.request;
    context.isLong = dependencies_.estimator.isLong(request.service, request.kind, Milliseconds(0), context.service->longWork);
    const auto slots = dependencies_.inventory.owned(request.service).slots;
    context.shortReservePercent = dependencies_.queues.shortReserve(request.service)
                                      .percent(slots, context.service->shortReservePercent);
}

bool ReserveFilter::reserveLocally(RequestContext &context)
{
    const auto &request = context.request;
    if (!dependencies_.shares.isWithinQuota(request.team, request.need)) {
        return false;
    }
    context.reservation = dependencies_.ledger.reserve(context.placementNeed(),
                                                       { context.task().text(), request.team, request.need, context.isLong });
    if (!context.reservation) {
        return false;
    }
    dependencies_.shares.addUse(request.team, request.need);
    dependencies_.onReserved();
    return true;
}

/** Leaves a request that waits time to run and to ask the worker for its outcome; started later, it would end as Unknown. */
QueueEntry ReserveFilter::makeWaitingEntry(const RequestContext &context) const
{
    constexpr Milliseconds startMargin { 100 };
    const auto &request = context.request;
    auto entry = makeQueueEntry(context, dependencies_.estimator);
    entry.expectedRunTime = dependencies_.estimator.estimate(request.service, request.kind, Milliseconds(0)).p95 + startMargin;
    return entry;
}

bool ReserveFilter::findCapacity(RequestContext &context)
{
    if (dependencies_.ownerSelectionPolicy == OwnerSelectionPolicy::LocalFirst) {
        return reserveLocally(context) || claimPeerPlace(context);
    }
    return findCapacityByPolicy(context);
}

/** Chooses between this instance and its peers by their counts of free places, which may be out of date. */
bool ReserveFilter::findCapacityByPolicy(RequestContext &context)
{
    const auto need = context.placementNeed();
    const auto peers = dependencies_.members.rooms(need.service, findExcludedPeers(context));
    std::vector<OwnerCapacity> owners { { dependencies_.ledger.freePlaces(need), dependencies_.ledger.partialPlaces(need), true } };
    for (const auto &peer : peers) {
        owners.push_back(peer.room);
    }
    const auto chosen = chooseOwner(owners, dependencies_.ownerSelectionPolicy);
    if (!chosen) {
        return false;
    }
    if (*chosen == 0) {
        return reserveLocally(context) || claimPeerPlace(context);
    }
    const auto &peer = peers[*chosen - 1].peer;
    if (!dependencies_.members.claimPlaceAt(peer, need.service)) {
        return reserveLocally(context);
    }
    context.forwardTo = peer;
    return true;
}

bool ReserveFilter::claimPeerPlace(RequestContext &context)
{
    const auto peer = dependencies_.members.claimPlace(context.request.service, findExcludedPeers(context));
    if (!peer) {
        return false;
    }
    context.forwardTo = *peer;
    return true;
}

std::set<InstanceId> ReserveFilter::findExcludedPeers(const RequestContext &context) const
{
    std::set<InstanceId> excluded;
    const auto now = dependencies_.clock.now();
    for (const auto &[id, refusalTime] : context.peerRefusals) {
        if (now - refusalTime < refusalExclusionTime) {
            excluded.insert(id);
        }
    }
    return excluded;
}

} // namespace auburndoor
