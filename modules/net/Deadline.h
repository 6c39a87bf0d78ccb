#pragma once

#include "core/Clock.h"

#include <functional>
#include <memory>

namespace auburndoor {

class Timers;

/**
    The time limit of an operation that is often started and seldom late, such as a read from a connection.

    Timers can't be cancelled. So that a moved or cleared deadline costs none, one timer runs until the earliest time that was set,
    and is started again only if the deadline then still lies ahead. Used on the loop's thread only.
*/
class Deadline
{
public:
    /** @param onExpired called each time that a deadline passes, but not after the destruction of this object */
    Deadline(Timers &timers, std::function<void()> onExpired);
    ~Deadline();
    Deadline(const Deadline &) = delete;
    Deadline &operator=(const Deadline &) = delete;

    /** Replaces the deadline. One that has passed already expires on the next turn of the loop. */
    void set(TimePoint deadline);

    /** Removes the deadline. */
    void clear();

private:
    struct State;

    static void startTimer(const std::shared_ptr<State> &state);
    static void onTimer(const std::shared_ptr<State> &state, TimePoint timerEnd);

    std::shared_ptr<State> state_;
};

} // namespace auburndoor
