#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <functional>
#include <memory>

namespace auburndoor {

class EventLoop;

/** Forwards connections from a loopback port to a target address and injects faults. Used on the thread of its event loop. */
class FaultyLink
{
public:
    enum class Mode {
        Open,
        /** Data is forwarded in order after the delay. */
        Delayed,
        /** No data is forwarded in either direction; connections stay open. */
        Stalled,
        /** Data reaches the target, but its replies are held back. */
        NoReplies,
        /** Open connections are reset, and new ones as soon as they are accepted. */
        Reset,
        /** Open connections are reset, and new ones refused. */
        Refused,
        /** As Stalled, and new connections do not open: the clients' attempts get no answer. */
        Unreachable,
        /** As NoReplies, and new connections do not open. */
        OneWay,
    };

    FaultyLink(EventLoop &loop, Address target);
    ~FaultyLink();

    /** The address to connect to instead of the target. */
    Address address() const;

    /** Sets the mode of open and new connections. Data that was held back is forwarded once the mode allows it. */
    void setMode(Mode mode, Milliseconds delay = Milliseconds(0));
    Mode mode() const;

    /**
        Delivers data that was held back although its sender has closed the connection meanwhile, as TCP does; each connection takes
        a delay that this function draws, so that connections overtake each other. Without it such data is dropped.
    */
    void deliverLate(std::function<Milliseconds()> drawDelay);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
