#pragma once

#include "core/Clock.h"

/** The clock of a discrete-event simulation, which sets its time; waitUntil() evaluates the predicate without waiting. */
class VirtualClock : public auburndoor::Clock
{
public:
    auburndoor::TimePoint now() const override
    {
        return now_;
    }

    auburndoor::WallTime wallNow() const override
    {
        return {};
    }

    bool waitUntil(std::unique_lock<std::mutex> & /*lock*/,
                   std::condition_variable & /*condition*/,
                   auburndoor::TimePoint /*deadline*/,
                   const std::function<bool()> &predicate) override
    {
        return predicate();
    }

    void set(auburndoor::TimePoint now)
    {
        now_ = now;
    }

private:
    auburndoor::TimePoint now_ { std::chrono::hours(1) };
};
