#pragma once

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburndoor {

class StateStore;
class Timers;
struct StoreResult;

/** Limits of a DesiredStateRefresh. */
struct RefreshLimits
{
    /** A row that was requested this long before an action arrived, or later, is new enough for it. */
    Milliseconds maxAge { 100 };
    /** From one request to the next, so that a flood of actions causes at most 5 a second. */
    Milliseconds interval { 200 };
    /** How long an action waits for a row that is new enough. */
    Milliseconds timeout { 400 };
    /** The most actions that wait. */
    std::size_t maxWaiting = 256;
    /** The most bytes that waiting actions hold together. */
    std::size_t maxWaitingBytes = std::size_t { 4 } << 20U;
};

/**
    Asks the store for changes of one row before actions that depend on its newest version.

    A row that has not changed is not read again: its changes after the version that is known are requested, without a wait.

    Actions that arrive together share a request. An action that cannot wait, or for which the store does not answer in time, runs
    with what is known. All members are called from the loop's thread.
*/
class DesiredStateRefresh
{
public:
    using ReadCallback = std::function<void(const StoreResult &result)>;

    /** The row. */
    struct Key
    {
        std::string table;
        std::string key;
    };

    /**
        @param knownVersion the version of the store up to which the row is known; 0 if it was never read
        @param read         called with the rows of each reply, maybe none, before the actions that have waited for it
    */
    DesiredStateRefresh(Timers &timers,
                        StateStore &store,
                        Key key,
                        std::function<std::int64_t()> knownVersion,
                        ReadCallback read,
                        RefreshLimits limits = {});
    ~DesiredStateRefresh();
    DesiredStateRefresh(const DesiredStateRefresh &) = delete;
    DesiredStateRefresh &operator=(const DesiredStateRefresh &) = delete;

    /**
        Runs an action once the row was read, or at the latest after RefreshLimits::timeout. Runs it from within the call if the row
        is new enough or too many actions wait. An action that waits when this is destroyed is dropped.

        @param bytes what the action holds in memory
    */
    void runWhenFresh(std::size_t bytes, std::function<void()> action);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
