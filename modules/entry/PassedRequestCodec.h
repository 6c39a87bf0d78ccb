#pragma once

#include "entry/CellProtocol.h"
#include "net/HttpExchange.h"

#include <optional>

namespace auburndoor {

/** The answer of a process that has decided a client's request for another one. */
struct PassedRequestAnswer
{
    /** As which kind of call the request was read; the text of an answer depends on it. */
    ClientCall::Kind kind = ClientCall::Kind::Other;
    ClientResult result;
};

/** The messages with which one entry process lets another one decide a client's request. */
class PassedRequestCodec
{
public:
    static constexpr const char *path = "/cell/client";

    /** @return empty if the head of the request is too long to be passed on */
    static std::optional<WebRequest> encode(const WebRequest &request);
    static std::optional<WebRequest> decode(const WebRequest &message);

    static WebReply encodeAnswer(const PassedRequestAnswer &answer);
    static std::optional<PassedRequestAnswer> decodeAnswer(const WebReply &reply);
};

} // namespace auburndoor
