#pragma once

#include "core/Clock.h"
#include "workload/JobSpec.h"

#include <functional>
#include <string>
#include <vector>

namespace auburndoor {

/** Permission of the advisory service to run a step's tasks on one worker. */
struct Permit
{
    std::string worker;
    /** Opaque text that the worker checks when a task is started. */
    std::string ticket;
};

/** The service's reply to an AdviceRequest. */
struct AdviceResult
{
    enum class Outcome {
        Answered,
        /** The service rejected the request because too many calls of this machine already wait there. */
        Busy,
        /** No usable reply. */
        Failed,
    };
    Outcome outcome = Outcome::Failed;
    /** The permits for those of the requested workers that the step may use. */
    std::vector<Permit> permits;
    /** How long the permits are valid; zero if the reply does not say. */
    Milliseconds validity { 0 };
};

/** Asks the advisory service which of the given workers a step may use. */
struct AdviceRequest
{
    /** The step of one occurrence; the task index is not used. */
    TaskName step;
    /** The ids of the workers. */
    std::vector<std::string> workers;
    /** The time that the service is expected to need for this request. */
    Milliseconds expected { 0 };
    /** How long to wait for the service's reply. */
    Milliseconds timeout { 0 };
    /** The priority of the job's queue; 0 is the most urgent. */
    int priority = 0;
};

/**
    Client of the advisory service, which decides which workers a step may use.

    The service handles one call at a time for each calling machine.
*/
class Advisor
{
public:
    using Callback = std::function<void(AdviceResult)>;

    virtual ~Advisor() = default;

    /** Sends a request; the callback is called once, from the loop's thread and never from within ask(). */
    virtual void ask(const AdviceRequest &request, Callback callback) = 0;

    /** True if a request with this expected processing time would be sent at once instead of being queued. */
    virtual bool canSendNow(Milliseconds expected) const
    {
        return expected >= Milliseconds(0);
    }
};

} // namespace auburndoor
