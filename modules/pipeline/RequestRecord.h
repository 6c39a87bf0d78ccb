#pragma once

#include "core/Identifier.h"
#include "pipeline/Request.h"

#include <optional>
#include <string>

namespace auburndoor {

enum class RecordState {
    /** An instance has claimed the request and may have started its task. */
    Claimed,
    Answered,
    TaskFailed,
    /** The claimed task was not run and will not be. A new attempt may claim the record. */
    NotRun,
};

/** The table row of a non-repeatable request, stored under the key "request/<team>/<idempotency key>". */
struct RequestRecord
{
    RecordState state = RecordState::Claimed;
    TaskId task;
    WorkerId worker;
    /** The answer, if it is short enough to be kept in the row. */
    std::string answer;
    /** The name of the object that holds a longer answer; empty if there is none. */
    std::string answerObject;
    /** Digest of the request; detects an idempotency key that is reused for a different request. */
    std::string requestDigest;

    std::string toText() const;

    /** @return empty if the text is not a valid record */
    static std::optional<RequestRecord> fromText(const std::string &text);

    /** Digest of what a request asks for: its service, kind and body. */
    static std::string digestOf(const Request &request);

    static std::string rowKey(const TeamId &team, const std::string &idempotencyKey);
};

} // namespace auburndoor
