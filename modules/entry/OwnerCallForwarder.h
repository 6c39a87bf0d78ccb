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
    Brings clients' calls to the cell's owner, wherever it is.

    All calls are idempotent, so a call whose answer was lost is repeated, at the next owner if need be, until the client's patience
    is nearly over. Then it is refused if no owner can have received it; else the client gets no verdict. All members are called
   from the loop's thread.
*/
class OwnerCallForwarder
{
public:
    using Callback = std::function<void(const ClientResult &)>;

    OwnerCallForwarder(EventLoop &loop, std::function<Owner *()> local, std::function<std::optional<Address>()> remote);
    ~OwnerCallForwarder();

    void call(const ClientCall &call, Callback callback);

    /** Gives every open call its final answer now, and refuses further ones: the process is about to end. */
    void close();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
