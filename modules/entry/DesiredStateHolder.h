#pragma once

#include "core/Clock.h"
#include "entry/DesiredStateCopy.h"
#include "entry/DesiredStateRefresh.h"
#include "entry/TableWatch.h"
#include "workload/DesiredState.h"
#include "workload/StateStore.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace auburndoor {

class CellProtocol;
class Metrics;
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

    /**
        @param timeline learns the versions and times of the store's replies
        @param changed  called after each new version
        @param metrics  counts what was read, by its source
    */
    DesiredStateHolder(Timers &timers,
                       StateStore &store,
                       StoreTimeline &timeline,
                       const CellProtocol &protocol,
                       ChangeCallback changed,
                       Metrics &metrics);

    /** Begins to read the store. */
    void start();

    /** The version in force; its version is 0 until one is known. */
    const DesiredState &current() const;

    /**
        The message with the version in force for a process that asks for it; it holds keys and is not to be logged.

        @param baseVersion the version that the other process has, 0 for none; empty for a process of an earlier release, which
                           expects the plain text. The message is short if that is the version in force or the one before.
    */
    const std::string &copyFor(std::optional<std::int64_t> baseVersion);

    /** The base on which copies for this process may rest. */
    std::int64_t copyBase() const;

    /** How long ago the last request that the store has answered was sent; changes since then may be missing. */
    Milliseconds age() const;

    /**
        Takes the copyFor() of another process, unless it is older than the version in force.

        A process that has just started leaves out a text with client accounts while the store may still answer: the other process
        may lag behind the store, and the text may hold keys that were removed since.

        @param receiveDuration the time in which the message arrived
    */
    void takeCopy(const std::string &message, Milliseconds receiveDuration = Milliseconds(0));

    /** Has to be called at intervals of well under a second, so that gaps in the running of this process are noticed. */
    void noteRunning();

    /**
        True just after a gap in the running of this process, as after a suspension, until the store has answered a request that was
        sent since, for a second at most: a change that should be in force by now may be unread.
    */
    bool mayHaveMissedChange();

    /** Runs an action once the store's row was read, within the limits of DesiredStateRefresh. @param bytes that the action holds
     */
    void runWhenFresh(std::size_t bytes, std::function<void()> action);

private:
    /** How a row was read. */
    struct Reading
    {
        /** The name of the source in logs and metrics. */
        const char *source;
        std::size_t receivedBytes = 0;
        Milliseconds receiveDuration { 0 };
    };

    /** Takes the desired state of a row unless it is older than the one in force. */
    void take(const StoreRow &row, const Reading &reading);
    void takeUpdate(const TableUpdate &update);
    /** Counts what was read, whether or not it is taken. */
    void noteReading(const Reading &reading);
    /** True while the store's first answer is awaited. */
    bool mayStoreAnswerFirst() const;

    Timers &timers_;
    const CellProtocol &protocol_;
    ChangeCallback changed_;
    Metrics &metrics_;
    DesiredState desiredState_;
    DesiredStateCopy copy_;
    /** The version before the one in force and its text. */
    std::int64_t formerVersion_ = 0;
    std::string formerText_;
    /** The messages of copyFor(), by the version of their base. */
    std::map<std::int64_t, std::string> encodedCopies_;
    /** A copy could not be decoded with the version in force as its base. */
    bool isBaseUnusable_ = false;
    TimePoint startedAt_;
    /** The last call of noteRunning(), on the clock that advances while the machine is suspended. */
    TimePoint runningAt_;
    /** The end of the last gap in the running of this process. */
    std::optional<TimePoint> resumedAt_;
    /** The version of the last row that could not be read, which is logged once. */
    std::int64_t unreadableVersion_ = -1;
    TableWatch watch_;
    DesiredStateRefresh refresh_;
};

} // namespace auburndoor
