#include "entry/PassedRequestCodec.h"

#include "core/BoundedJson.h"
#include "core/TextEncoding.h"
#include "entry/PeerCodec.h"

#include <nlohmann/json.hpp>

#include <exception>

namespace auburndoor {

namespace {

using Json = nlohmann::json;

constexpr const char *headHeader = "client-request";
constexpr const char *kindHeader = "kind";
// Encoded in one header, it has to fit in the headers that a listener accepts.
constexpr std::size_t maxHeadBytes = 4096;

} // namespace

std::optional<WebRequest> PassedRequestCodec::encode(const WebRequest &request)
{
    // MessagePack, as a header may have bytes that are no text.
    Json headers = Json::array();
    for (const auto &[name, value] : request.headers) {
        headers.push_back({ name, value });
    }
    std::string head;
    Json::to_msgpack({ { "method", request.method }, { "target", request.target }, { "headers", std::move(headers) } }, head);
    if (head.size() > maxHeadBytes) {
        return std::nullopt;
    }
    return WebRequest { "POST", path, { { headHeader, toBase64(head) } }, request.body };
}

std::optional<WebRequest> PassedRequestCodec::decode(const WebRequest &message)
{
    const auto head = fromBase64(message.header(headHeader));
    if (!head) {
        return std::nullopt;
    }
    try {
        const auto json = parseBoundedMessagePack(*head);
        WebRequest request;
        request.method = json.at("method").get<std::string>();
        request.target = json.at("target").get<std::string>();
        for (const auto &header : json.at("headers")) {
            request.headers.emplace_back(header.at(0).get<std::string>(), header.at(1).get<std::string>());
        }
        request.body = message.body;
        return request;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

WebReply PassedRequestCodec::encodeAnswer(const PassedRequestAnswer &answer)
{
    auto reply = PeerCodec::callReply(answer.result);
    auto json = parseBoundedJson(reply.body);
    json[kindHeader] = static_cast<int>(answer.kind);
    reply.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return reply;
}

std::optional<PassedRequestAnswer> PassedRequestCodec::decodeAnswer(const WebReply &reply)
{
    const auto result = PeerCodec::readCallReply(reply);
    const auto json = parseBoundedJson(reply.body);
    if (!result || !json.is_object() || !json.contains(kindHeader) || !json.at(kindHeader).is_number_integer()) {
        return std::nullopt;
    }
    const auto kind = json.at(kindHeader).get<std::int64_t>();
    if (kind < 0 || kind > static_cast<std::int64_t>(ClientCall::Kind::Other)) {
        return std::nullopt;
    }
    return PassedRequestAnswer { static_cast<ClientCall::Kind>(kind), *result };
}

} // namespace auburndoor
