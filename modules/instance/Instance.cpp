#include "instance/Instance.h"

#include "instance/InstanceParts.h"

namespace auburndoor {

Instance::Instance(const Settings &settings, Clock &clock, Metrics &metrics)
    : parts_(std::make_unique<InstanceParts>(settings, clock, metrics))
{
}

Instance::~Instance() = default;

void Instance::setDrainListener(std::function<void()> listener)
{
    parts_->setDrainListener(std::move(listener));
}

bool Instance::start(Failure &failure)
{
    return parts_->start(failure);
}

bool Instance::shutDown()
{
    return parts_->shutDown();
}

int Instance::callersPort() const
{
    return parts_->callersPort();
}

int Instance::operatorsPort() const
{
    return parts_->operatorsPort();
}

int Instance::peersPort() const
{
    return parts_->peersPort();
}

} // namespace auburndoor
