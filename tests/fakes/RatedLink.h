#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <cstddef>
#include <memory>

namespace auburndoor {

class EventLoop;

/**
    Forwards connections from a loopback port to a target address as a slow link does: what the target sends shares a rate.

    What the clients send passes at once. Used on the thread of its event loop.
*/
class RatedLink
{
public:
    RatedLink(EventLoop &loop, Address target, std::size_t bytesPerSecond);
    ~RatedLink();

    /** The address to connect to instead of the target. */
    Address address() const;

    /** What has passed towards the clients so far, in bytes. */
    std::size_t passedBytes() const;

    /** Nothing passes any more towards the clients; connections stay open. */
    void stall();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
