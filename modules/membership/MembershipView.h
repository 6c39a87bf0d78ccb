#pragma once

#include "core/Clock.h"
#include "membership/Member.h"
#include "peer/PeerDirectory.h"
#include "placement/OwnerChoice.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace auburndoor {

class Metrics;

/** A member to which heartbeats are sent, and what has been sent to it. */
struct HeartbeatTarget
{
    InstanceId id;
    std::shared_ptr<Peer> peer;
    /** When the member last received the state of this instance, in a heartbeat or an answer; the clock's minimum if never. */
    TimePoint lastDeliveryTime;
    /** The newest revision of that state that the member has received; 0 if none. */
    long long deliveredRevision = 0;
};

/** The free capacity of one peer in one pool. */
struct PeerCapacity
{
    InstanceId peer;
    OwnerCapacity room;
};

/** The times after which members and claims expire. */
struct MembershipTiming
{
    /** A member is live if its last message arrived less than this time ago. */
    Milliseconds suspicionTime { 2000 };
    /** A member without an instance row is removed once its last message is this old. */
    Milliseconds memberRetentionTime { 30'000 };
    /**
        A heartbeat with an unchanged summary removes the claims on a member once the last claim is this old.

        Two change periods, within which a claim that took effect would have changed the summary.
    */
    Milliseconds claimLifetime { 300 };
};

/**
    The state of this instance and the last known states of the other instances of the cell.

    All members may be called from any thread.
*/
class MembershipView : public PeerDirectory
{
public:
    /** Creates the peer object of a member. Called under the view's lock, so it must not connect yet. */
    using PeerFactory = std::function<std::shared_ptr<Peer>(const Member &)>;

    /** @param self the id, incarnation, address, failure domain and region of this instance */
    MembershipView(const Member &self, PeerFactory factory, const MembershipTiming &timing, Clock &clock, Metrics &metrics);

    /** Returns the state of this instance, as its peers receive it. */
    Member self() const;

    /** Sets the pools of this instance. Does nothing if their services, free places and queue lengths are unchanged. */
    void setPools(const std::vector<PoolSummary> &pools);

    /** Sets the version of the configuration that is in force in this instance. */
    void setConfigurationVersion(long long version);

    /** Announces that this instance has begun a graceful shutdown. */
    void setLeaving();

    /** Returns a number that rises with each change of the state that is sent to peers. */
    long long revision() const;

    /**
        Sets the callback for changes of the state that is sent to peers and for newly registered members.

        It is called on the thread that made the change and must not change the view or the listener. This function returns once
        the previous callback is not running, so that what it refers to may then be destroyed.
    */
    void setChangeListener(std::function<void()> listener);

    /** Updates the view from a peer's heartbeat. @return the state of this instance, to be sent as the answer */
    Member receive(const Member &sender);

    /** Updates the view from a peer's answer. @return false if it was dropped as out of date or as this instance's own */
    bool update(const Member &member);

    /** Records that a member has received the state of this instance with this revision. */
    void recordDelivery(const InstanceId &member, long long revision);

    /** Adds the instances that have rows in the table; removes other members that were not heard for the retention time or ever. */
    void addRegistered(const std::vector<Member> &registered);

    /** Returns a member, live or not; empty if it is not known. */
    std::optional<Member> member(const InstanceId &id) const;

    /** Returns the live members in ascending order of their ids, without this instance. */
    std::vector<Member> liveMembers() const;

    /** Returns all known members, live or not. Heartbeats are sent to all of them. */
    std::vector<HeartbeatTarget> heartbeatTargets() const;

    std::shared_ptr<Peer> peer(const InstanceId &instance) override;
    std::vector<InstanceId> livePeers() override;

    /**
        Chooses the live peer with the most free places in a pool and claims one of them.

        A claimed place is not counted as free in this view until the peer's next summary. Ties are broken at random. A leaving peer
        is chosen while it announces free places: until it has released its shards no other instance can use its workers, and its
        refusals are definite.
        @param excluded instances that have already refused the request
        @return         empty if no peer has a free place
    */
    std::optional<InstanceId> claimPlace(const ServiceId &service, const std::set<InstanceId> &excluded);

    /** Returns the live peers with free places in a pool, for chooseOwner(). */
    std::vector<PeerCapacity> rooms(const ServiceId &service, const std::set<InstanceId> &excluded) const;

    /** Claims a place of one peer, as claimPlace() does. @return false if the peer is not live or has no free place */
    bool claimPlaceAt(const InstanceId &peer, const ServiceId &service);

private:
    struct Entry
    {
        Member member;
        std::shared_ptr<Peer> peer;
        bool hasBeenHeard = false;
        TimePoint lastDeliveryTime = TimePoint::min();
        long long deliveredRevision = 0;
        /** Number of places that requests of this instance have claimed since the member's last summary. */
        std::map<ServiceId, int> claims;
        TimePoint lastClaimTime = TimePoint::min();
    };

    void changeSelf(const std::function<bool(Member &)> &change);
    void notifyChangeListener();
    bool accept(const Member &member);
    Entry *findOrCreateEntry(const Member &member);
    bool isLive(const Entry &entry) const;
    bool isCandidate(const Entry &entry, const std::set<InstanceId> &excluded) const;
    void claim(Entry &entry, const ServiceId &service);
    static OwnerCapacity remainingCapacity(const Entry &entry, const ServiceId &service);

    const PeerFactory factory_;
    const MembershipTiming timing_;
    Clock &clock_;
    Metrics &metrics_;
    mutable std::mutex mutex_;
    Member self_;
    long long revision_ = 1;
    std::map<InstanceId, Entry> entries_;
    /** Held while the change listener runs. Acquired only while mutex_ is not held. */
    std::mutex listenerMutex_;
    std::function<void()> changeListener_;
};

} // namespace auburndoor
