#include "fakes/PausableTimers.h"

#include <utility>

namespace auburndoor {

TimePoint PausableTimers::now() const
{
    return timers_.now();
}

std::chrono::milliseconds PausableTimers::wallNow() const
{
    return timers_.wallNow();
}

void PausableTimers::after(Milliseconds delay, std::function<void()> action)
{
    timers_.after(delay, [this, action = std::move(action)] { deliver(action); });
}

void PausableTimers::deliver(std::function<void()> action)
{
    if (isPaused_) {
        due_.push_back(std::move(action));
    } else {
        action();
    }
}

void PausableTimers::pause()
{
    isPaused_ = true;
}

void PausableTimers::resume()
{
    isPaused_ = false;
    for (const auto &action : std::exchange(due_, {})) {
        action();
    }
}

bool PausableTimers::isPaused() const
{
    return isPaused_;
}

} // namespace auburndoor
