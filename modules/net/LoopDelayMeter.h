#pragma once

#include "core/Clock.h"

#include <memory>

namespace auburndoor {

class Timers;

/** Measures how late an event loop runs its timers, which shows how long it is busy at a time. Used on the loop's thread only. */
class LoopDelayMeter
{
public:
    explicit LoopDelayMeter(Timers &timers);
    ~LoopDelayMeter();

    /** Begins to measure. */
    void start();

    /** The longest delay of the last one to two seconds; zero before start(). */
    Milliseconds recentDelay() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
