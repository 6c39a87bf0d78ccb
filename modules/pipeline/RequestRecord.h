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
    /** Definite: the claimed task was not run. A new attempt may claim the record. */
    NotRun,
};

/** The row of a non-repeatable request: "request/<team>/<key>". */
struct RequestRecord
{
    RecordState state = RecordState::Claimed;
    TaskId task;
    WorkerId worker;
    /** The answer, if it is short enough to be kept in the row. */
    std::string answer;
    /** The object that holds a longer answer; empty if there is none. */
    std::string answerObject;
    /** Digest of the request, so that a key that is used again for another request is noticed. */
    std::string requestDigest;

    std::string toText() const;

    /** @return empty if the text is not a record */
    static std::optional<RequestRecord> fromText(const std::string &text);

    /** Digest of what a request asks for: its service, kind and body. */
    static std::string digestOf(const Request &request);

    static std::string rowKey(const TeamId &team, const std::string &idempotencyKey);
};

} // namespace auburndoor
