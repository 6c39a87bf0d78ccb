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

/** One wait queue for each declared service, and the part of its pool that is kept for short work. Any thread. Queues live as long
 * as this object, also after their service has been removed. */
class ServiceQueues
{
public:
    using OrderFactory = std::function<std::unique_ptr<QueueOrder>()>;

    ServiceQueues(Clock &clock, OrderFactory makeOrder);

    /** The queue of a service; it is made on first use. */
    WaitQueue &queue(const ServiceDeclaration &service);

    /** The part of a service's pool that long work may not fill. */
    ShortReserve &shortReserve(const ServiceId &service);

    /** Tells all queues that room has appeared. */
    void onCapacityFreed();

    /** The number of requests that wait for a service. */
    std::size_t queued(const ServiceId &service) const;

    /** Ends all waits and refuses new ones. */
    void shutdown();

private:
    std::vector<WaitQueue *> all() const;

    Clock &clock_;
    const OrderFactory makeOrder_;
    mutable std::mutex mutex_;
    std::map<ServiceId, std::unique_ptr<WaitQueue>> queues_;
    std::map<ServiceId, std::unique_ptr<ShortReserve>> reserves_;
    bool isShutDown_ = false;
};

} // namespace auburndoor
