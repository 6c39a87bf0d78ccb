#include "entry/ClientCallReader.h"

#include "entry/CellProtocol.h"
#include "entry/DesiredStateHolder.h"
#include "net/Timers.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace auburndoor {

namespace {

// What a waiting request takes beside its body, roughly.
constexpr std::size_t requestOverhead = 4096;

} // namespace

ClientCallReader::ClientCallReader(Timers &timers, const CellProtocol &protocol, DesiredStateHolder &desiredState, Metrics &metrics)
    : timers_(timers), protocol_(protocol), desiredState_(desiredState), report_(timers, metrics)
{
}

bool ClientCallReader::dependsOnNewerVersion(const ClientCall &call, const std::optional<ClientResult> &result)
{
    if (!call.account.empty()) {
        return desiredState_.mayHaveMissedChange();
    }
    const bool hasNoRoute = result && result->outcome == ClientResult::Outcome::NoSuchQueue && desiredState_.current().requiresKeys;
    return hasNoRoute || (result && result->keyRefusal == KeyRefusal::UnknownKey);
}

void ClientCallReader::read(WebRequest request, Callback callback)
{
    std::optional<ClientResult> result;
    const auto call = protocol_.readCall(request, desiredState_.current(), result);
    if (!dependsOnNewerVersion(call, result)) {
        finish(request, call, result, callback);
        return;
    }
    const auto bytes = requestOverhead + request.body.size();
    desiredState_.runWhenFresh(bytes,
                               [this, arrivedAt = timers_.now(), request = std::move(request), callback = std::move(callback)] {
                                   std::optional<ClientResult> newResult;
                                   auto newCall = protocol_.readCall(request, desiredState_.current(), newResult);
                                   const auto waited = std::chrono::duration_cast<Milliseconds>(timers_.now() - arrivedAt);
                                   newCall.timeout = std::max(Milliseconds(1), newCall.timeout - waited);
                                   finish(request, newCall, newResult, callback);
                               });
}

std::optional<WebReply> ClientCallReader::refuseEarly(const WebRequest &request)
{
    if (desiredState_.current().version == 0) {
        return std::nullopt;
    }
    std::optional<ClientResult> result;
    const auto call = protocol_.readCall(request, desiredState_.current(), result);
    const bool isDecided = result
                           && (result->outcome == ClientResult::Outcome::NoSuchQueue || result->keyRefusal == KeyRefusal::NoKey);
    if (!isDecided || dependsOnNewerVersion(call, result)) {
        return std::nullopt;
    }
    std::optional<WebReply> reply;
    finish(request, call, result, [this, &reply](const ClientCall &refused, const std::optional<ClientResult> &why) {
        reply = protocol_.writeResult(refused, *why);
    });
    return reply;
}

void ClientCallReader::finish(const WebRequest &request,
                              const ClientCall &call,
                              const std::optional<ClientResult> &result,
                              const Callback &callback)
{
    if (result && result->keyRefusal != KeyRefusal::None) {
        noteResult(call, *result);
    } else if (result) {
        // The query of a target has no meaning here, and a client may have put its key there.
        const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
        EventLog::writeRateLimited(
            "call.rejected", { { "target", path }, { "detail", result->detail }, { "desired", desiredState_.current().version } });
    }
    callback(call, result);
}

void ClientCallReader::noteResult(const ClientCall &call, const ClientResult &result)
{
    report_.note(result.keyRefusal, call, desiredState_.current().version);
}

} // namespace auburndoor
