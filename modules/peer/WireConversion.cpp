#include "peer/WireConversion.h"

#include <algorithm>
#include <stdexcept>

namespace auburndoor {

namespace {

// Thrift allocates a container before it reads the elements, so messages that claim more elements than this are rejected.
constexpr std::int32_t maxContainerElements = 100'000;
constexpr std::int32_t maxStringBytes = 64 << 20;
// Received durations are clamped to this, so that adding them to a clock's time cannot overflow.
constexpr Milliseconds maxDuration = std::chrono::hours(24 * 365);

std::shared_ptr<apache::thrift::protocol::TProtocol> makeProtocol(
    const std::shared_ptr<apache::thrift::transport::TMemoryBuffer> &buffer)
{
    using Protocol = apache::thrift::protocol::TBinaryProtocolT<apache::thrift::transport::TMemoryBuffer>;
    return std::make_shared<Protocol>(buffer, maxStringBytes, maxContainerElements, true, true);
}

template<typename Enumeration>
Enumeration convertEnumeration(std::int32_t value, Enumeration lastEnumerator)
{
    if (value < 0 || value > static_cast<std::int32_t>(lastEnumerator)) {
        throw std::out_of_range("unknown enumeration value " + std::to_string(value));
    }
    return static_cast<Enumeration>(value);
}

Milliseconds clampDuration(std::int64_t milliseconds)
{
    return Milliseconds(std::clamp<std::int64_t>(milliseconds, -maxDuration.count(), maxDuration.count()));
}

template<typename Duration>
/** The whole milliseconds of a duration, rounded down. */
std::int64_t countMilliseconds(Duration duration)
{
    return std::chrono::floor<Milliseconds>(duration).count();
}

} // namespace

WireBuffer::WireBuffer()
    : transport(std::make_shared<apache::thrift::transport::TMemoryBuffer>()), protocol(makeProtocol(transport))
{
}

WireBuffer::WireBuffer(std::string &bytes)
    : transport(std::make_shared<apache::thrift::transport::TMemoryBuffer>(reinterpret_cast<std::uint8_t *>(bytes.data()),
                                                                           static_cast<std::uint32_t>(bytes.size())))
    , protocol(makeProtocol(transport))
{
}

std::size_t computeFrameSize(const std::string &message)
{
    constexpr std::size_t lengthSize = 4;
    return message.size() + lengthSize;
}

std::string readCallName(const std::string &message)
{
    // Thrift's binary protocol: version and type (4 bytes), length of the name (4 bytes, big-endian), name. Names of calls are
    // shorter than 256 bytes, so the last byte is the length.
    constexpr std::size_t lengthOffset = 7;
    constexpr std::size_t nameOffset = 8;
    if (message.size() < nameOffset) {
        return "malformed";
    }
    return message.substr(nameOffset, static_cast<unsigned char>(message[lengthOffset]));
}

FailureStep parseFailureStep(const std::string &text)
{
    for (int value = 0; value <= static_cast<int>(FailureStep::Shutdown); ++value) {
        if (name(static_cast<FailureStep>(value)) == text) {
            return static_cast<FailureStep>(value);
        }
    }
    return FailureStep::None;
}

FailureReason parseFailureReason(const std::string &text)
{
    for (int value = 0; value <= static_cast<int>(FailureReason::OutcomeUnknown); ++value) {
        if (name(static_cast<FailureReason>(value)) == text) {
            return static_cast<FailureReason>(value);
        }
    }
    return FailureReason::None;
}

wire::Refusal makeRefusal(const Failure &failure)
{
    wire::Refusal refusal;
    refusal.step = name(failure.step);
    refusal.reason = name(failure.reason);
    refusal.message = failure.message;
    return refusal;
}

wire::Problem toWire(const Failure &failure)
{
    wire::Problem problem;
    problem.step = name(failure.step);
    problem.peer = failure.peer;
    problem.reason = name(failure.reason);
    problem.message = failure.message;
    return problem;
}

Failure fromWire(const wire::Problem &problem)
{
    return { parseFailureStep(problem.step), problem.peer, parseFailureReason(problem.reason), problem.message };
}

wire::Amounts toWire(const Resources &resources)
{
    wire::Amounts amounts;
    amounts.milliCores = resources.milliCores;
    amounts.memoryMiB = resources.memoryMiB;
    amounts.accelerators = resources.accelerators;
    amounts.slots = resources.slots;
    amounts.connections = resources.connections;
    return amounts;
}

Resources fromWire(const wire::Amounts &amounts)
{
    return { amounts.milliCores, amounts.memoryMiB, amounts.accelerators, amounts.slots, amounts.connections };
}

wire::ForwardedRequest toWire(const Request &request, TimePoint now)
{
    wire::ForwardedRequest result;
    result.id = request.id.text();
    result.team = request.team.text();
    result.serviceId = request.service.text();
    result.kind = request.kind;
    result.priority = static_cast<std::int32_t>(request.priority);
    result.need = toWire(request.need);
    result.idempotencyKey = request.idempotencyKey;
    result.isRepeatable = request.isRepeatable;
    result.remainingMs = countMilliseconds(request.deadline - now);
    result.waitedMs = countMilliseconds(now - request.arrival);
    result.hopCount = request.hopCount;
    result.body = request.body;
    return result;
}

Request fromWire(const wire::ForwardedRequest &request, TimePoint now)
{
    Request result;
    result.id = RequestId(request.id);
    result.team = TeamId(request.team);
    result.service = ServiceId(request.serviceId);
    result.kind = request.kind;
    result.priority = convertEnumeration(request.priority, Priority::Background);
    result.need = fromWire(request.need);
    result.idempotencyKey = request.idempotencyKey;
    result.isRepeatable = request.isRepeatable;
    result.deadline = now + clampDuration(request.remainingMs);
    result.arrival = now - clampDuration(request.waitedMs);
    result.hopCount = request.hopCount;
    result.body = request.body;
    return result;
}

wire::ForwardedOutcome toWire(const Outcome &outcome)
{
    wire::ForwardedOutcome result;
    result.status = static_cast<std::int32_t>(outcome.status);
    result.answer = outcome.answer;
    result.failure = toWire(outcome.failure);
    result.retryAfterMs = outcome.retryAfter.count();
    result.worker = outcome.worker.text();
    result.waitedMs = outcome.waited.count();
    return result;
}

Outcome fromWire(const wire::ForwardedOutcome &outcome)
{
    Outcome result;
    result.status = convertEnumeration(outcome.status, OutcomeStatus::Unknown);
    result.answer = outcome.answer;
    result.failure = fromWire(outcome.failure);
    result.retryAfter = clampDuration(outcome.retryAfterMs);
    result.worker = WorkerId(outcome.worker);
    result.waited = clampDuration(outcome.waitedMs);
    return result;
}

wire::Announcement toWire(const ConfigurationAnnouncement &announcement)
{
    wire::Announcement result;
    result.version = announcement.version;
    result.digest = announcement.digest;
    result.text = announcement.text;
    return result;
}

ConfigurationAnnouncement fromWire(const wire::Announcement &announcement)
{
    return { announcement.version, announcement.digest, announcement.text };
}

wire::HeldPlace toWire(const Hold &hold)
{
    wire::HeldPlace place;
    place.worker = hold.worker.text();
    place.holdId = hold.holdId;
    return place;
}

Hold fromWire(const wire::HeldPlace &place)
{
    return { WorkerId(place.worker), place.holdId };
}

wire::HoldOrder toWire(const HoldRequest &request)
{
    wire::HoldOrder order;
    order.job = request.job.text();
    order.team = request.team.text();
    order.serviceId = request.service.text();
    order.need = toWire(request.need);
    order.count = request.count;
    order.timeLimitMs = request.timeLimit.count();
    return order;
}

HoldRequest fromWire(const wire::HoldOrder &order)
{
    return { JobId(order.job),     TeamId(order.team), ServiceId(order.serviceId),
             fromWire(order.need), order.count,        clampDuration(order.timeLimitMs) };
}

wire::StartOrder toWire(const TaskStart &start, WallTime now)
{
    wire::StartOrder order;
    order.id = start.id.text();
    order.epoch = start.epoch;
    order.team = start.team.text();
    order.serviceId = start.service.text();
    order.need = toWire(start.need);
    order.latestStartMs = countMilliseconds(start.latestStart - now);
    order.leaseMs = start.lease.count();
    order.body = start.body;
    return order;
}

TaskStart fromWire(const wire::StartOrder &order, WallTime now)
{
    TaskStart start;
    start.id = TaskId(order.id);
    start.epoch = order.epoch;
    start.team = TeamId(order.team);
    start.service = ServiceId(order.serviceId);
    start.need = fromWire(order.need);
    start.latestStart = now + clampDuration(order.latestStartMs);
    start.lease = clampDuration(order.leaseMs);
    start.body = order.body;
    return start;
}

wire::StartResult toWire(const CallResult &result, const Failure &failure)
{
    wire::StartResult converted;
    converted.status = static_cast<std::int32_t>(result.status);
    converted.answer = result.answer;
    converted.failure = toWire(failure);
    return converted;
}

CallResult fromWire(const wire::StartResult &result)
{
    return { convertEnumeration(result.status, CallStatus::Unknown), result.answer };
}

wire::TaskReport toWire(const TaskStatus &task)
{
    wire::TaskReport report;
    report.id = task.id.text();
    report.state = static_cast<std::int32_t>(task.state);
    if (task.need != Resources {}) {
        report.__set_need(toWire(task.need));
    }
    if (!task.team.isEmpty()) {
        report.__set_team(task.team.text());
    }
    if (!task.answer.empty()) {
        report.__set_answer(task.answer);
    }
    if (task.measuredUse != Resources {}) {
        report.__set_measuredUse(toWire(task.measuredUse));
    }
    return report;
}

TaskStatus fromWire(const wire::TaskReport &report)
{
    TaskStatus task;
    task.id = TaskId(report.id);
    task.state = convertEnumeration(report.state, TaskState::NeverStarted);
    task.need = fromWire(report.need);
    task.team = TeamId(report.team);
    task.answer = report.answer;
    task.measuredUse = fromWire(report.measuredUse);
    return task;
}

} // namespace auburndoor
