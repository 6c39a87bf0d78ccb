#pragma once

#include "net/Timers.h"

#include <vector>

namespace auburndoor {

/** Timers of one process: while it is paused, its actions wait. */
class PausableTimers : public Timers
{
public:
    explicit PausableTimers(Timers &timers) : timers_(timers)
    {
    }

    TimePoint now() const override;
    std::chrono::milliseconds wallNow() const override;
    void after(Milliseconds delay, std::function<void()> action) override;

    /** Runs an action of the process, as a reply that arrives: now, or when it goes on. */
    void deliver(std::function<void()> action);

    void pause();
    /** Runs what has become due meanwhile. */
    void resume();
    bool isPaused() const;

private:
    Timers &timers_;
    bool isPaused_ = false;
    std::vector<std::function<void()>> due_;
};

} // namespace auburndoor
