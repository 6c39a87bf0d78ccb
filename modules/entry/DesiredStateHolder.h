#pragma once

#include "core/Clock.h"
#include "entry/DesiredStateRefresh.h"
#include "entry/TableWatch.h"
#include "workload/DesiredState.h"
#include "workload/StateStore.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace auburndoor {

class CellProtocol;
class StoreTimeline;
class Timers;

/**
    The desired state that is in force in this process: the newest version that it has seen, from the store or another process.

    The version never goes back while the process lives. All members are called from the loop's thread.
*/
class DesiredStateHolder
{
public:
    using ChangeCallback = std::function<void(const DesiredState &desiredState)>;

    /** @param timeline learns the versions and times of the store's replies @param changed called after each new version */
    DesiredStateHolder(Timers &timers,
                       StateStore &store,
                       StoreTimeline &timeline,
                       const CellProtocol &protocol,
                       ChangeCallback changed);

    /** Begins to read the store. */
    void start();

    /** The version in force; its version is 0 until one is known. */
    const DesiredState &current() const;

    /** The text of the version in force, for other processes; it holds keys and is not to be logged. Empty until one is known. */
    const std::string &text() const;

    /** How long ago the last request that the store has answered was sent; changes since then may be missing. */
    Milliseconds age() const;

    /**
        Takes the text() of another process, unless it is older than the version in force.

        A process that has just started leaves out a text with client accounts while the store may still answer: the other process
        may lag behind the store, and the text may hold keys that were removed since.
    */
    void takeCopy(const std::string &text);

    /** Runs an action once the store's row was read, within the limits of DesiredStateRefresh. @param bytes that the action holds
     */
    void runWhenFresh(std::size_t bytes, std::function<void()> action);

private:
    /** Takes the desired state of a row unless it is older than the one in force. */
    void take(const StoreRow &row);
    /** True while the store's first answer is awaited. */
    bool mayStoreAnswerFirst() const;

    Timers &timers_;
    const CellProtocol &protocol_;
    ChangeCallback changed_;
    DesiredState desiredState_;
    std::string text_;
    TimePoint startedAt_;
    /** The version of the last row that could not be read, which is logged once. */
    std::int64_t unreadableVersion_ = -1;
    TableWatch watch_;
    DesiredStateRefresh refresh_;
};

} // namespace auburndoor
