#pragma once

#include "core/Clock.h"

#include <functional>
#include <memory>

namespace auburndoor {

class HttpListener;
class Timers;

/** The times of a ListenerDrain, from its start. */
struct ListenerDrainTiming
{
    /** New connections of clients are expected for so long. */
    Milliseconds acceptDuration { 2200 };
    /** The drain ends after this time, whatever is still open. */
    Milliseconds maxDuration { 5300 };
    Milliseconds checkInterval { 50 };
};

/** Ends the service of a process that stops: lets its listeners finish what they have received. Used on the loop's thread. */
class ListenerDrain
{
public:
    /** The listeners must exist until the drain has ended. */
    ListenerDrain(Timers &timers, HttpListener &clients, HttpListener &peers, ListenerDrainTiming timing);
    ~ListenerDrain();

    /** Starts the drain. @param done called once, when nothing is left to wait for or after the maximum duration */
    void start(std::function<void()> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
