#pragma once

#include "net/Timers.h"

#include <functional>
#include <map>

namespace auburndoor {

/** Time that a test advances by hand; actions run in the order of their times. */
class ManualTimers : public Timers
{
public:
    /** @param sinceEpoch the time that the steady clock shows first */
    explicit ManualTimers(Milliseconds sinceEpoch = std::chrono::hours(1)) : now_(TimePoint() + sinceEpoch)
    {
    }

    TimePoint now() const override
    {
        now_ += costOfReading_;
        return now_;
    }

    std::chrono::milliseconds wallNow() const override
    {
        return std::chrono::milliseconds(1700000000000) + wallClockOffset
               + std::chrono::duration_cast<std::chrono::milliseconds>(now_ - TimePoint());
    }

    void after(Milliseconds delay, std::function<void()> action) override
    {
        actions_.emplace(now_ + delay, std::move(action));
    }

    /** Runs all that is due within the duration. */
    void advance(Milliseconds duration)
    {
        const auto end = now_ + duration;
        while (!actions_.empty() && actions_.begin()->first <= end) {
            now_ = std::max(now_, actions_.begin()->first);
            auto action = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            action();
        }
        now_ = std::max(now_, end);
    }

    /** How far the time of day is ahead; a test may change it, as a clock that jumps. */
    Milliseconds wallClockOffset { 0 };

    /** Lets time pass in which nothing runs, as while a process is suspended. */
    void suspend(Milliseconds duration)
    {
        now_ += duration;
    }

    /** Lets code that reads the time take time by it, so that long work can be told from short. */
    void chargeReadings(std::chrono::microseconds cost)
    {
        costOfReading_ = cost;
    }

private:
    std::chrono::microseconds costOfReading_ { 0 };
    mutable TimePoint now_;
    std::multimap<TimePoint, std::function<void()>> actions_;
};

} // namespace auburndoor
