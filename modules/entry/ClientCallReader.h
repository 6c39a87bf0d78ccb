#pragma once

#include "entry/KeyRefusalReport.h"
#include "net/HttpExchange.h"

#include <functional>
#include <optional>

namespace auburndoor {

class CellProtocol;
class DesiredStateHolder;
class Metrics;
class Timers;
struct ClientCall;
struct ClientResult;

/**
    Reads clients' requests by the desired state.

    A key that is unknown here may be in a newer version, and so may a route where keys are required: the store's row is read before
    such a request is refused. It is also read before a request with a key is served by a process that was suspended, as the key may
    have been removed meanwhile. All others are read at once. All members are called from the loop's thread.
*/
class ClientCallReader
{
public:
    /** @param result set if the call is to be answered without an owner */
    using Callback = std::function<void(const ClientCall &call, const std::optional<ClientResult> &result)>;

    ClientCallReader(Timers &timers, const CellProtocol &protocol, DesiredStateHolder &desiredState, Metrics &metrics);

    /** Reads a request, whose client has the timeout of the call from now on. @param callback called once, maybe from within */
    void read(WebRequest request, Callback callback);

    /**
        Refuses a request by its headers, before its body is read.

        @return empty if the body, or a newer desired state, may matter
    */
    std::optional<WebReply> refuseEarly(const WebRequest &request);

    /** Counts an owner's answer that refuses a call for its key. */
    void noteResult(const ClientCall &call, const ClientResult &result);

private:
    /** True if a newer desired state may allow the call, or refuse it. */
    bool dependsOnNewerVersion(const ClientCall &call, const std::optional<ClientResult> &result);
    /** Passes a call to the callback; logs it if it is refused here. */
    void finish(const WebRequest &request,
                const ClientCall &call,
                const std::optional<ClientResult> &result,
                const Callback &callback);

    Timers &timers_;
    const CellProtocol &protocol_;
    DesiredStateHolder &desiredState_;
    KeyRefusalReport report_;
};

} // namespace auburndoor
