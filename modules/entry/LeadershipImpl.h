#pragma once

#include "entry/Leadership.h"

#include "net/EventLoop.h"

#include <algorithm>
#include <map>
#include <random>

namespace auburndoor {

/** The row that names the owner. */
struct EpochRow
{
    std::int64_t token = 0;
    /** Empty after a planned stop. */
    std::string owner;
    std::string address;
};

/** The state of a Leadership, shared with the callbacks of calls under way. */
struct Leadership::Impl : std::enable_shared_from_this<Leadership::Impl>
{
    Impl(EventLoop &loop, StateStore &store, const EntrySettings &settings, LeadershipTimes times, Hooks hooks)
        : loop(loop), store(store), settings(settings), times(times), hooks(std::move(hooks)), random(std::random_device {}())
    {
    }

    /** Reads the epoch row and follows its owner, or takes over from the owner that is given up. */
    void findOwner();
    void onEpoch(const StoreResult &result);
    void takeOver(const EpochRow &row, std::int64_t version);
    void onTakeOver(const StoreResult &result, std::int64_t token);
    void readSequence(std::int64_t token, std::int64_t epochVersion);
    void follow(const EpochRow &row);
    void sendPulse();
    void onPulse(const SendResult &sent, std::uint64_t round);
    void probeStore();
    /** @param isNotOwner it answered, and does not own the cell */
    void onPulseLost(bool isNotOwner, const std::string &why);
    /** Asks some other processes whether they hear the owner. */
    void askOthers(std::function<void(const std::vector<OwnerSighting> &)> done);
    bool followNewest(const std::vector<OwnerSighting> &sightings);
    void confirmSuspicion();
    void giveUpOwner();
    void later(Milliseconds delay, void (Impl::*action)());
    Milliseconds spread();

    EventLoop &loop;
    StateStore &store;
    const EntrySettings &settings;
    LeadershipTimes times;
    Hooks hooks;
    std::mt19937_64 random;
    /** The owner that is followed; its token is 0 while none is known. */
    EpochRow owner;
    std::unique_ptr<HttpChannels> pulses;
    bool isHeard = false;
    /** The token of the owner that is given up: its row may be replaced. */
    std::int64_t givenUpToken = -1;
    /** The ownership for whose succession this process has let larger machines go first. */
    std::int64_t deferredToken = -1;
    /** Pulses of an earlier owner are ignored. */
    std::uint64_t round = 0;
    /** How long the store has not taken the owner's writes, by its last pulse. */
    Milliseconds ownerStoreAway { 0 };
    /** Answers of the store, one after the other, while the owner has none. */
    int storeProbes = 0;
    std::vector<Address> knownMembers;
    std::map<Address, TimePoint> members;
    std::int64_t desiredVersion = 0;
    bool isOwner = false;
    bool isAbstaining = false;
    bool isFinding = false;
    bool isClosed = false;
};

} // namespace auburndoor
