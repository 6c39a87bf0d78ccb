#pragma once

#include "entry/WorkerRelayMessages.h"
#include "net/Address.h"

#include <functional>
#include <memory>
#include <string>

namespace auburndoor {

class RelayTransport;
class Timers;

/** How a command given to a WorkerRelayLink ended. */
enum class RelayOutcome {
    /** The relay has replied. */
    Answered,
    /** The command never left this process, or the relay has refused its message. */
    NotSent,
    /** The relay failed or was late: the command may have been carried out, or may still be carried out later. */
    Lost,
};

/** Counts since the link was created. */
struct RelayLinkStatistics
{
    long long batches = 0;
    long long commands = 0;
    long long failures = 0;
    /** The sum over all replies of the time from send() to the reply, without reports, which wait at the worker. */
    Milliseconds commandTime { 0 };
    long long commandReplies = 0;
};

/**
    The owner's exchange of messages with one relay.

    Commands are gathered for a few milliseconds and sent as one message; the relay holds the request open until it has replies, or
    until the next message. While any command is without a reply, a message is open at the relay. A relay that fails is not usable
    for a while, and has to be introduced again. All members are called from the loop's thread.
*/
class WorkerRelayLink
{
public:
    /** Called once, never from within send(). @param reply valid if the outcome is Answered */
    using Callback = std::function<void(RelayOutcome outcome, const RelayReply &reply)>;

    WorkerRelayLink(Timers &timers, RelayTransport &transport, Address relay, std::int64_t fencingToken);
    /** Commands without a reply end all the same, by the relay's reply or as lost; the transport must exist until then. */
    ~WorkerRelayLink();

    /**
        Sends an empty message, whose answer makes the link usable.

        @return false if a message is open or the relay has failed too recently, so that nothing was sent
    */
    bool introduce();

    /** True if the relay has answered, and has not failed since. */
    bool isUsable() const;

    /** Sends a command with the next message. RelayCommand::number and worker are set by this function. */
    void send(RelayCommand command, const WorkerEntry &worker, Callback callback);

    const Address &relay() const;
    /** What the relay has said in its last answer. */
    double processorShare() const;
    const std::string &failureDomain() const;

    const RelayLinkStatistics &statistics() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
