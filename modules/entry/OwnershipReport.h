#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/**
    Logs how well an owner's ownership is confirmed by the store, when its permission ends, and how long a new owner waits for
   unread workers.

    Fed with plain values at each maintenance of the owner; the workers are counted only when a line is written. All members are
    called from the loop's thread.
*/
class OwnershipReport
{
public:
    /** The workers of the fleet by what the owner knows of them. */
    struct Workers
    {
        int total = 0;
        /** Workers whose last poll was accepted a short time ago. */
        int answering = 0;
        /** Workers that may have runs unknown to this owner. */
        int unread = 0;
        /** The ids of the first maxListedIds unread workers. */
        std::vector<std::string> firstUnread;
    };
    using CountWorkers = std::function<Workers()>;

    /** The age of the last confirmation from which the ownership counts as unconfirmed, and the interval of repeated lines. */
    static constexpr Milliseconds maxStoreAge { 2000 };
    static constexpr std::size_t maxListedIds = 5;

    explicit OwnershipReport(std::int64_t token);

    /**
        Writes "owner.unconfirmed" and "owner.confirmed".

        @param storeAge      how long ago the store has confirmed the ownership
        @param stallDuration how long the transaction in flight has been without success; zero if nothing is to be written
    */
    void updateConfirmation(TimePoint now, Milliseconds storeAge, Milliseconds stallDuration, const CountWorkers &countWorkers);

    /**
        Writes "owner.permission_ended" and "owner.permission_regained".

        @param mayStart the owner has the permission to start tasks
        @param storeAge how long ago the store has confirmed the ownership
    */
    void updatePermission(bool mayStart, Milliseconds storeAge, const CountWorkers &countWorkers);

    /**
        Writes "takeover.waiting" and "takeover.wait_over".

        @param isWaiting      some inherited job waits for reports of workers
        @param remainingLease until leases of earlier owners have ended; zero once they have
    */
    void updateWait(TimePoint now, bool isWaiting, Milliseconds remainingLease, const CountWorkers &countWorkers);

private:
    std::int64_t token_;
    /** The last confirmation before the present time without one; empty while the ownership is confirmed. */
    std::optional<TimePoint> unconfirmedSince_;
    TimePoint unconfirmedWrittenAt_;
    std::optional<TimePoint> waitingSince_;
    bool mayStart_ = true;
};

} // namespace auburndoor
