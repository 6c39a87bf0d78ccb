#include "entry/WorkerRelayCodec.h"

#include "core/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <unordered_map>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

/** Caught by decode(). */
class MalformedMessage : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Relays of version 1 send a deadline to any incarnation of the worker.
constexpr int formatVersion = 2;
// Stands for an absent time; a worker's clock and its deadlines are never negative.
constexpr std::int64_t absentTime = -1;

/** The distinct texts of a message, in the order of their first use. */
class TextTable
{
public:
    std::size_t position(const std::string &text)
    {
        const auto [found, isNew] = positions_.try_emplace(text, positions_.size());
        if (isNew) {
            texts_.push_back(text);
        }
        return found->second;
    }

    Json::array_t take()
    {
        return std::move(texts_);
    }

private:
    std::unordered_map<std::string, std::size_t> positions_;
    Json::array_t texts_;
};

std::string toText(const Json &json)
{
    std::string text;
    Json::to_msgpack(json, nlohmann::detail::output_adapter<char>(text));
    return text;
}

const std::string &readText(const Json &json)
{
    return json.get_ref<const std::string &>();
}

std::int64_t readInteger(const Json &json)
{
    // get() converts a floating-point number of any size, which is undefined for one that does not fit.
    if (!json.is_number_integer()) {
        throw MalformedMessage("a message of a relay has another type than an integer");
    }
    return json.get<std::int64_t>();
}

/** Parses a message and applies a function to it. @return empty if the message is malformed */
template<typename Read>
auto decode(const std::string &message, std::string &error, Read read) -> decltype(std::optional(read(Json())))
{
    const auto json = parseBoundedMessagePack(message);
    try {
        if (!json.is_array() || readInteger(json.at(0)) != formatVersion) {
            error = "not a message of version " + std::to_string(formatVersion);
            return std::nullopt;
        }
        return read(json);
    } catch (const Json::exception &exception) {
        error = exception.what();
        return std::nullopt;
    } catch (const MalformedMessage &exception) {
        error = exception.what();
        return std::nullopt;
    }
}

/** Returns the element of an array whose position a message gives. */
const Json &readElement(const Json &array, const Json &position)
{
    const auto value = readInteger(position);
    if (!array.is_array() || value < 0 || static_cast<std::size_t>(value) >= array.size()) {
        throw MalformedMessage("a position in a message of a relay is out of range");
    }
    return array[static_cast<std::size_t>(value)];
}

/** Reads an enumerator by its position. */
template<typename Enum>
Enum readEnum(const Json &json, Enum last)
{
    const auto value = readInteger(json);
    if (value < 0 || value > static_cast<std::int64_t>(last)) {
        throw MalformedMessage("a message of a relay has an unknown enumerator");
    }
    return static_cast<Enum>(value);
}

std::optional<Milliseconds> readTime(const Json &json)
{
    const auto value = readInteger(json);
    return value == absentTime ? std::nullopt : std::optional(Milliseconds(value));
}

std::int64_t timeNumber(const std::optional<Milliseconds> &time)
{
    return time ? time->count() : absentTime;
}

/** Appends the fields of a task: position of its job, occurrence, step, index, attempt. */
void appendTask(Json::array_t &row, const TaskName &task, std::int64_t attempt, TextTable &jobs)
{
    row.emplace_back(jobs.position(task.job));
    row.emplace_back(task.occurrence);
    row.emplace_back(task.step);
    row.emplace_back(task.index);
    row.emplace_back(attempt);
}

constexpr std::size_t taskFieldCount = 5;

/** Reads the fields that appendTask() has written, from this position of the row. */
TaskName readTask(const Json &row, std::size_t position, const Json &jobs, std::int64_t &attempt)
{
    TaskName task;
    task.job = readText(readElement(jobs, row.at(position)));
    task.occurrence = static_cast<int>(readInteger(row.at(position + 1)));
    task.step = static_cast<int>(readInteger(row.at(position + 2)));
    task.index = static_cast<int>(readInteger(row.at(position + 3)));
    attempt = readInteger(row.at(position + 4));
    return task;
}

// A row of a command is [number, kind, position of the worker] and then, for a report, [acknowledged, deadline, maximum wait,
// incarnation], and for other commands the task; a start continues with [position of the payload, deadline, checkpoint, permit,
// incarnation], a throttle with the percentage.
constexpr std::size_t commandFieldsAt = 3;
constexpr std::size_t afterTaskAt = commandFieldsAt + taskFieldCount;

Json encodeCommand(const RelayCommand &command, std::size_t worker, TextTable &jobs, TextTable &payloads)
{
    Json::array_t row;
    row.reserve(afterTaskAt + 5);
    row.emplace_back(command.number);
    row.emplace_back(static_cast<int>(command.kind));
    row.emplace_back(worker);
    if (command.kind == RelayCommand::Kind::Report) {
        row.emplace_back(command.report.acknowledged);
        row.emplace_back(timeNumber(command.report.deadline));
        row.emplace_back(command.report.maxWait.count());
        row.emplace_back(command.report.incarnation);
        return row;
    }
    appendTask(row, command.task.task, command.task.attempt, jobs);
    if (command.kind == RelayCommand::Kind::Start) {
        row.emplace_back(payloads.position(command.task.payload));
        row.emplace_back(command.deadline.time.count());
        row.emplace_back(command.task.checkpoint);
        row.emplace_back(command.task.permit);
        row.emplace_back(command.deadline.incarnation);
    } else if (command.kind == RelayCommand::Kind::Throttle) {
        row.emplace_back(command.percent);
    }
    return row;
}

RelayCommand decodeCommand(const Json &row, const std::vector<WorkerEntry> &workers, const Json &jobs, const Json &payloads)
{
    RelayCommand command;
    command.number = readInteger(row.at(0));
    command.kind = readEnum(row.at(1), RelayCommand::lastKind);
    const auto position = readInteger(row.at(2));
    if (position < 0 || static_cast<std::size_t>(position) >= workers.size()) {
        throw MalformedMessage("a command of a relay names an unknown worker");
    }
    command.worker = workers[static_cast<std::size_t>(position)].id;
    if (command.kind == RelayCommand::Kind::Report) {
        command.report = { readInteger(row.at(commandFieldsAt)),
                           readInteger(row.at(commandFieldsAt + 3)),
                           readTime(row.at(commandFieldsAt + 1)),
                           Milliseconds(readInteger(row.at(commandFieldsAt + 2))) };
        return command;
    }
    command.task.task = readTask(row, commandFieldsAt, jobs, command.task.attempt);
    if (command.kind == RelayCommand::Kind::Start) {
        command.task.payload = readText(readElement(payloads, row.at(afterTaskAt)));
        command.deadline = { readInteger(row.at(afterTaskAt + 4)), Milliseconds(readInteger(row.at(afterTaskAt + 1))) };
        command.task.checkpoint = readText(row.at(afterTaskAt + 2));
        command.task.permit = readText(row.at(afterTaskAt + 3));
    } else if (command.kind == RelayCommand::Kind::Throttle) {
        command.percent = static_cast<int>(readInteger(row.at(afterTaskAt)));
    }
    return command;
}

// A report is [incarnation, running tasks, finished runs, whether it is cut off]; a running task is its fields and [percentage,
// latency or processor use, checkpoint], a finished run its fields and [number, outcome, checkpoint].
Json encodeReport(const TaskReport &report, TextTable &jobs)
{
    Json::array_t running;
    running.reserve(report.running.size());
    for (const auto &task : report.running) {
        Json::array_t row;
        row.reserve(taskFieldCount + 3);
        appendTask(row, task.task, task.attempt, jobs);
        row.emplace_back(task.percent);
        row.emplace_back(task.latencyOrProcessorUse);
        row.emplace_back(task.checkpoint);
        running.emplace_back(std::move(row));
    }
    Json::array_t ended;
    ended.reserve(report.ended.size());
    for (const auto &end : report.ended) {
        Json::array_t row;
        row.reserve(taskFieldCount + 3);
        appendTask(row, end.task, end.attempt, jobs);
        row.emplace_back(end.number);
        row.emplace_back(static_cast<int>(end.end));
        row.emplace_back(end.checkpoint);
        ended.emplace_back(std::move(row));
    }
    Json::array_t json;
    json.reserve(5);
    json.emplace_back(report.incarnation);
    json.emplace_back(std::move(running));
    json.emplace_back(std::move(ended));
    json.emplace_back(report.isCutOff ? 1 : 0);
    json.emplace_back(report.omission);
    return json;
}

TaskReport decodeReport(const Json &json, const Json &jobs)
{
    TaskReport report;
    report.incarnation = readInteger(json.at(0));
    for (const auto &row : json.at(1)) {
        RunningTask running;
        running.task = readTask(row, 0, jobs, running.attempt);
        running.percent = static_cast<int>(readInteger(row.at(taskFieldCount)));
        running.latencyOrProcessorUse = readInteger(row.at(taskFieldCount + 1));
        running.checkpoint = readText(row.at(taskFieldCount + 2));
        report.running.push_back(std::move(running));
    }
    for (const auto &row : json.at(2)) {
        EndedTask ended;
        ended.task = readTask(row, 0, jobs, ended.attempt);
        ended.number = readInteger(row.at(taskFieldCount));
        ended.end = readEnum(row.at(taskFieldCount + 1), RunOutcome::GangIncomplete);
        ended.checkpoint = readText(row.at(taskFieldCount + 2));
        report.ended.push_back(std::move(ended));
    }
    // Absent in the reports of relays of earlier releases.
    report.isCutOff = json.size() > 3 && readInteger(json.at(3)) != 0;
    report.omission = json.size() > 4 ? readText(json.at(4)) : std::string();
    return report;
}

} // namespace

std::string WorkerRelayCodec::encodeBatch(const RelayBatch &batch)
{
    std::unordered_map<std::string, std::size_t> workerPositions;
    Json::array_t workers;
    for (const auto &worker : batch.workers) {
        workerPositions.emplace(worker.id, workers.size());
        workers.push_back(Json::array({ worker.id, worker.address.text(), worker.incarnation }));
    }
    TextTable jobs;
    TextTable payloads;
    Json::array_t commands;
    commands.reserve(batch.commands.size());
    for (const auto &command : batch.commands) {
        commands.push_back(encodeCommand(command, workerPositions.at(command.worker), jobs, payloads));
    }
    return toText(Json::array({ formatVersion,
                                batch.fencingToken,
                                batch.session,
                                batch.sentAt.count(),
                                std::move(workers),
                                jobs.take(),
                                payloads.take(),
                                std::move(commands) }));
}

std::optional<RelayBatch> WorkerRelayCodec::decodeBatch(const std::string &message, std::string &error)
{
    return decode(message, error, [](const Json &json) {
        RelayBatch batch;
        batch.fencingToken = readInteger(json.at(1));
        batch.session = readInteger(json.at(2));
        batch.sentAt = Milliseconds(readInteger(json.at(3)));
        for (const auto &row : json.at(4)) {
            WorkerEntry worker;
            worker.id = readText(row.at(0));
            const auto address = Address::parse(readText(row.at(1)));
            if (!address || !address->hasPort()) {
                throw MalformedMessage("the address of a worker is not HOST:PORT with a port from 1 to 65535");
            }
            worker.address = *address;
            worker.incarnation = readInteger(row.at(2));
            batch.workers.push_back(std::move(worker));
        }
        for (const auto &row : json.at(7)) {
            batch.commands.push_back(decodeCommand(row, batch.workers, json.at(5), json.at(6)));
        }
        return batch;
    });
}

std::string WorkerRelayCodec::encodeReplies(const RelayReplies &replies)
{
    // A row is [number, outcome, worker's clock, detail] and, for a report, its encoding.
    constexpr std::size_t fieldCount = 5;
    TextTable jobs;
    Json::array_t rows;
    rows.reserve(replies.replies.size());
    for (const auto &reply : replies.replies) {
        Json::array_t row;
        row.reserve(fieldCount);
        row.emplace_back(reply.number);
        row.emplace_back(static_cast<int>(reply.reply.outcome));
        row.emplace_back(timeNumber(reply.reply.workerClock));
        row.emplace_back(reply.reply.detail);
        if (reply.report) {
            row.emplace_back(encodeReport(*reply.report, jobs));
        }
        rows.emplace_back(std::move(row));
    }
    return toText(Json::array(
        { formatVersion, replies.session, replies.processorShare, replies.failureDomain, jobs.take(), std::move(rows) }));
}

std::optional<RelayReplies> WorkerRelayCodec::decodeReplies(const std::string &message, std::string &error)
{
    return decode(message, error, [](const Json &json) {
        RelayReplies replies;
        replies.session = readInteger(json.at(1));
        replies.processorShare = json.at(2).get<double>();
        replies.failureDomain = readText(json.at(3));
        const auto &jobs = json.at(4);
        for (const auto &row : json.at(5)) {
            RelayReply reply;
            reply.number = readInteger(row.at(0));
            reply.reply.outcome = readEnum(row.at(1), CommandOutcome::Unknown);
            reply.reply.workerClock = readTime(row.at(2));
            reply.reply.detail = readText(row.at(3));
            if (row.size() > 4) {
                reply.report = decodeReport(row.at(4), jobs);
            }
            replies.replies.push_back(std::move(reply));
        }
        return replies;
    });
}

} // namespace auburndoor
