#include "worker/HttpWorkerConnection.h"

#include "core/Failure.h"
#include "core/RandomId.h"
#include "http/HttpClient.h"
#include "observability/Metrics.h"
#include "observability/Traffic.h"
#include "worker/WorkerMessages.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** Idle connections kept for each worker: one for each call that can be open at a time, as workers have up to 8 slots. */
constexpr std::size_t idleConnectionLimit = 8;
constexpr int sendAttemptLimit = 3;
/** Doubled for each further retry, and lengthened by a random part of up to this length. */
constexpr Milliseconds firstRetryDelay { 20 };
constexpr int statusOk = 200;
constexpr int statusMalformed = 400;
constexpr int statusRefused = 409;
constexpr int statusOverloaded = 503;

FailureStep failureStepOf(const std::string &path)
{
    if (path == "/v1/seize") {
        return FailureStep::ClaimWorker;
    }
    if (path == "/v1/renew") {
        return FailureStep::RenewLease;
    }
    if (path == "/v1/query") {
        return FailureStep::Collect;
    }
    return path == "/v1/start" || path == "/v1/call" ? FailureStep::Start : FailureStep::Cancel;
}

/** The refusal that a reply carries; empty if it is not a definite refusal. */
std::optional<WorkerRefusal> findRefusal(const HttpReply &reply, const TaskId &task)
{
    if (reply.status == statusRefused) {
        return decodeRefusal(reply.body);
    }
    if (reply.status == statusMalformed) {
        return WorkerRefusal { task, FailureReason::MalformedInput, "the worker could not read the order" };
    }
    if (reply.status == statusOverloaded) {
        return WorkerRefusal { task, FailureReason::Throttled, "the worker has no thread for the order" };
    }
    return std::nullopt;
}

} // namespace

HttpWorkerConnection::HttpWorkerConnection(WorkerId worker, const std::string &address, Clock &clock, Metrics &metrics)
    : worker_(std::move(worker))
    , clock_(clock)
    , metrics_(metrics)
    , client_(std::make_unique<HttpClient>(address, idleConnectionLimit))
{
}

HttpWorkerConnection::~HttpWorkerConnection() = default;

std::optional<WorkerReport> HttpWorkerConnection::claim(Epoch epoch, const InstanceId &owner, TimePoint deadline, Failure &failure)
{
    WorkerCommand order;
    order.owner = owner;
    order.task.epoch = epoch;
    return sendReportOrder("/v1/seize", order, deadline, failure);
}

CallResult HttpWorkerConnection::call(const TaskStart &start, TimePoint deadline, Failure &failure)
{
    return sendStart("/v1/call", start, deadline, failure);
}

CallResult HttpWorkerConnection::start(const TaskStart &start, TimePoint deadline, Failure &failure)
{
    return sendStart("/v1/start", start, deadline, failure);
}

std::optional<TaskStatus> HttpWorkerConnection::query(const TaskId &task, TimePoint deadline, Failure &failure)
{
    return sendTaskOrder("/v1/query", task, {}, deadline, failure);
}

std::optional<TaskStatus> HttpWorkerConnection::cancel(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure)
{
    WorkerCommand order;
    order.task.epoch = epoch;
    return sendTaskOrder("/v1/cancel", task, order, deadline, failure);
}

std::optional<TaskStatus> HttpWorkerConnection::checkpoint(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure)
{
    WorkerCommand order;
    order.task.epoch = epoch;
    return sendTaskOrder("/v1/checkpoint", task, order, deadline, failure);
}

bool HttpWorkerConnection::throttle(const TaskId &task, Epoch epoch, int percent, TimePoint deadline, Failure &failure)
{
    WorkerCommand order;
    order.task.epoch = epoch;
    order.percent = percent;
    return sendTaskOrder("/v1/throttle", task, order, deadline, failure).has_value();
}

std::optional<WorkerReport> HttpWorkerConnection::renew(Epoch epoch, Milliseconds lease, TimePoint deadline, Failure &failure)
{
    WorkerCommand order;
    order.task.epoch = epoch;
    order.task.lease = lease;
    order.mark = newestMark_;
    return sendReportOrder("/v1/renew", order, deadline, failure);
}

CallResult HttpWorkerConnection::sendStart(const std::string &path, const TaskStart &start, TimePoint deadline, Failure &failure)
{
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - clock_.now());
    if (remaining.count() <= 0) {
        failure = {
            FailureStep::Start, worker_.text(), FailureReason::DeadlinePassed, "the deadline passed before the start was sent"
        };
        return { CallStatus::NotRun, {} };
    }
    WorkerCommand order;
    order.worker = worker_;
    order.task = start;
    order.wait = remaining;
    Delivery delivery = Delivery::MaybeSent;
    const auto reply = client_->exchange("POST", path, encode(order), {}, remaining, false, delivery, failure);
    countTrafficOf(path, reply);
    if (!reply) {
        failure.step = FailureStep::Start;
        failure.peer = worker_.text();
        return { delivery == Delivery::NotSent ? CallStatus::NotRun : CallStatus::Unknown, {} };
    }
    return toCallResult(*reply, start.id, path == "/v1/call", failure);
}

CallResult HttpWorkerConnection::toCallResult(const HttpReply &reply, const TaskId &task, bool mustHaveEnded, Failure &failure)
{
    if (const auto refusal = findRefusal(reply, task)) {
        if (refusal->task != task) {
            countCrossedAnswer(failure);
            return { CallStatus::Unknown, {} };
        }
        failure = { FailureStep::Start, worker_.text(), refusal->reason, refusal->message };
        return { CallStatus::NotRun, {} };
    }
    const auto answer = reply.status == statusOk ? decodeTask(reply.body) : std::nullopt;
    if (!answer) {
        failure = { FailureStep::Collect, worker_.text(), FailureReason::BadReply, "status " + std::to_string(reply.status) };
        return { CallStatus::Unknown, {} };
    }
    if (answer->id != task) {
        countCrossedAnswer(failure);
        return { CallStatus::Unknown, {} };
    }
    if (answer->state == TaskState::Running && mustHaveEnded) {
        failure = { FailureStep::Collect, worker_.text(), FailureReason::TimedOut, "the task has not ended before the deadline" };
        return { CallStatus::Unknown, {} };
    }
    if (answer->state == TaskState::Done || answer->state == TaskState::Running) {
        return { CallStatus::Answered, answer->answer };
    }
    if (answer->state == TaskState::Stopped) {
        failure = { FailureStep::Collect, worker_.text(), FailureReason::Cancelled, "the task was stopped" };
    } else {
        failure = { FailureStep::Collect, worker_.text(), FailureReason::WorkerFailed, "the task failed" };
    }
    return { CallStatus::TaskFailed, answer->answer };
}

std::optional<TaskStatus> HttpWorkerConnection::sendTaskOrder(const std::string &path,
                                                              const TaskId &task,
                                                              const WorkerCommand &order,
                                                              TimePoint deadline,
                                                              Failure &failure)
{
    std::optional<TaskStatus> result;
    auto completeOrder = order;
    completeOrder.task.id = task;
    const auto readAnswer = [&](const std::string &body) {
        result = decodeTask(body);
        if (result && result->id != task) {
            result.reset();
            countCrossedAnswer(failure);
        }
        return result.has_value();
    };
    return sendWithRetries(path, completeOrder, deadline, readAnswer, failure) ? result : std::nullopt;
}

std::optional<WorkerReport> HttpWorkerConnection::sendReportOrder(const std::string &path,
                                                                  const WorkerCommand &order,
                                                                  TimePoint deadline,
                                                                  Failure &failure)
{
    std::optional<MarkedReport> result;
    const auto readAnswer = [&](const std::string &body) {
        result = decodeReport(body);
        if (result && result->worker != worker_) {
            result.reset();
            countCrossedAnswer(failure);
        }
        return result.has_value();
    };
    if (!sendWithRetries(path, order, deadline, readAnswer, failure)) {
        return std::nullopt;
    }
    auto knownMark = newestMark_.load();
    while (knownMark < result->mark && !newestMark_.compare_exchange_weak(knownMark, result->mark)) {
    }
    return std::move(result->report);
}

bool HttpWorkerConnection::sendWithRetries(const std::string &path,
                                           const WorkerCommand &order,
                                           TimePoint deadline,
                                           const std::function<bool(const std::string &)> &readAnswer,
                                           Failure &failure)
{
    auto completeOrder = order;
    completeOrder.worker = worker_;
    const auto body = encode(completeOrder);
    failure = {
        failureStepOf(path), worker_.text(), FailureReason::DeadlinePassed, "the deadline passed before the order was sent"
    };
    for (int attempt = 0; attempt < sendAttemptLimit; ++attempt) {
        const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - clock_.now());
        if (remaining.count() <= 0) {
            return false;
        }
        // Each attempt gets an equal share of the remaining time, so that a lost answer leaves time for another attempt.
        const auto timeout = std::max(remaining / (sendAttemptLimit - attempt), Milliseconds(1));
        Delivery delivery = Delivery::MaybeSent;
        const auto reply = client_->exchange("POST", path, body, {}, timeout, true, delivery, failure);
        countTrafficOf(path, reply);
        failure.step = failureStepOf(path);
        failure.peer = worker_.text();
        if (reply && reply->status == statusOk) {
            failure = { failureStepOf(path), worker_.text(), FailureReason::BadReply, "the worker's answer is malformed" };
            if (readAnswer(reply->body)) {
                return true;
            }
        } else if (reply) {
            const auto refusal = findRefusal(*reply, order.task.id);
            failure.reason = refusal ? refusal->reason : FailureReason::BadReply;
            failure.message = refusal ? refusal->message : "status " + std::to_string(reply->status);
            if (refusal && refusal->reason != FailureReason::Throttled && refusal->task == order.task.id) {
                return false;
            }
        }
        if (!waitBeforeRetry(attempt, deadline)) {
            return false;
        }
        metrics_.countRetry(failure);
    }
    return false;
}

bool HttpWorkerConnection::waitBeforeRetry(int attempt, TimePoint deadline)
{
    const auto delay = firstRetryDelay * (1 << attempt) + Milliseconds(randomBelow(firstRetryDelay.count()));
    const auto end = clock_.now() + delay;
    if (attempt + 1 >= sendAttemptLimit || end >= deadline) {
        return false;
    }
    std::unique_lock lock(retryMutex_);
    clock_.waitUntil(lock, retryCondition_, end, [] { return false; });
    return true;
}

void HttpWorkerConnection::countTrafficOf(const std::string &path, const std::optional<HttpReply> &reply)
{
    if (reply) {
        constexpr std::string_view version = "/v1/";
        countTraffic(metrics_, "worker/" + path.substr(version.size()), reply->exchangedBytes);
    }
}

void HttpWorkerConnection::countCrossedAnswer(Failure &failure)
{
    metrics_.count("crossed_answers_total");
    failure = { FailureStep::Collect, worker_.text(), FailureReason::BadReply, "the answer belongs to another task or worker" };
}

} // namespace auburndoor
