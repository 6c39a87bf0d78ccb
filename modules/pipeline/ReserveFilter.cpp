#include "pipeline/ReserveFilter.h"

#include "admission/ShareAccounts.h"
#include "membership/MembershipView.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestNeeds.h"
#include "pipeline/ServiceQueues.h"

namespace auburndoor {

namespace {

/** After a refusal a peer is left out until a newer summary of it has had time to arrive. */
constexpr Milliseconds refusalMemory { 200 };

} // namespace

ReserveFilter::ReserveFilter(const ReserveParts &parts) : parts_(parts)
{
}

std::optional<Outcome> ReserveFilter::apply(RequestContext &context)
{
    if (context.request.hopCount > 0) {
        if (reserveHere(context)) {
            return std::nullopt;
        }
        return Outcome {
            OutcomeStatus::NotRun, {}, { Step::Reserve, {}, Reason::NoCapacity, "no worker of this instance has room" }, {}, {}, {}
        };
    }
    Failure failure;
    auto &queue = parts_.queues.queue(*context.service);
    const auto tryStart = [&] { return reserveHere(context) || claimAtPeer(context); };
    if (queue.wait(queueEntryOf(context, parts_.estimator), tryStart, failure)) {
        return std::nullopt;
    }
    return Outcome { OutcomeStatus::NotRun, {}, failure, {}, {}, {} };
}

bool ReserveFilter::reserveHere(RequestContext &context)
{
    const auto &request = context.request;
    if (!parts_.shares.isWithinQuota(request.team, request.need)) {
        return false;
    }
    context.reservation = parts_.ledger.reserve(placementNeedOf(context),
                                                { context.task().text(), request.team, request.need, context.isLong });
    if (!context.reservation) {
        return false;
    }
    parts_.shares.addUse(request.team, request.need);
    parts_.noteReserved();
    return true;
}

bool ReserveFilter::claimAtPeer(RequestContext &context)
{
    std::set<InstanceId> excluded;
    const auto now = parts_.clock.now();
    for (const auto &[id, refused] : context.fullPeers) {
        if (now - refused < refusalMemory) {
            excluded.insert(id);
        }
    }
    const auto peer = parts_.members.claimRoom(context.request.service, excluded);
    if (!peer) {
        return false;
    }
    context.forwardTo = *peer;
    return true;
}

} // namespace auburndoor
