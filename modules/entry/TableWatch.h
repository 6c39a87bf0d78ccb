#pragma once

#include "net/Timers.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburndoor {

class StateStore;
class StoreTimeline;
struct TableUpdate;

/** Delays and timeouts of the reads of a TableWatch. */
struct WatchTiming
{
    /** How long the store holds a request for changes open if there is none. */
    Milliseconds changeTimeout { 800 };
    /** From an answer to the next request, so that frequent changes are read together. */
    Milliseconds pollDelay { 50 };
    /** From a failed request to the next one. */
    Milliseconds retryDelay { 200 };
};

/**
    Follows the changes of one table of the store.

    It reads the whole table once and then requests changes; if the store no longer keeps the history, it reads the whole table
    again. The requests are short, so that a dead connection or a delayed change can be recognized by age(). All members are called
    from the loop's thread.
*/
class TableWatch
{
public:
    using Callback = std::function<void(const TableUpdate &update)>;

    /** @param timeline learns the versions and times of the replies */
    TableWatch(Timers &timers,
               StateStore &store,
               StoreTimeline &timeline,
               std::string table,
               WatchTiming timing,
               Callback callback);
    ~TableWatch();

    /** Begins to read; the callback is called after each read of the whole table, and after each answer that has changes. */
    void start();

    /** True if the last request failed. */
    bool isFailing() const;

    /** How long ago the last successful request was sent; changes since then may be missing. */
    Milliseconds age() const;

    /** Changes up to this version of the store are known; 0 before the first read. */
    std::int64_t version() const;

    /**
        Changes up to a version are known from elsewhere: a request that may still be reading them is abandoned, and the next one
        asks for later changes. Does nothing if they have been read already.
    */
    void skipTo(std::int64_t version);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
