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
    /** The worker that is meant; a worker refuses orders for another one, as after the reuse of an address. */
    WorkerId worker;
    InstanceId owner;
    /** Start and call, whose epoch and id the other orders use too. */
    TaskStart task;
    /** Call: how long the worker may wait for the end of the task. */
    Milliseconds wait { 0 };
    /** Throttle: share of the processors. */
    int percent = 0;
    /** Renew: the mark of the last report that arrived. */
    long long mark = 0;
};

/** A worker's answer to a claim or a renewal. */
struct MarkedReport
{
    WorkerId worker;
    WorkerReport report;
    /** Grows with each task that ends; given back with the next renewal. */
    long long mark = 0;
};

/** The order that a report answers. */
enum class ReportKind {
    /** The new owner learns everything about each task. */
    Claim,
    /** The owner knows need and team of the tasks, and takes answers by query; the report leaves them out. */
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
