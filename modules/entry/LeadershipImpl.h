#pragma once

#include "entry/EpochRow.h"
#include "entry/Leadership.h"

#include "net/EventLoop.h"
#include "net/LoopDelayMeter.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace auburndoor {

/**
    From this ownerShare() on a machine counts as large and is preferred as the owner: in a large cell the owner needs more than
    the smallest machines have. If all machines are small, only the jitter decides between them.
*/
constexpr double largeMachineShare = 0.2;

/** The state of a Leadership, shared with the callbacks of calls in flight. */
struct Leadership::Impl : std::enable_shared_from_this<Leadership::Impl>
{
    Impl(EventLoop &loop, StateStore &store, const EntrySettings &settings, LeadershipTiming timing, Hooks hooks)
        : loop(loop)
        , store(store)
        , settings(settings)
        , timing(timing)
        , hooks(std::move(hooks))
        , random(std::random_device {}())
        , loopDelayMeter(loop)
    {
    }

    /** Reads the epoch row and follows its owner, or takes over if the owner may be replaced. */
    void findOwner();
    /** @param sentAt when the row was requested */
    void onEpochRow(const StoreResult &result, TimePoint sentAt);
    /** Allows the takeover from a process that the row still names, though it has denied for long enough that it is the owner. */
    void verifyDenial(const EpochRow &row, TimePoint sentAt);
    /** Follows a later owner that other processes know, if the reading of the epoch row with this number is still in flight. */
    void askPeersMeanwhile(std::uint64_t reading);
    /** Goes back to the last known owner, which may answer again; for a process that the store does not serve. */
    void retryOwner();
    /** Tries to replace the epoch row. @param version the version that the row must still have */
    void takeOver(const EpochRow &row, std::int64_t version);
    /** How long this process leaves the takeover from a row without an owner, or from a failed one, to others. */
    Milliseconds takeoverDelay(const EpochRow &row) const;
    /** The follower that is to take over when this process stops; empty if there is none. */
    std::optional<Address> chooseSuccessor() const;
    /** Tells the successor that this process has ended its ownership with this token. */
    void callSuccessor(const Address &successor, std::int64_t token);
    void onTakeoverResult(const StoreResult &result, std::int64_t token, CallTime sentAt);
    void becomeOwner(const Ownership &won);
    /** While this process owns the cell with this token and the store does not serve it, asks other processes for a later owner. */
    void watchForSuccessor(std::int64_t token);
    /** Begins to request heartbeats from the owner that the row names. */
    void follow(const EpochRow &row);
    void requestHeartbeat();
    /** The heartbeat that this process sends to a follower as the owner; empty if it is not the owner. */
    std::optional<OwnerHeartbeat> makeHeartbeat(const Address &follower);
    /** Calls Hooks::onNewerStateKnown if this process has an older version. */
    void reportNewerState(std::int64_t version) const;
    /** The newest version of the desired state of which another process has recently told, and that process. */
    std::pair<std::int64_t, std::optional<Address>> newestState() const;
    /** The members as Leadership::members(), listed at most every 100 ms. */
    const std::vector<Address> &recentMembers();
    /** How busy a new owner has to expect to be, or how busy it was. */
    Milliseconds reportedLoopDelay() const;
    /** How long after its request a heartbeat counts as lost. */
    Milliseconds heartbeatTimeout() const;
    /** @param sentRound the heartbeatRound when the request was sent */
    void onHeartbeat(const SendResult &sent, std::uint64_t sentRound, TimePoint sentAt);
    /** Reads the version of the sequence row, which each write of the owner changes; nothing is done if the owner has changed
     * meanwhile. */
    void readOwnerProgress(std::function<void(const StoreResult &)> done);
    /** Notes whether the unheard owner has written to the store since the last reading. */
    void noteOwnerProgress(const StoreResult &result);
    /**
        Looks for evidence that an owner of which this process has had no heartbeat has failed, and otherwise asks for a heartbeat
        again: such a process knows neither how busy the owner is nor other processes that it could ask.

        @param isRefused the owner's machine has answered that nothing listens at the owner's address
    */
    void verifyUnheardOwnerFailure(bool isRefused);
    /** Reads from the store while it does not serve the owner, to find out whether the owner alone has lost it. */
    void probeStore();
    /**
        @param isNotOwner the process answered that it does not own the cell
        @param isRefused  no connection could be opened, which was known before a timeout
    */
    void onHeartbeatLost(bool isNotOwner, bool isRefused, const std::string &why);
    /** Asks some of the other processes whether they reach the owner; done gets the answers that arrived, maybe none. */
    void queryPeers(std::function<void(const std::vector<OwnerView> &)> done);
    /** Follows the reachable owner with the highest token. @return false if none has a higher token than the known owner */
    bool followNewestOwner(const std::vector<OwnerView> &views);
    /** Gives the owner up unless another process still reaches it. */
    void verifyOwnerFailure();
    void giveUpOwner();
    /** Lets this process replace an epoch row with this token or a lower one, until the judgement is out of date. */
    void allowTakeover(std::int64_t token);
    bool mayReplace(const EpochRow &row) const;
    void runAfter(Milliseconds delay, void (Impl::*action)());
    /** A random delay from 0 to maxJitter. */
    Milliseconds jitter();

    EventLoop &loop;
    StateStore &store;
    const EntrySettings &settings;
    LeadershipTiming timing;
    Hooks hooks;
    std::mt19937_64 random;
    /** The owner that is followed, or this process; the token is 0 while no owner is known. */
    EpochRow owner;
    /** The connection on which this process requests the owner's heartbeats; null if there is no owner to follow. */
    std::unique_ptr<HttpChannels> heartbeatChannel;
    /** The connection to the process that succeeds this one. */
    std::unique_ptr<HttpChannels> successorChannel;
    /** True if the last heartbeat request to the owner was answered; false if this process is the owner. */
    bool isOwnerResponding = false;
    /** True if the owner serves calls, from its last heartbeat. */
    bool isOwnerReady = false;
    /** Successive connections to the owner that broke before a heartbeat arrived, each of which was followed by a new one. */
    int reconnections = 0;
    /** What is known of an owner before its first heartbeat. */
    struct UnheardOwner
    {
        /** The last known version of the sequence row; empty before the first answer of the store. */
        std::optional<std::int64_t> sequenceVersion;
        /** Since when the sequence row has this version, or since when the owner is followed. */
        TimePoint unchangedSince;
        /** Successive connections that were refused. */
        int refusals = 0;
    };
    /** Empty once a heartbeat of the owner has arrived. */
    std::optional<UnheardOwner> unheardOwner;
    /** A process that denies to be the owner, while the epoch row names it: it has not learned that its takeover was applied. */
    struct DeniedOwnership
    {
        std::int64_t token = 0;
        TimePoint since;
        /** Successive fast readings of the row that still named it. */
        int readings = 0;
    };
    /** Empty once a heartbeat of the owner has arrived. */
    std::optional<DeniedOwnership> deniedOwnership;
    /** The epoch row may be replaced if its token is not higher than this, for judgementLifetime from replaceableSince. */
    std::int64_t replaceableToken = -1;
    TimePoint replaceableSince;
    /** When the first takeover was sent of which this process does not know whether it has won; empty if there is none. */
    std::optional<TimePoint> takeoverSentAt;
    /** The token of the last owner for whose replacement this process, on a small machine, waited to let a larger one go first. */
    std::int64_t delayedTakeoverToken = -1;
    /** Increased when an owner is followed or this process becomes the owner; replies to requests of earlier rounds are ignored. */
    std::uint64_t heartbeatRound = 0;
    /** How long the store has not served the owner, and the table that it cannot read, from the owner's last heartbeat. */
    Milliseconds ownerStoreStallDuration { 0 };
    std::string ownerStalledTable;
    /** Successive fast answers of the store to this process while it does not serve the owner. */
    int successfulStoreProbes = 0;
    /** The peer addresses of entry processes, from the last heartbeat that the owner, or this process as the owner, has sent. */
    std::vector<Address> knownMembers;
    /** A process that requests heartbeats of this process. */
    struct Follower
    {
        TimePoint requestedAt;
        /** The delay of the next heartbeat that it was told; its timeout depends on it. */
        Milliseconds announcedDelay { 0 };
        /** As in its last FollowerReport. */
        double processorShare = 0.0;
        bool isStopping = false;
        std::int64_t desiredStateVersion = 0;
        /** When it began to follow this process. */
        TimePoint followsSince;
    };
    /** The processes that have recently sent heartbeat requests to this process. */
    std::map<Address, Follower> followers;
    /** The addresses of the followers when they were last listed. */
    std::vector<Address> listedMembers;
    TimePoint membersListedAt;
    LoopDelayMeter loopDelayMeter;
    /** When this process last became the owner. */
    TimePoint wonAt;
    /** The delay of the next heartbeat, and how long after it the heartbeat counts as lost; from the owner's last heartbeat. */
    Milliseconds expectedHeartbeatDelay { 0 };
    Milliseconds heartbeatGracePeriod { 0 };
    /** The version of the desired state in the owner's last heartbeat. */
    std::int64_t desiredStateVersion = 0;
    bool isOwner = false;
    bool isTakeoverDisabled = false;
    /** A read or write of the epoch row is in flight; findOwner() then does nothing. */
    bool isFencingCallInFlight = false;
    /** The number of readings of the epoch row so far. */
    std::uint64_t epochReadings = 0;
    bool isClosed = false;
};

} // namespace auburndoor
