#include "storage/HttpTableService.h"

#include "core/BoundedJson.h"
#include "core/Failure.h"
#include "storage/PlatformConnection.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

using nlohmann::json;

namespace {

TableRow readRow(const json &source)
{
    return { source.at("key"), source.at("value"), source.at("version") };
}

std::vector<TableRow> readRows(const json &source)
{
    std::vector<TableRow> rows;
    for (const auto &row : source) {
        rows.push_back(readRow(row));
    }
    return rows;
}

/** The JSON text; empty with a failure if a string is not UTF-8, which JSON cannot represent. */
std::optional<std::string> encodeBody(const json &source, FailureStep step, Failure &failure)
{
    try {
        return source.dump();
    } catch (const json::exception &) {
        failure = { step, {}, FailureReason::MalformedInput, "a key or value is not UTF-8" };
        return std::nullopt;
    }
}

/** Parses a reply and applies a function that reads its fields. @return false if it is malformed */
template<typename Read>
bool decodeBody(const HttpReply &reply, const Read &read)
{
    try {
        return read(parseBoundedJson(reply.body));
    } catch (const json::exception &) {
        return false;
    }
}

json toJson(const Transaction &transaction)
{
    auto checks = json::array();
    for (const auto &check : transaction.checks) {
        checks.push_back({ { "key", check.key }, { "version", check.version } });
    }
    auto writes = json::array();
    for (const auto &write : transaction.writes) {
        writes.push_back({ { "key", write.key }, { "value", write.value ? json(*write.value) : json(nullptr) } });
    }
    return { { "id", transaction.id }, { "checks", std::move(checks) }, { "writes", std::move(writes) } };
}

/** @return false if the outcome is malformed or lacks a version or a conflict */
bool readOutcome(const json &source, std::size_t writeCount, CommitResult &result)
{
    const std::string outcome = source.at("outcome");
    if (outcome == "committed") {
        result.versions = source.at("versions").get<std::vector<long long>>();
        result.status = CommitStatus::Committed;
        return result.versions.size() == writeCount;
    }
    if (outcome == "conflict") {
        result.conflicts = readRows(source.at("conflicts"));
        result.status = CommitStatus::Conflict;
        return !result.conflicts.empty();
    }
    return false;
}

} // namespace

HttpTableService::HttpTableService(PlatformConnection &connection) : connection_(connection)
{
}

std::optional<TableRow> HttpTableService::read(const std::string &key, TimePoint deadline, Failure &failure)
{
    const auto body = encodeBody({ { "key", key } }, FailureStep::ReadTable, failure);
    TableRow row;
    bool mayHaveArrived = false;
    const auto reader = [&](const HttpReply &reply) {
        return decodeBody(reply, [&](const json &source) {
            row = readRow(source.at("row"));
            return row.key == key;
        });
    };
    if (!body
        || !connection_.call(
            { "POST", "/v1/table/read", *body, FailureStep::ReadTable }, deadline, reader, mayHaveArrived, failure)) {
        return std::nullopt;
    }
    return row;
}

std::optional<std::vector<TableRow>> HttpTableService::readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure)
{
    const auto body = encodeBody({ { "prefix", prefix } }, FailureStep::ReadTable, failure);
    std::vector<TableRow> rows;
    bool mayHaveArrived = false;
    const auto reader = [&](const HttpReply &reply) {
        return decodeBody(reply, [&](const json &source) {
            rows = readRows(source.at("rows"));
            return true;
        });
    };
    if (!body
        || !connection_.call(
            { "POST", "/v1/table/read-prefix", *body, FailureStep::ReadTable }, deadline, reader, mayHaveArrived, failure)) {
        return std::nullopt;
    }
    return rows;
}

CommitResult HttpTableService::commit(const Transaction &transaction, TimePoint deadline, Failure &failure)
{
    const auto body = encodeBody(toJson(transaction), FailureStep::WriteTable, failure);
    if (!body) {
        return { CommitStatus::NotWritten, {}, {} };
    }
    CommitResult result;
    bool mayHaveArrived = false;
    const auto reader = [&](const HttpReply &reply) {
        result = {};
        return decodeBody(reply, [&](const json &source) { return readOutcome(source, transaction.writes.size(), result); });
    };
    const PlatformCall call { "POST", "/v1/table/commit", *body, FailureStep::WriteTable, true };
    if (connection_.call(call, deadline, reader, mayHaveArrived, failure)) {
        if (result.status == CommitStatus::Conflict) {
            failure = {
                FailureStep::WriteTable, "table", FailureReason::Conflict, "row " + result.conflicts.front().key + " has changed"
            };
        }
        return result;
    }
    if (!mayHaveArrived) {
        return { CommitStatus::NotWritten, {}, {} };
    }
    failure.message = "the outcome is unknown; last attempt: " + std::string(name(failure.reason)) + ", " + failure.message;
    failure.reason = FailureReason::OutcomeUnknown;
    return { CommitStatus::Unknown, {}, {} };
}

} // namespace auburndoor
