#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <memory>

namespace auburndoor {

class EventLoop;

/** A loopback port whose connections are carried on to another one, with faults on the way. */
class FaultyLink
{
public:
    enum class Mode {
        Open,
        /** Bytes wait for the delay, in order. */
        Slow,
        /** Nothing passes in either direction, and nothing is closed. */
        Silent,
        /** Requests arrive, and replies do not. */
        NoReplies,
        /** Open connections are reset and new ones at once. */
        Reset,
    };

    FaultyLink(EventLoop &loop, Address target);
    ~FaultyLink();

    /** Where to connect instead of the target. */
    Address address() const;

    /** Applies to open and to new connections. Bytes held back by a silent link arrive once it is open again. */
    void setMode(Mode mode, Milliseconds delay = Milliseconds(0));

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
