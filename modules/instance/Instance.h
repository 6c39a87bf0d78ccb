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
    One entry instance, with all its modules.

    Call start() and then shutDown() from the same thread.
*/
class Instance
{
public:
    Instance(const Settings &settings, Clock &clock, Metrics &metrics);

    /** If shutDown() was not called, stops all threads without draining. */
    ~Instance();

    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** Sets the function that is called when an operator asks this instance to drain, or when a later process with the same id has
     * superseded it. Called on a thread of the operators' HTTP server or of the ownership manager. Set before start(). */
    void setDrainListener(std::function<void()> listener);

    /** Binds all listeners and starts all threads. @return false, with the reason in failure, if a listener cannot be bound */
    bool start(Failure &failure);

    /**
        Stops gracefully: fails the load balancer's health check, hands shards over to named successors, finishes requests.

        @return true if the callers' requests and the release of the shards ended before the shutdown deadline of the settings
    */
    bool shutDown();

    int callersPort() const;
    int operatorsPort() const;
    int peersPort() const;

private:
    std::unique_ptr<InstanceParts> parts_;
};

} // namespace auburndoor
