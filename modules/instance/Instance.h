#pragma once

#include "core/Clock.h"

#include <functional>
#include <memory>

namespace auburndoor {

class InstanceParts;
class Metrics;
struct Failure;
struct Settings;

/**
    One entry instance: all modules put together.

    start() and shutDown() are called from one thread, in this order.
*/
class Instance
{
public:
    Instance(const Settings &settings, Clock &clock, Metrics &metrics);

    /** Stops without the graceful steps if shutDown() was not called. */
    ~Instance();

    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** Called on an operator's thread when an operator asks this instance to drain. Set before start(). */
    void setDrainListener(std::function<void()> listener);

    /** Binds all listeners and starts all threads. @return false with the reason if a listener cannot be bound */
    bool start(Failure &failure);

    /**
        Stops gracefully: leaves the balancer's health check, finishes what is in flight, hands the shards over to named successors.

        @return true if everything ended before the shutdown deadline of the settings
    */
    bool shutDown();

    int callersPort() const;
    int operatorsPort() const;
    int peersPort() const;

private:
    std::unique_ptr<InstanceParts> parts_;
};

} // namespace auburndoor
