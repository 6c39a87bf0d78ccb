#pragma once

#include "core/Clock.h"

namespace auburndoor {

/**
    Limits how many start commands are without an answer at a time, by how long the answers take.

    A burst of starts would fill the owner's link or its event loop, so that commands, polls and heartbeats time out and are
   repeated, which fills it further. The limit grows while answers are fast, and shrinks when they become slow, as the window of a
   transport protocol does (additive increase, multiplicative decrease). Used on one thread.
*/
class StartWindow
{
public:
    /** True if one more start may be sent. */
    bool hasRoom() const;

    /** Notes a start that is sent; callers may exceed the limit where starts belong together. */
    void onSent();

    /**
        Notes the answer to a start.

        @param sentAt     when the start was sent
        @param answeredAt now
        @param isAnswered false if there was no answer in time
    */
    void onAnswer(TimePoint sentAt, TimePoint answeredAt, bool isAnswered);

    /** The most starts without an answer that are allowed at present. */
    int limit() const;

private:
    int inFlight_ = 0;
    double limit_ = initialLimit;
    /** Answers to starts that were sent before this time tell nothing of the present limit. */
    TimePoint reducedAt_;

    static constexpr double initialLimit = 32;
};

} // namespace auburndoor
