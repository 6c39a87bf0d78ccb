#pragma once

#include "core/Failure.h"
#include "worker/WorkerConnection.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburndoor {

/** The fields of an order to a worker; each order uses those that docs/protocols/worker.md names for it. */
struct WorkerCommand
{
    /** The worker that the order is for. A worker refuses orders for another one, which it gets when an address is reused. */
    WorkerId worker;
    /** Claim: the instance that owns the worker's shard. */
    InstanceId owner;
    /** Start and call: the task. The other orders use its id, epoch or lease only. */
    TaskStart task;
    /** Call: how long the worker may wait for the end of the task. */
    Milliseconds wait { 0 };
    /** Throttle: the share of its processors that the task may use, from 1 to 100. */
    int percent = 0;
    /** Renewal: the mark of the newest report that arrived. */
    long long mark = 0;
};

/** A worker's answer to a claim or a renewal, with its position in the worker's sequence of ended tasks. */
struct MarkedReport
{
    /** The worker that reports. */
    WorkerId worker;
    WorkerReport report;
    /** Grows with each task that ends. The next renewal returns it, so that ends already reported are left out. */
    long long mark = 0;
};

/** The order that a report answers, which decides the fields of its tasks. */
enum class ReportKind {
    /** All fields, for a new owner. */
    Claim,
    /** Without need, team and answer: the owner knows the first two, and fetches answers by query. */
    Renewal,
};

/** A worker's refusal of an order. */
struct WorkerRefusal
{
    /** The task of the refused order; empty for orders without one. */
    TaskId task;
    FailureReason reason = FailureReason::BadReply;
    std::string message;
};

/** The name of a task state in messages and records, such as "never-started". */
std::string_view name(TaskState state);

/** The state of that name; empty if there is none. */
std::optional<TaskState> taskState(std::string_view name);

/** The message as JSON text; bytes that are not UTF-8 are replaced, except in bodies and answers. */
std::string encode(const WorkerCommand &order);
std::string encode(const TaskStatus &task);
std::string encode(const MarkedReport &report, ReportKind kind);
std::string encode(const WorkerRefusal &refusal);

/** The message as read from JSON text; empty if it is malformed or lacks a field. */
std::optional<WorkerCommand> decodeCommand(const std::string &text);
std::optional<TaskStatus> decodeTask(const std::string &text);
std::optional<MarkedReport> decodeReport(const std::string &text);
std::optional<WorkerRefusal> decodeRefusal(const std::string &text);

} // namespace auburndoor
