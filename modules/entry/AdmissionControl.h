#pragma once

#include "core/Clock.h"
#include "workload/DesiredState.h"

#include <cstdint>
#include <optional>
#include <random>

namespace auburndoor {

/**
    Decides which new submissions an owner refuses because its processor falls behind.

    An owner that accepts more than its processor can start makes all jobs late, also those that it has accepted before. It is
    overloaded while its loop or its placement stays behind; one long delay is no overload, and neither is a backlog that waits for
    workers. An overloaded owner admits a job only if few enough jobs go before it, so that its queue stays short and its processor
    busy. Since urgent jobs go before others, the least urgent queues are refused first. Used on one thread.
*/
class AdmissionControl
{
public:
    /** What the owner measures of itself. */
    struct Load
    {
        /** How late the loop has run the timer of this sample. */
        Milliseconds loopDelay { 0 };
        /** For how long no round of placement has got through all steps that wait; zero if the last one has. */
        Milliseconds placementDelay { 0 };
    };

    /** @param seed of the random numbers that spread the return of clients */
    explicit AdmissionControl(std::uint_fast32_t seed);

    /** Notes the load; to be called about every sampleInterval. */
    void addSample(TimePoint now, const Load &load);

    /** True while new submissions may be refused. */
    bool isOverloaded() const;

    /** What a new submission would have to wait for. */
    struct Backlog
    {
        /** How long the jobs that go before it take to begin. */
        Milliseconds expectedWait { 0 };
        /** The mean time from one job that begins to the next while jobs wait. */
        std::chrono::microseconds beginInterval { 0 };
    };

    /** Decides about a new submission. @return when the client should retry if it is refused; empty if it is admitted */
    std::optional<Milliseconds> refuse(const QueueSpec &queue, const Backlog &backlog);

    /** How often the load is to be measured. */
    static constexpr Milliseconds sampleInterval { 50 };

private:
    /** When the next refused client of the queue should return. */
    Milliseconds reserveReturn(const QueueSpec &queue, Milliseconds wait, std::chrono::microseconds beginInterval);

    std::mt19937 random_;
    /** When the last refused client is expected to return. */
    TimePoint lastReturnAt_;
    TimePoint lastSampleAt_;
    Milliseconds loopDelay_ { 0 };
    /** For how long the owner has lately been behind, less the time for which it was not. */
    Milliseconds behindTime_ { 0 };
    bool isOverloaded_ = false;
};

} // namespace auburndoor
