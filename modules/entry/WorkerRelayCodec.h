#pragma once

#include "entry/WorkerRelayMessages.h"

#include <optional>
#include <string>

namespace auburndoor {

/**
    Encodes the messages between the owner and its relays as MessagePack arrays.

    Job ids, payloads and workers appear once for each message; commands and reports refer to them by their position.
*/
class WorkerRelayCodec
{
public:
    static std::string encodeBatch(const RelayBatch &batch);
    /** @return empty if the message is malformed or of another version; error says why */
    static std::optional<RelayBatch> decodeBatch(const std::string &message, std::string &error);

    static std::string encodeReplies(const RelayReplies &replies);
    /** @return empty if the message is malformed or of another version; error says why */
    static std::optional<RelayReplies> decodeReplies(const std::string &message, std::string &error);
};

} // namespace auburndoor
