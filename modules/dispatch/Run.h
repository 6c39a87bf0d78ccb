#pragma once

#include "core/Clock.h"
#include "core/Resources.h"
#include "workload/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburndoor {

/** Identifies a run on its worker. */
struct RunKey
{
    TaskName task;
    std::int64_t attempt = 0;

    // clang-tidy 14 takes the zero in the generated comparison for a null pointer.
    auto operator<=>(const RunKey &other) const = default; // NOLINT(modernize-use-nullptr)
};

/** How a run shares its worker with others. */
enum class RunKind {
    Plain,
    /** Uses the processors that others leave idle, and raises the latency of latency-sensitive tasks beside it. */
    BestEffort,
    /** A service with a latency target. */
    LatencySensitive,
};

/** What a run occupies on its worker, and which other runs may take its place. */
struct RunClaim
{
    Resources need;
    RunKind kind = RunKind::Plain;
    /** The priority of its queue; 0 is the most urgent. */
    int priority = 0;
    /** It saves its progress, so that it may be stopped for more urgent work. */
    bool isPreemptible = false;
    /** Workers have crashed under its task. */
    bool isSuspected = false;
    /** It is to run alone: no run of another job is started beside it. */
    bool isIsolated = false;
    /** The client account of its job; empty if it has none. */
    std::string account;
    /** What it takes of the account's limit: also the processor time that does not count on the worker. */
    Resources accountNeed;
};

/** One start of a task on a worker, from the start command until its end is listed or it is certain that it will not run. */
struct Run
{
    enum class Phase {
        /** The start was sent and has no answer so far. */
        Starting,
        Running,
        /** The start got no answer, or the worker has restarted: the start may still take effect until a stop rules that out. */
        Uncertain,
        /** A stop was sent; the run occupies the worker until its end is listed. */
        Stopping,
    };

    RunKey key;
    Phase phase = Phase::Starting;
    RunClaim claim;
    /** When the start was sent, or when an adopted run was first reported. */
    TimePoint startedAt;
    /** When the run was first known to run; TimePoint() before. */
    TimePoint confirmedAt;
    /** The incarnation of the worker to which its start was sent, or which has listed it. */
    std::int64_t incarnation = 0;
    /** The progress of the task, from 0 to 100, as last reported. */
    int percent = 0;
    TimePoint percentChangedAt;
    /** A hash of the checkpoint as last reported, or from which it was started; 0 if there is none. */
    std::size_t checkpointHash = 0;
    /** When a checkpoint of this run was first reported; TimePoint() before. */
    TimePoint checkpointedAt;
    /** The share of its speed to which it was last throttled, in percent; -1 if the worker did not take the last command. */
    int speedPercent = 100;
    /** As in RunningTask. */
    std::int64_t latencyOrProcessorUse = -1;
    /** Why it is being stopped; empty if it is not. */
    std::string stopReason;
    /** A stop was sent and has no answer so far. */
    bool isStopPending = false;
    std::optional<TimePoint> stopAcknowledgedAt;
    /** When its start was found to have no answer, or its worker to have restarted. */
    TimePoint uncertainSince;
    /** The start was answered, so that it cannot take effect later. */
    bool isStartAnswered = false;
    /** The listener did not adopt it, and it is being stopped. */
    bool isUnwanted = false;
    /** Its whole run time is seen: this owner started it without a checkpoint, knew at once that it ran, and did not throttle it.
     */
    bool isMeasurable = false;
    /** The speed of its worker, as known when it started. */
    double startSpeed = 1;

    /** Notes the checkpoint that a report shows; empty if there is none. */
    void noteCheckpoint(const std::string &checkpoint, TimePoint now);
};

/** Why a run is gone without a listed end. */
enum class RunLoss {
    /** A later incarnation of the worker does not list it. */
    WorkerRestarted,
    /** The worker drained and removed its entry itself. */
    WorkerLeft,
    /** Another worker answers at the address. */
    WorkerReplaced,
    /** The worker did not answer until its lease had expired. */
    LeaseExpired,
    /** The worker acknowledged its stop and does not list it. */
    NeverStarted,
    /** The worker confirmed it and no longer lists it. */
    Missing,
    /** The start was refused or not sent. */
    Refused,
};

std::string_view name(RunLoss loss);

} // namespace auburndoor
