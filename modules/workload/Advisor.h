#pragma once

#include "core/Clock.h"

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

/** The service that knows which workers a step may use. It handles one call at a time for each calling machine. */
class Advisor
{
public:
    using Callback = std::function<void(AdviceResult)>;

    virtual ~Advisor() = default;

    /** @param step names a step of one occurrence, with index 0 */
    virtual void ask(const struct TaskName &step, const std::vector<std::string> &workers, Milliseconds timeout, Callback callback) = 0;
};

} // namespace auburndoor
