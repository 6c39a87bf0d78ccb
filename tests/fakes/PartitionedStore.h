#pragma once

#include "net/Timers.h"
#include "workload/StateStore.h"

#include <functional>

namespace auburndoor {

/** One owner's link to a store that others share. While it is cut, calls are not done and have no reply. */
class PartitionedStore : public StateStore
{
public:
    PartitionedStore(Timers &timers, StateStore &store) : timers_(timers), store_(store)
    {
    }

    void commit(StoreChange change, Callback callback) override;
    void readAll(const std::string &table, const std::string &firstKey, Callback callback) override;
    void readPage(const std::string &table, const std::string &firstKey, Callback callback) override;
    void readRow(const std::string &table, const std::string &key, Callback callback) override;
    void changes(const std::string &table, std::int64_t afterVersion, Milliseconds maxWait, Callback callback) override;
    void abandonReads(const std::string &table) override;

    /** While cut, calls end as Unknown after a timeout; calls that are in flight may be done, but their replies are lost. */
    bool isCut = false;
    /** Hands a reply to the owner, which may be paused; without it, replies arrive at once. */
    std::function<void(std::function<void()> reply)> deliverReply;
    /** While true, reads are refused; commits are done. */
    bool refusesReads = false;

private:
    /** Passes a read on unless the link is cut or refuses reads. */
    void passRead(const std::function<void(Callback)> &send, Callback callback);
    /** Passes a call on unless the link is cut. @param send makes the call at the store */
    void pass(const std::function<void(Callback)> &send, Callback callback);

    Timers &timers_;
    StateStore &store_;
};

} // namespace auburndoor
