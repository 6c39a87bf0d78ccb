#pragma once

#include "core/Clock.h"
#include "workload/JobSpec.h"

#include <functional>
#include <string>
#include <vector>

namespace auburndoor {

/** A permit to run a step on a worker. */
struct Permit
{
    std::string worker;
    std::string ticket;
};

struct AdviceResult
{
    enum class Outcome {
        Answered,
        /** Too many calls of this machine wait. */
        Busy,
        Failed,
    };
    Outcome outcome = Outcome::Failed;
    std::vector<Permit> permits;
    Milliseconds validity { 0 };
};

/** A request to the advisory service. */
struct AdviceRequest
{
    /** Names a step of one occurrence; the index has no meaning. */
    TaskName step;
    std::vector<std::string> workers;
    /** How long the service is expected to work on it. */
    Milliseconds expected { 0 };
    Milliseconds timeout { 0 };
    /** That of the queue; 0 is the most urgent. */
    int priority = 0;
};

/** The service that knows which workers a step may use. It handles one call at a time for each calling machine. */
class Advisor
{
public:
    using Callback = std::function<void(AdviceResult)>;

    virtual ~Advisor() = default;

    virtual void ask(const AdviceRequest &question, Callback callback) = 0;

    /** True if a request that the service works on for so long would be sent at once. */
    virtual bool canSendNow(Milliseconds expected) const
    {
        return expected >= Milliseconds(0);
    }
};

} // namespace auburndoor
