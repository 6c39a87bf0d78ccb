#include "pipeline/ServiceQueues.h"

#include "admission/QueueOrder.h"

namespace auburndoor {

ServiceQueues::ServiceQueues(Clock &clock, OrderFactory makeOrder) : clock_(clock), makeOrder_(std::move(makeOrder))
{
}

WaitQueue &ServiceQueues::queue(const ServiceDeclaration &service)
{
    const std::lock_guard lock(mutex_);
    auto &queue = queues_[service.id];
    if (!queue) {
        WaitQueueOptions options;
        options.limit = static_cast<std::size_t>(service.queueLimit);
        queue = std::make_unique<WaitQueue>(clock_, makeOrder_(), options);
        if (isShutDown_) {
            queue->shutdown();
        }
    }
    queue->setLimit(static_cast<std::size_t>(service.queueLimit));
    return *queue;
}

ShortReserve &ServiceQueues::shortReserve(const ServiceId &service)
{
    const std::lock_guard lock(mutex_);
    auto &reserve = shortReserves_[service];
    if (!reserve) {
        reserve = std::make_unique<ShortReserve>(clock_);
    }
    return *reserve;
}

void ServiceQueues::onCapacityFreed()
{
    for (auto *queue : allQueues()) {
        queue->onCapacityFreed();
    }
}

std::size_t ServiceQueues::queued(const ServiceId &service) const
{
    const std::lock_guard lock(mutex_);
    const auto found = queues_.find(service);
    return found == queues_.end() ? 0 : found->second->size();
}

void ServiceQueues::shutdown()
{
    {
        const std::lock_guard lock(mutex_);
        isShutDown_ = true;
    }
    for (auto *queue : allQueues()) {
        queue->shutdown();
    }
}

std::vector<WaitQueue *> ServiceQueues::allQueues() const
{
    const std::lock_guard lock(mutex_);
    std::vector<WaitQueue *> result;
    for (const auto &[service, queue] : queues_) {
        result.push_back(queue.get());
    }
    return result;
}

} // namespace auburndoor
