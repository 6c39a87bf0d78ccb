#pragma once

#include "entry/CellProtocol.h"
#include "net/Address.h"

#include <functional>
#include <memory>
#include <optional>

namespace auburndoor {

class EventLoop;
class Owner;

/**
    Passes clients' calls to the owner of the cell, in this process or another one.

    All calls are idempotent, so a call whose answer was lost is repeated, at the next owner if necessary, until the client's
    timeout has nearly passed. Then a submission or cancellation that an owner may have received ends as Unknown, and any other call
    as Refused. All members are called from the loop's thread.
*/
class OwnerCallForwarder
{
public:
    using Callback = std::function<void(const ClientResult &)>;

    /**
        @param localOwner         returns the owner in this process, or null
        @param remoteOwnerAddress returns the peer address of the owner in another process; empty if it is not known
    */
    OwnerCallForwarder(EventLoop &loop,
                       std::function<Owner *()> localOwner,
                       std::function<std::optional<Address>()> remoteOwnerAddress);
    ~OwnerCallForwarder();

    /** Passes a call to the owner. @param callback called once with the result, possibly before call() returns */
    void call(const ClientCall &call, Callback callback);

    /** Answers every open call now, as after its timeout, and refuses further ones; for a process that is about to stop. */
    void close();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
