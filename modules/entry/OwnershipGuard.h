#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace auburndoor {

class StateStore;
class Timers;

/**
    Tells an owner that it may have been replaced unnoticed, and asks the store.

    A process that was suspended goes on where it stood: what it knows may be old, and a successor may have gone on with it. All
    members are called from the loop's thread.
*/
class OwnershipGuard
{
public:
    enum class Verdict {
        IsOwner,
        IsReplaced,
        /** The store did not say. */
        Unknown,
    };

    /** @param epochVersion the version of the row that names this owner @param replaced called when it names another one */
    OwnershipGuard(Timers &timers, StateStore &store, std::int64_t epochVersion, std::function<void()> replaced);
    ~OwnershipGuard();

    /** Begins to watch. */
    void start();

    /** Notes that the process runs; to be called every 200 ms or so. */
    void tick();

    /** True from a suspension in which a successor may have taken over until the store says that none has. */
    bool isInDoubt();

    /** Runs an action once this is certainly the owner, or was replaced. */
    void whenCertain(std::function<void()> action);

    /** Asks the store whether this is still the owner. */
    void confirm(std::function<void(Verdict)> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
