#pragma once

#include "admission/ShortReserve.h"
#include "admission/WaitQueue.h"
#include "core/Identifier.h"
#include "declaration/Declaration.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace auburndoor {

/**
    Holds a wait queue and a short-work reserve for each declared service.

    Queues live as long as this object, also after their service has been removed. Any thread.
*/
class ServiceQueues
{
public:
    using OrderFactory = std::function<std::unique_ptr<QueueOrder>()>;

    ServiceQueues(Clock &clock, OrderFactory makeOrder);

    /** The queue of a service, created on first use; also applies the queue limit that the service declares now. */
    WaitQueue &queue(const ServiceDeclaration &service);

    /** The part of a service's pool that long work may not fill. */
    ShortReserve &shortReserve(const ServiceId &service);

    /** Tries the waiting requests of all queues. Call when capacity has been freed here or at a peer. */
    void onCapacityFreed();

    /** The number of requests that wait in the queue of a service. */
    std::size_t queued(const ServiceId &service) const;

    /** Ends all waits and refuses new ones. */
    void shutdown();

private:
    std::vector<WaitQueue *> allQueues() const;

    Clock &clock_;
    const OrderFactory makeOrder_;
    mutable std::mutex mutex_;
    std::map<ServiceId, std::unique_ptr<WaitQueue>> queues_;
    std::map<ServiceId, std::unique_ptr<ShortReserve>> shortReserves_;
    bool isShutDown_ = false;
};

} // namespace auburndoor
