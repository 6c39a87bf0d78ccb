#include "pipeline/ReserveFilter.h"

#include "admission/ShareAccounts.h"
#include "fleet/PoolInventory.h"
#include "membership/MembershipView.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestNeeds.h"
#include "pipeline/ServiceQueues.h"
#include "placement/RunTimeEstimator.h"

namespace auburndoor {

namespace {

/** After a refusal a peer is left out until a newer summary of it has had time to arrive. */
constexpr Milliseconds refusalMemory { 200 };

} // namespace

ReserveFilter::ReserveFilter(const ReserveDependencies &parts) : parts_(parts)
{
}

std::optional<Outcome> ReserveFilter::apply(RequestContext &context)
{
    describePlacement(context);
    if (context.request.hopCount > 0) {
        if (reserveHere(context)) {
            return std::nullopt;
        }
        return Outcome { OutcomeStatus::NotRun,
                         {},
                         { FailureStep::Reserve, {}, FailureReason::NoCapacity, "no worker of this instance has room" },
                         {},
                         {},
                         {} };
    }
    Failure failure;
    auto &queue = parts_.queues.queue(*context.service);
    const auto tryStart = [&] { return findRoom(context); };
    if (queue.wait(waitingEntry(context), tryStart, failure)) {
        return std::nullopt;
    }
    return Outcome { OutcomeStatus::NotRun, {}, failure, {}, {}, {} };
}

/** An owner judges the length of forwarded work itself, since its estimates come from its own workers. */
void ReserveFilter::describePlacement(RequestContext &context)
{
    if (context.service == nullptr) {
        return;
    }
    const auto &request = context.request;
    context.isLong = parts_.estimator.isLong(request.service, request.kind, Milliseconds(0), context.service->longWork);
    const auto slots = parts_.inventory.owned(request.service).slots;
    context.shortReservePercent = parts_.queues.shortReserve(request.service).percent(slots, context.service->shortReservePercent);
}

bool ReserveFilter::reserveHere(RequestContext &context)
{
    const auto &request = context.request;
    if (!parts_.shares.isWithinQuota(request.team, request.need)) {
        return false;
    }
    context.reservation = parts_.ledger.reserve(context.placementNeed(),
                                                { context.task().text(), request.team, request.need, context.isLong });
    if (!context.reservation) {
        return false;
    }
    parts_.shares.addUse(request.team, request.need);
    parts_.onReserved();
    return true;
}

/** A request that waited is started only with time left for a run and for reading its fate back; else its caller would be told
 * "unknown". */
QueueEntry ReserveFilter::waitingEntry(const RequestContext &context) const
{
    constexpr Milliseconds startMargin { 100 };
    const auto &request = context.request;
    auto entry = queueEntryOf(context, parts_.estimator);
    entry.expectedRunTime = parts_.estimator.estimate(request.service, request.kind, Milliseconds(0)).p95 + startMargin;
    return entry;
}

bool ReserveFilter::findRoom(RequestContext &context)
{
    if (parts_.rule == OwnerSelectionPolicy::LocalFirst) {
        return reserveHere(context) || claimAtPeer(context);
    }
    return findTightestRoom(context);
}

/** Chooses among this instance and its peers by their counts of free places; the counts may have changed when the choice is made.
 */
bool ReserveFilter::findTightestRoom(RequestContext &context)
{
    const auto need = context.placementNeed();
    const auto peers = parts_.members.rooms(need.service, fullPeers(context));
    std::vector<OwnerCapacity> owners { { parts_.ledger.freePlaces(need), parts_.ledger.partialPlaces(need), true } };
    for (const auto &peer : peers) {
        owners.push_back(peer.room);
    }
    const auto chosen = chooseOwner(owners, parts_.rule);
    if (!chosen) {
        return false;
    }
    if (*chosen == 0) {
        return reserveHere(context) || claimAtPeer(context);
    }
    const auto &peer = peers[*chosen - 1].peer;
    if (!parts_.members.claimPlaceAt(peer, need.service)) {
        return reserveHere(context);
    }
    context.forwardTo = peer;
    return true;
}

bool ReserveFilter::claimAtPeer(RequestContext &context)
{
    const auto peer = parts_.members.claimPlace(context.request.service, fullPeers(context));
    if (!peer) {
        return false;
    }
    context.forwardTo = *peer;
    return true;
}

std::set<InstanceId> ReserveFilter::fullPeers(const RequestContext &context) const
{
    std::set<InstanceId> excluded;
    const auto now = parts_.clock.now();
    for (const auto &[id, refused] : context.fullPeers) {
        if (now - refused < refusalMemory) {
            excluded.insert(id);
        }
    }
    return excluded;
}

} // namespace auburndoor
