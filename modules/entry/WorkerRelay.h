#pragma once

#include "entry/WorkerRelayMessages.h"

#include <functional>
#include <memory>
#include <string>

namespace auburndoor {

class Metrics;
class Timers;

/**
    Carries out commands to workers for the owner of the cell, on an entry process that holds the connections to these workers.

    A relay decides nothing: each command has the owner's fencing token, and a lease is a deadline on the worker's clock that the
    owner has computed. Replies are gathered and sent with the answer to the owner's next message. What an owner needs is kept by
    its fencing token, and dropped when that owner has sent nothing for a while. All members are called from the loop's thread.
*/
class WorkerRelay
{
public:
    /** Receives the answer: an HTTP status and, for status 200, a message of WorkerRelayCodec. */
    using Answer = std::function<void(int status, std::string message)>;

    /**
        @param processorShare returns the share of a processor core that this process may use
        @param failureDomain  the failure domain of this machine
    */
    WorkerRelay(Timers &timers, WorkerChannelFactory &channels, std::function<double()> processorShare, std::string failureDomain);
    ~WorkerRelay();

    /**
        Takes an owner's message.

        @param answer called once: soon after replies to this or earlier commands have arrived, when the owner's next message
                      arrives, or after maxAnswerDelay; with status 400 at once if the message is malformed
    */
    void serve(const std::string &message, Answer answer);

    /** Sets the gauges of this relay. */
    void updateMetrics(Metrics &metrics) const;

    /** The longest time from a message to its answer. */
    static constexpr Milliseconds maxAnswerDelay { 300 };

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
