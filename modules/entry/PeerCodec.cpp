#include "entry/PeerCodec.h"

#include "core/BoundedJson.h"
#include "core/TextEncoding.h"
#include "entry/PassedRequestCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

// The largest messages name some thousands of workers for an advice request.
constexpr std::size_t maxPeerValues = 65536;

constexpr const char *baseHeader = "desired-base";

/** Parses a JSON object and applies a function to it. @return empty if the text is malformed or a field is missing or of another
 * type */
template<typename Read>
auto readJson(const std::string &text, Read read) -> decltype(std::optional(read(Json())))
{
    const auto json = parseBoundedJson(text, maxPeerValues);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        return read(json);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

// Longer than any duration that processes tell each other; sums of such durations stay in the range of a time point.
constexpr std::chrono::hours maxDuration { 24 };

/** Limits a duration that another process has sent. */
Milliseconds limitDuration(std::int64_t milliseconds)
{
    return std::clamp<Milliseconds>(Milliseconds(milliseconds), Milliseconds(0), maxDuration);
}

/** Reads a duration; zero if it is none. */
Milliseconds readDuration(const Json &json)
{
    return limitDuration(toExactInteger(json).value_or(0));
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

bool PeerCodec::isPath(std::string_view target)
{
    static constexpr std::array<std::string_view, 8> paths {
        heartbeatPath, successionPath, ownerViewPath, desiredStatePath, callPath, advicePath, relayPath, PassedRequestCodec::path,
    };
    return std::any_of(paths.begin(), paths.end(), [target](std::string_view path) { return target.starts_with(path); });
}

WebRequest PeerCodec::heartbeatRequest(const FollowerReport &report)
{
    return { "POST",
             heartbeatPath,
             {},
             dump({ { "from", report.address.text() },
                    { "share", report.processorShare },
                    { "stopping", report.isStopping },
                    { "desired", report.desiredStateVersion } }),
             true };
}

std::optional<FollowerReport> PeerCodec::readHeartbeatRequest(const WebRequest &request)
{
    return readJson(request.body, [](const Json &json) -> std::optional<FollowerReport> {
        const auto address = Address::parse(json.at("from").get<std::string>());
        if (!address || !address->hasPort()) {
            return std::nullopt;
        }
        return FollowerReport {
            *address, json.value("share", 0.0), json.value("stopping", false), json.value("desired", std::int64_t(0))
        };
    });
}

WebRequest PeerCodec::successionRequest(std::int64_t token)
{
    return { "POST", successionPath, {}, dump({ { "token", token } }), true };
}

std::optional<std::int64_t> PeerCodec::readSuccessionRequest(const WebRequest &request)
{
    return readJson(request.body, [](const Json &json) { return toExactInteger(json.at("token")); });
}

WebReply PeerCodec::heartbeatReply(const OwnerHeartbeat &heartbeat)
{
    Json members = Json::array();
    for (const auto &member : heartbeat.members) {
        members.push_back(member.text());
    }
    return { 200,
             dump({ { "owner", heartbeat.owner },
                    { "token", heartbeat.token },
                    { "store_away", heartbeat.storeStallDuration.count() },
                    { "stalled_table", heartbeat.stalledTable },
                    { "ready", heartbeat.isReady },
                    { "desired", heartbeat.desiredStateVersion },
                    { "share", heartbeat.processorShare },
                    { "loop_delay", heartbeat.loopDelay.count() },
                    { "next_delay", heartbeat.nextDelay.count() },
                    { "members", std::move(members) } }),
             {} };
}

std::optional<OwnerHeartbeat> PeerCodec::readHeartbeat(const WebReply &reply)
{
    return readJson(reply.body, [](const Json &json) {
        OwnerHeartbeat heartbeat;
        heartbeat.owner = json.at("owner").get<std::string>();
        heartbeat.token = json.at("token").get<std::int64_t>();
        heartbeat.storeStallDuration = readDuration(json.at("store_away"));
        heartbeat.isReady = json.at("ready").get<bool>();
        heartbeat.desiredStateVersion = json.at("desired").get<std::int64_t>();
        heartbeat.processorShare = json.at("share").get<double>();
        // Absent in the heartbeats of earlier releases, which may own the cell during a rolling restart.
        heartbeat.loopDelay = limitDuration(json.value("loop_delay", std::int64_t(0)));
        heartbeat.nextDelay = limitDuration(json.value("next_delay", std::int64_t(0)));
        heartbeat.stalledTable = json.value("stalled_table", std::string());
        for (const auto &member : json.at("members")) {
            const auto address = member.is_string() ? Address::parse(member.get<std::string>()) : std::nullopt;
            if (address && address->hasPort()) {
                heartbeat.members.push_back(*address);
            }
        }
        return heartbeat;
    });
}

WebReply PeerCodec::ownerViewReply(const OwnerView &view)
{
    return {
        200,
        dump({ { "hears", view.isOwnerReachable }, { "owner", view.owner }, { "token", view.token }, { "address", view.address } }),
        {}
    };
}

std::optional<OwnerView> PeerCodec::readOwnerView(const WebReply &reply)
{
    return readJson(reply.body, [](const Json &json) {
        return OwnerView { json.at("hears").get<bool>(),
                           json.at("owner").get<std::string>(),
                           json.at("token").get<std::int64_t>(),
                           json.at("address").get<std::string>() };
    });
}

WebReply PeerCodec::notOwnerReply(const std::string &why)
{
    return { notOwnerStatus, why, {} };
}

std::string PeerCodec::describeRefusedCall(const WebReply &reply)
{
    // Another process sends the text; log lines stay short whatever it is.
    constexpr std::size_t maxReasonBytes = 200;
    if (reply.status == notOwnerStatus && !reply.body.empty()) {
        return reply.body.substr(0, maxReasonBytes);
    }
    return "it answered with status " + std::to_string(reply.status);
}

WebRequest PeerCodec::desiredStateRequest(std::int64_t baseVersion)
{
    return { "GET", desiredStatePath, { { baseHeader, std::to_string(baseVersion) } }, {}, true };
}

std::optional<std::int64_t> PeerCodec::readDesiredStateBase(const WebRequest &request)
{
    const auto text = request.header(baseHeader);
    std::int64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    return !text.empty() && error == std::errc() && end == text.data() + text.size() ? std::optional(version) : std::nullopt;
}

WebRequest PeerCodec::callRequest(const ClientCall &call)
{
    // The body of the submission is sent unchanged and the other fields as headers, so that the body need not be escaped as JSON.
    WebRequest request { "POST", callPath, {}, call.body, true };
    request.headers = { { "Call-Kind", std::to_string(static_cast<int>(call.kind)) },
                        { "Call-Queue", call.queue },
                        { "Call-Job", call.job },
                        { "Call-Account", toBase64(call.account) },
                        { "Call-Patience", std::to_string(call.timeout.count()) },
                        { "Call-Hold", std::to_string(call.ownerWaitLimit.count()) } };
    return request;
}

std::optional<ClientCall> PeerCodec::readCall(const WebRequest &request)
{
    ClientCall call;
    try {
        const int kind = std::stoi(request.header("call-kind"));
        if (kind < 0 || kind > static_cast<int>(ClientCall::Kind::Other)) {
            return std::nullopt;
        }
        call.kind = static_cast<ClientCall::Kind>(kind);
        call.timeout = limitDuration(std::stoll(request.header("call-patience")));
        call.ownerWaitLimit = limitDuration(std::stoll(request.header("call-hold")));
    } catch (const std::exception &) {
        return std::nullopt;
    }
    call.queue = request.header("call-queue");
    call.job = request.header("call-job");
    // Encoded, as the name may have characters that a header does not carry. Absent in the calls of earlier releases.
    auto account = fromBase64(request.header("call-account"));
    if (!account) {
        return std::nullopt;
    }
    call.account = std::move(*account);
    call.body = request.body;
    return call;
}

WebReply PeerCodec::callReply(const ClientResult &result)
{
    Json json { { "outcome", static_cast<int>(result.outcome) },
                { "stage", static_cast<int>(result.stage) },
                { "pending", result.pending },
                { "retry", result.retryAfter.count() },
                { "detail", result.detail } };
    if (result.keyRefusal != KeyRefusal::None) {
        json["key_refusal"] = static_cast<int>(result.keyRefusal);
    }
    return { 200, dump(json), {} };
}

std::optional<ClientResult> PeerCodec::readCallReply(const WebReply &reply)
{
    return readJson(reply.body, [](const Json &json) -> std::optional<ClientResult> {
        const int outcome = json.at("outcome").get<int>();
        const int stage = json.at("stage").get<int>();
        if (outcome < 0 || outcome > static_cast<int>(ClientResult::lastOutcome) || stage < 0
            || stage > static_cast<int>(JobStage::Cancelled)) {
            return std::nullopt;
        }
        ClientResult result;
        result.outcome = static_cast<ClientResult::Outcome>(outcome);
        result.stage = static_cast<JobStage>(stage);
        result.pending = json.at("pending").get<int>();
        result.retryAfter = readDuration(json.at("retry"));
        result.detail = json.at("detail").get<std::string>();
        // Absent in the replies of earlier releases. A cause that is not known here is not counted.
        const int refusal = json.value("key_refusal", 0);
        const bool isKnown = refusal > 0 && refusal <= static_cast<int>(KeyRefusal::OtherAccount);
        result.keyRefusal = isKnown ? static_cast<KeyRefusal>(refusal) : KeyRefusal::None;
        return result;
    });
}

WebRequest PeerCodec::adviceRequest(const AdviceRequest &adviceRequest)
{
    return { "POST",
             advicePath,
             {},
             dump({ { "job", adviceRequest.step.job },
                    { "occurrence", adviceRequest.step.occurrence },
                    { "step", adviceRequest.step.step },
                    { "workers", adviceRequest.workers },
                    { "timeout", adviceRequest.timeout.count() } }),
             true };
}

std::optional<AdviceRequest> PeerCodec::readAdviceRequest(const WebRequest &request)
{
    return readJson(request.body, [](const Json &json) {
        AdviceRequest adviceRequest;
        adviceRequest.step = { json.at("job").get<std::string>(), json.at("occurrence").get<int>(), json.at("step").get<int>(), 0 };
        adviceRequest.workers = json.at("workers").get<std::vector<std::string>>();
        adviceRequest.timeout = readDuration(json.at("timeout"));
        return adviceRequest;
    });
}

WebReply PeerCodec::adviceReply(const AdviceResult &result)
{
    Json permits = Json::array();
    for (const auto &permit : result.permits) {
        permits.push_back({ permit.worker, permit.ticket });
    }
    return { 200,
             dump({ { "outcome", static_cast<int>(result.outcome) },
                    { "validity", result.validity.count() },
                    { "permits", std::move(permits) } }),
             {} };
}

std::optional<AdviceResult> PeerCodec::readAdviceReply(const WebReply &reply)
{
    return readJson(reply.body, [](const Json &json) {
        AdviceResult result;
        result.outcome = static_cast<AdviceResult::Outcome>(json.at("outcome").get<int>());
        result.validity = readDuration(json.at("validity"));
        for (const auto &permit : json.at("permits")) {
            result.permits.push_back({ permit.at(0).get<std::string>(), permit.at(1).get<std::string>() });
        }
        return result;
    });
}

} // namespace auburndoor
