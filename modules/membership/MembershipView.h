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

/** One member to which heartbeats are sent. */
struct HeartbeatTarget
{
    InstanceId id;
    std::shared_ptr<Peer> peer;
    /** When this member was last told the state of this instance; the clock's minimum if never. */
    TimePoint lastTold;
    /** What it was told last; 0 if nothing. */
    long long toldRevision = 0;
};

/** The free room of one peer. */
struct PeerRoom
{
    InstanceId peer;
    OwnerCapacity room;
};

/** How long an instance waits before it takes another one for gone. */
struct MembershipTiming
{
    /** A member that was not heard for this long is not live. */
    Milliseconds suspicionTime { 2000 };
    /** A member without an instance row that was not heard for this long is forgotten. */
    Milliseconds forgetTime { 30'000 };
    /** A heartbeat without a new summary ends claims older than this: two periods in which the summary would have changed. */
    Milliseconds claimTime { 300 };
};

/** What this instance knows of itself and of the other instances of the cell. All members may be called from any thread. */
class MembershipView : public PeerDirectory
{
public:
    /** Makes the connection to a member; called under the lock of the view, connects later. */
    using PeerFactory = std::function<std::shared_ptr<Peer>(const Member &)>;

    /** @param self id, incarnation, address and place of this instance */
    MembershipView(const Member &self, PeerFactory factory, const MembershipTiming &timing, Clock &clock, Metrics &metrics);

    /** This instance as its peers see it. */
    Member self() const;

    /** Sets the free room of this instance; without a difference nothing happens. */
    void setPools(const std::vector<PoolSummary> &pools);
    void setConfigurationVersion(long long version);
    void setLeaving();

    /** Rises with each change of what is told to peers. */
    long long revision() const;

    /**
        Sets what is called after each change of what is told to peers, on the thread that made the change.

        Returns once no call of the earlier listener is under way, so that the earlier one may then be destroyed. The listener must
       not change the view or the listener.
    */
    void setChangeListener(std::function<void()> listener);

    /** Takes in a heartbeat of a peer. @return the answer, by which the peer learns the state of this instance */
    Member receive(const Member &sender);

    /** Takes in what a peer said of itself in an answer. @return false if it was out of date and dropped */
    bool update(const Member &member);

    /** Notes that a member has been told the state of this instance. */
    void noteTold(const InstanceId &member, long long revision);

    /** Takes in the instances of the table; members missing there and not heard for long are forgotten. */
    void addRegistered(const std::vector<Member> &registered);

    /** A member, live or not. */
    std::optional<Member> member(const InstanceId &id) const;

    /** The live members in ascending order of their id, without this instance. */
    std::vector<Member> liveMembers() const;

    /** All known members, live or not, to which heartbeats go. */
    std::vector<HeartbeatTarget> heartbeatTargets() const;

    std::shared_ptr<Peer> peer(const InstanceId &instance) override;
    std::vector<InstanceId> livePeers() override;

    /**
        Chooses the live peer with the most free places in a pool and lowers its places here until its next summary.

        A leaving member is chosen for as long as it announces room: until it has released its shards nobody else can use its
       workers, and once it refuses calls it does so definitely. Ties are broken at random.
        @param excluded instances that have already refused
        @return         empty if no peer has room
    */
    std::optional<InstanceId> claimPlace(const ServiceId &service, const std::set<InstanceId> &excluded);

    /** The free room of the live peers in a pool, for chooseOwner(). */
    std::vector<PeerRoom> rooms(const ServiceId &service, const std::set<InstanceId> &excluded) const;

    /** Lowers a peer's places here until its next summary. @return false if it has none left */
    bool claimPlaceAt(const InstanceId &peer, const ServiceId &service);

private:
    struct Entry
    {
        Member member;
        std::shared_ptr<Peer> peer;
        bool isHeard = false;
        TimePoint lastTold = TimePoint::min();
        long long toldRevision = 0;
        /** Places of the last summary that requests of this instance have claimed since. */
        std::map<ServiceId, int> claims;
        TimePoint lastClaim = TimePoint::min();
    };

    void changeSelf(const std::function<bool(Member &)> &change);
    void tellListener();
    bool accept(const Member &member);
    Entry *entryFor(const Member &member);
    bool isLive(const Entry &entry) const;
    bool isCandidate(const Entry &entry, const std::set<InstanceId> &excluded) const;
    void claim(Entry &entry, const ServiceId &service);
    static OwnerCapacity roomOf(const Entry &entry, const ServiceId &service);

    const PeerFactory factory_;
    const MembershipTiming timing_;
    Clock &clock_;
    Metrics &metrics_;
    mutable std::mutex mutex_;
    Member self_;
    long long revision_ = 1;
    std::map<InstanceId, Entry> entries_;
    /** Held while the listener runs. Taken without the other lock held. */
    std::mutex listenerMutex_;
    std::function<void()> changeListener_;
};

} // namespace auburndoor
