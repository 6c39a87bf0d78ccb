#pragma once

#include "entry/Owner.h"
#include "entry/PeerCodec.h"
#include "net/HttpChannels.h"
#include "net/HttpListener.h"

#include <functional>
#include <memory>

namespace auburndoor {

class EventLoop;

/** Times of the watch over the owner. */
struct LeadershipTimes
{
    /** How long an owner holds a pulse back, so that its end is noticed by the open request. */
    Milliseconds pulseWait { 250 };
    /** Beyond that wait a pulse counts as lost. */
    Milliseconds pulseSlack { 350 };
    /** An owner whose writes the store has not taken for so long is replaced by a process whose reads it answers. */
    Milliseconds storeAwayLimit { 450 };
    /** How long other processes are asked whether they hear the owner. */
    Milliseconds suspicionTimeout { 250 };
    /** A process that nobody else answers, and that may itself be cut off, waits so much longer. */
    Milliseconds isolationWait { 1500 };
    /** From a failure of the store to the next try. */
    Milliseconds retry { 150 };
    /** The spread of the tries of several processes. */
    Milliseconds spread { 60 };
};

/**
    Decides which entry process owns the cell.

    The row of the epoch names the owner; who replaces it under the condition of its version is the next owner, with the next
   fencing token. Each other process keeps a pulse request open at the owner; when it fails and no other process hears the owner, or
   the owner has lost the store, it tries to take over. All members are called from the loop's thread.
*/
class Leadership
{
public:
    struct Hooks
    {
        /** The cell was won. */
        std::function<void(const Ownership &)> won;
        /** Whether this process owns the cell now, and what it tells others. */
        std::function<std::optional<Pulse>()> ownPulse;
    };

    Leadership(EventLoop &loop, StateStore &store, const EntrySettings &settings, LeadershipTimes times, Hooks hooks);
    ~Leadership();

    void start();

    /** The ownership was lost; looks for the next owner. */
    void stepDown();

    /** Gives the ownership up for a planned stop, so that another process takes over at once. */
    void release(const Ownership &ownership, std::function<void()> done);

    /** No longer tries to become the owner. */
    void abstain();

    /** Where the owner takes calls; empty while it is not known or does not answer. */
    std::optional<Address> ownerAddress() const;

    /** Answers a pulse request of another process. */
    void answerPulse(const WebRequest &request, HttpResponderPointer responder);

    /** Answers which owner this process knows, and whether it hears it. */
    void answerSighting(HttpResponderPointer responder) const;

    /** The processes that have asked this owner for a pulse lately. */
    std::vector<Address> members() const;

    /** The version of the desired state that the owner last named. */
    std::int64_t desiredVersionOfOwner() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
