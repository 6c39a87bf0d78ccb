#pragma once

#include <array>
#include <cstddef>
#include <functional>

namespace auburndoor {

/** Whose connections take memory; each has a part of the ConnectionMemory that the others cannot use up. */
enum class ConnectionPurpose {
    Clients,
    Peers,
    /** Probes of readiness, and operators. */
    Control,
};

/**
    The budget for the memory that the connections of a process hold: input that was read, messages that arrive, requests that a
    handler has, and replies that are not written.

    Connections take their parts through MemoryShare. Used on the loop's thread only; it must outlive the shares.
*/
class ConnectionMemory
{
public:
    /** What was turned away since the start. */
    struct Refusals
    {
        /** Requests that found no room for what they would hold. */
        long long requests = 0;
        /** Connections that found no room, or were beyond the limit of their listener. */
        long long connections = 0;
        /** Connections closed to make room, since their request was arriving for long or they sent none. */
        long long evictions = 0;
        /** Requests that arrived too slowly. */
        long long slowSenders = 0;
        /** Replies that were read too slowly. */
        long long slowReaders = 0;
        /** Requests answered before their body was read. */
        long long early = 0;

        bool operator==(const Refusals &) const = default;
    };

    /** A request of which no more has arrived is small: it may use a part of the budget that larger ones leave free. */
    static constexpr std::size_t maxSmallBytes = 8192;
    /** What a connection holds without its buffers, with its timer. */
    static constexpr std::size_t connectionBytes = 2048;

    explicit ConnectionMemory(std::size_t capacityBytes);

    /** Takes memory for a request. @return false, with nothing taken, if that leaves too little for others */
    bool tryTake(ConnectionPurpose purpose, std::size_t bytes, bool isSmall);
    /** Takes more even if it is beyond the capacity, for what can't be refused any more. */
    void take(ConnectionPurpose purpose, std::size_t bytes);
    void release(ConnectionPurpose purpose, std::size_t bytes);

    std::size_t capacity(ConnectionPurpose purpose) const;
    std::size_t used(ConnectionPurpose purpose) const;
    std::size_t used() const;

    /** Called once what is used has fallen by half after much was used; noteReleased() makes it be called again. May be empty. */
    std::function<void()> onFallen;
    /** The memory that was free has been given back to the operating system. */
    void noteReleased();

    Refusals refusals;

private:
    static constexpr std::size_t purposeCount = 3;

    std::array<std::size_t, purposeCount> capacities_ {};
    std::array<std::size_t, purposeCount> used_ {};
    std::size_t totalUsed_ = 0;
    std::size_t peak_ = 0;
    /** What was taken since noteReleased(), whether or not it was released again. */
    std::size_t turnover_ = 0;
    bool isFallReported_ = false;
};

} // namespace auburndoor
