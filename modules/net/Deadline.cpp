#include "net/Deadline.h"

#include "net/Timers.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A timer and the state that it refers to stay until it ends, also if their connection has closed, and small blocks that stay keep
// the operating system from getting back the pages around them.
constexpr Milliseconds maxTimerDuration { 4000 };

} // namespace

struct Deadline::State
{
    Timers &timers;
    std::function<void()> onExpired;
    /** TimePoint::max() if there is none. */
    TimePoint deadline = TimePoint::max();
    /** When the latest timer ends; TimePoint::max() if none runs. */
    TimePoint timerEnd = TimePoint::max();
};

Deadline::Deadline(Timers &timers, std::function<void()> onExpired)
    : state_(std::make_shared<State>(State { timers, std::move(onExpired) }))
{
}

Deadline::~Deadline() = default;

void Deadline::set(TimePoint deadline)
{
    state_->deadline = deadline;
    if (deadline < state_->timerEnd) {
        startTimer(state_);
    }
}

void Deadline::clear()
{
    state_->deadline = TimePoint::max();
}

void Deadline::startTimer(const std::shared_ptr<State> &state)
{
    state->timerEnd = std::min(state->deadline, state->timers.now() + maxTimerDuration);
    // Rounded up, since a timer that ends too early would have to be started again.
    const auto delay = std::chrono::ceil<Milliseconds>(state->timerEnd - state->timers.now());
    state->timers.after(delay, [weakState = std::weak_ptr(state), timerEnd = state->timerEnd] {
        if (const auto state = weakState.lock()) {
            onTimer(state, timerEnd);
        }
    });
}

void Deadline::onTimer(const std::shared_ptr<State> &state, TimePoint timerEnd)
{
    if (timerEnd != state->timerEnd) {
        // A timer with an earlier end was started since.
        return;
    }
    state->timerEnd = TimePoint::max();
    if (state->deadline == TimePoint::max()) {
        return;
    }
    if (state->deadline > state->timers.now()) {
        startTimer(state);
        return;
    }
    state->deadline = TimePoint::max();
    state->onExpired();
}

} // namespace auburndoor
