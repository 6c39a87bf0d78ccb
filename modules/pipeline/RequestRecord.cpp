#include "pipeline/RequestRecord.h"

#include "core/BoundedJson.h"
#include "declaration/Digest.h"

#include <nlohmann/json.hpp>

#include <array>

namespace auburndoor {

namespace {

constexpr std::array<const char *, 4> stateNames { "claimed", "answered", "task-failed", "not-run" };

}

std::string RequestRecord::toText() const
{
    return nlohmann::json {
        { "state", stateNames.at(static_cast<std::size_t>(state)) },
        { "task", task.text() },
        { "worker", worker.text() },
        { "answer", answer },
        { "answerObject", answerObject },
        { "requestDigest", requestDigest }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<RequestRecord> RequestRecord::fromText(const std::string &text)
{
    const auto json = parseBoundedJson(text);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        RequestRecord record;
        const auto state = std::find(stateNames.begin(), stateNames.end(), json.value("state", std::string()));
        if (state == stateNames.end()) {
            return std::nullopt;
        }
        record.state = static_cast<RecordState>(state - stateNames.begin());
        record.task = TaskId(json.value("task", std::string()));
        record.worker = WorkerId(json.value("worker", std::string()));
        record.answer = json.value("answer", std::string());
        record.answerObject = json.value("answerObject", std::string());
        record.requestDigest = json.value("requestDigest", std::string());
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string RequestRecord::digestOf(const Request &request)
{
    return Digest::of(request.service.text() + "\n" + request.kind + "\n" + request.body);
}

std::string RequestRecord::rowKey(const TeamId &team, const std::string &idempotencyKey)
{
    return "request/" + team.text() + "/" + idempotencyKey;
}

} // namespace auburndoor
