#pragma once

#include "core/Clock.h"
#include "core/Resources.h"
#include "workload/JobSpec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburndoor {

/** The name of a run on its worker. */
struct RunKey
{
    TaskName task;
    std::int64_t attempt = 0;

    auto operator<=>(const RunKey &other) const = default;
};

/** How a run shares its worker with others. */
enum class RunKind {
    Plain,
    /** Uses the processors that others leave idle, and disturbs tasks that serve. */
    BestEffort,
    /** Serves its own users within a latency target. */
    LatencySensitive,
};

/** What a run takes of its worker. */
struct RunClaim
{
    Resources need;
    RunKind kind = RunKind::Plain;
    /** That of its queue; 0 is the most urgent. */
    int priority = 0;
    /** It loses nothing when it is stopped, so that more urgent work may take its room. */
    bool isPreemptible = false;
};

/** One start of a task on a worker, from the order until its end is listed or ruled out. */
struct Run
{
    enum class Phase {
        /** The start was sent and is not answered. */
        Starting,
        Running,
        /** The start got no answer: it may take effect until a stop rules that out. */
        Uncertain,
        /** A stop is under way; the run occupies the worker until its end is listed. */
        Stopping,
    };

    RunKey key;
    Phase phase = Phase::Starting;
    RunClaim claim;
    TimePoint startedAt;
    TimePoint confirmedAt;
    int percent = 0;
    TimePoint percentChangedAt;
    /** The share of its speed at which it was last told to work. */
    int speedPercent = 100;
    /** As in RunningTask. */
    std::int64_t latencyOrProcessorUse = -1;
    /** Why it is being stopped; empty if it is not. */
    std::string stopReason;
    bool isStopOnItsWay = false;
    std::optional<TimePoint> stopAcknowledgedAt;
    /** When the answer to its start was given up, or its worker was found to have restarted. */
    TimePoint uncertainSince;
    /** The start was answered: it cannot take effect once more. */
    bool isStartAnswered = false;
    /** A run of a job that this owner doesn't know or that has ended. */
    bool isForeign = false;
};

/** Why a run is gone without a listed end. */
enum class RunLoss {
    /** The worker started a new life. */
    WorkerRestarted,
    /** The worker did not answer until its lease had passed. */
    LeaseExpired,
    /** Its stop was acknowledged and the worker does not list it. */
    NeverStarted,
    /** The worker no longer lists it. */
    Missing,
    /** The worker refused the start. */
    Refused,
};

std::string_view name(RunLoss loss);

} // namespace auburndoor
