#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace auburndoor {

class OwnershipEvidence;
class StateStore;
class Timers;

/**
    Detects that the owner's process was suspended, and then asks the store whether another owner has taken over meanwhile.

    A process that resumes after a suspension continues with the state it had before, while a successor may have changed the stored
    state. All members are called from the loop's thread.
*/
class OwnershipGuard
{
public:
    enum class Status {
        IsOwner,
        IsReplaced,
        /** The store did not answer. */
        Unknown,
    };

    /**
        @param epochVersion the version of the epoch row that names this owner
        @param evidence     gets each confirmation of the store, and tells how old the last one is
        @param onReplaced   called when a read shows that the row no longer has this version
    */
    OwnershipGuard(Timers &timers,
                   StateStore &store,
                   std::int64_t epochVersion,
                   OwnershipEvidence &evidence,
                   std::function<void()> onReplaced);
    ~OwnershipGuard();

    /** Starts the detection; the owner is not uncertain before. */
    void start();

    /**
        Records that the process is running, and asks the store whether this is still the owner if it has not confirmed that lately
       or has failed to answer; to be called about every 200 ms.
    */
    void tick();

    /** Lets the next tick() ask the store whatever it has confirmed: another reading of the owner has failed. */
    void requireReading();

    /** How long the store has not answered whether this is still the owner, since the first such failure; zero if it answers. */
    Milliseconds stallDuration() const;

    /**
        True from a suspension that was long enough for a takeover until the store has answered whether there was one.

        Each call also records that the process is running.
    */
    bool isUncertain();

    /** Runs an action at once, or, while isUncertain(), after the store has answered whether this is still the owner. */
    void runWhenCertain(std::function<void()> action);

    /** Asks the store once whether this is still the owner. */
    void confirm(std::function<void(Status)> done);

    /** As confirm(), but calls back at once if the store has confirmed the ownership within maxAge. Calls share one reading. */
    void confirmWithin(Milliseconds maxAge, std::function<void(Status)> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
