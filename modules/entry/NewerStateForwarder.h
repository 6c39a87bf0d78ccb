#pragma once

#include "core/Clock.h"
#include "entry/PassedRequestCodec.h"
#include "net/Address.h"

#include <functional>
#include <memory>
#include <optional>

namespace auburndoor {

class EventLoop;
class HttpChannels;

/**
    Lets another process, which has a newer desired state, decide clients' requests.

    Used while this process knows that its own desired state is out of date: its routes, keys and limits may have changed since. All
    members are called from the loop's thread, and it has to exist while the loop runs.
*/
class NewerStateForwarder
{
public:
    /** @param answer empty if the other process cannot have received the request, or the request may be repeated */
    using Callback = std::function<void(const std::optional<PassedRequestAnswer> &answer)>;

    explicit NewerStateForwarder(EventLoop &loop);
    ~NewerStateForwarder();

    /**
        Passes a request on.

        @param holder   the peer address of the process with the newer state
        @param timeout  how long the client waits
        @param callback called once with the answer, possibly before forward() returns
    */
    void forward(const WebRequest &request, const Address &holder, Milliseconds timeout, Callback callback);

    /** Ends all open requests without an answer and passes no further ones on; for a process that is about to stop. */
    void close();

private:
    EventLoop &loop_;
    /** To the process that was asked last. */
    std::unique_ptr<HttpChannels> channels_;
    bool isClosed_ = false;
};

} // namespace auburndoor
