#pragma once

#include "entry/Owner.h"
#include "entry/PeerCodec.h"
#include "net/HttpChannels.h"
#include "net/HttpListener.h"

#include <functional>
#include <memory>

namespace auburndoor {

class EventLoop;

/** Delays, timeouts and limits of owner election and of the detection of a failed owner. */
struct LeadershipTiming
{
    /**
        How long the owner of a small cell holds a heartbeat request open; if its process ends meanwhile, the broken connection
        shows that. HeartbeatPacing extends it with the size of the cell.
    */
    Milliseconds heartbeatDelay { 250 };
    /** A heartbeat of an owner that is not busy counts as lost if it has not arrived this long after its delay. */
    Milliseconds heartbeatGracePeriod { 350 };
    /** An owner that the store has not served for this long is replaced by a process whose reads the store answers. */
    Milliseconds storeStallLimit { 450 };
    /** Timeout of the requests that ask other entry processes whether they reach the owner. */
    Milliseconds peerQueryTimeout { 250 };
    /** If no other process answers, this process may be the isolated one: it waits this long before it replaces the owner. */
    Milliseconds isolationWait { 1500 };
    /**
        A process without any heartbeat of the owner replaces a silent one after this time, if the owner has written nothing to the
        store meanwhile. It fits several attempts to connect, of which some may be lost.
    */
    Milliseconds unheardOwnerTimeout { 2000 };
    /** How often an owner that the store does not serve asks other processes for a successor. */
    Milliseconds successorCheckInterval { 500 };
    /** While its reading of the epoch row is not answered, a process asks others for a later owner at this interval. */
    Milliseconds epochReadingPatience { 200 };
    /** How long other processes leave the takeover to a successor that the former owner has named. */
    Milliseconds successorTakeoverTime { 300 };
    /** Delay before the epoch row is read again, and before a failed store access is repeated. */
    Milliseconds retryDelay { 150 };
    /** What a process has concluded about an owner no longer counts after this time, in which the owner may have recovered. */
    Milliseconds judgementLifetime { 2000 };
    /** Upper bound of the random delay that keeps several processes from trying at the same time. */
    Milliseconds maxJitter { 60 };
};

/**
    Elects the entry process that owns the cell, and follows the elected owner.

    The epoch row in the store names the owner. A process becomes the owner by replacing that row on the condition that its version
    is unchanged; the new row holds the next fencing token. Every other process keeps one heartbeat request open at the owner. It
    tries to take over if that request fails and no other process reaches the owner, or if the owner alone has lost the store; the
    owner then learns of its successor from other processes. A
    process with a large processor share also takes over from an owner with a small one. All members are called from the loop's
    thread.
*/
class Leadership
{
public:
    struct Hooks
    {
        /** Called when this process has become the owner. */
        std::function<void(const Ownership &)> onOwnershipWon;
        /**
            Returns the heartbeat that this process sends as the owner; empty if it is not the owner.

            Leadership adds the delays, and shortens the list of members.
        */
        std::function<std::optional<OwnerHeartbeat>()> ownHeartbeat;
        /** Called when this process is the owner and another one knows a later owner; may be empty. */
        std::function<void()> onSuccessorKnown = {};
        /** The version of the desired state that this process has, for the owner; may be empty. */
        std::function<std::int64_t()> desiredStateVersion = {};
        /** Called when a heartbeat has told of a newer version of the desired state than this process has; may be empty. */
        std::function<void()> onNewerStateKnown = {};
    };

    Leadership(EventLoop &loop, StateStore &store, const EntrySettings &settings, LeadershipTiming timing, Hooks hooks);
    ~Leadership();

    /** Reads the epoch row, and follows its owner or tries to become the owner. */
    void start();

    /** Records that this process has lost the ownership, and looks for the next owner. */
    void stepDown();

    /**
        Clears the owner's name in the epoch row for a planned stop, so that another process takes over at once.

        The row names a successor, to which the others leave the takeover for a moment: a large process that is not stopping, and of
        these the one that has begun to follow this one last.

        @param done called when the store has answered, whether or not it accepted the write
    */
    void release(const Ownership &ownership, std::function<void()> done);

    /** The owner with this token has ended its ownership and named this process its successor. */
    void succeed(std::int64_t token);

    /** This process no longer tries to become the owner. */
    void disableTakeover();

    /** The peer address of the owner; empty while no owner is known, while it does not answer, and if this process is the owner. */
    std::optional<Address> ownerAddress() const;

    /** True if the owner in another process answers and, by its last heartbeat, serves calls. */
    bool isOwnerReady() const;

    /** Answers a heartbeat request of another process: with a heartbeat, or with notOwnerStatus. */
    void answerHeartbeat(const WebRequest &request, HttpResponderPointer responder);

    /** Tells another process which owner this process knows, and whether it reaches that owner. */
    void answerOwnerView(HttpResponderPointer responder) const;

    /** Tells, for a person, what a process that is not the owner knows of the ownership. */
    std::string describeElection() const;

    /** The peer addresses of the processes that have recently sent a heartbeat request to this process. */
    std::vector<Address> members() const;

    /**
        The peer address of a process that has told of a newer version of the desired state; empty if none has.

        That is the owner, by its last heartbeat, or for the owner one of its followers.
    */
    std::optional<Address> holderOfNewerState(std::int64_t version) const;

    /** The newest version of the desired state of which another process has recently told; 0 if none has. */
    std::int64_t newestKnownState() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
