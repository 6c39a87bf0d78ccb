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
    /** New connections are expected for so long. */
    Milliseconds acceptDuration { 2200 };
    /** Idle connections of clients begin to be closed this long before the end of acceptDuration, so that most have ended then. */
    Milliseconds idleCloseLead { 1100 };
    /** Only connections that have been idle for so long are closed: others are more likely to send a request at this moment. */
    Milliseconds minimumIdle { 500 };
    /** This long before the maximum duration all idle connections are closed. */
    Milliseconds finalCloseLead { 250 };
    /** The drain ends after this time, whatever is still open. */
    Milliseconds maxDuration { 5300 };
    Milliseconds checkInterval { 50 };
};

/**
    Ends the service of a process that stops, so that no request is cut.

    Answers to clients announce the end of their connection from the start. Connections that stay idle are closed, those that have
    been idle longest first. After acceptDuration new connections of clients are refused. Other processes are served until the
    clients' connections have ended, so that relayed commands and heartbeats go on for as long as possible. Used on the loop's
   thread.
*/
class ListenerDrain
{
public:
    /**
        The listeners must exist until the drain has ended.

        @param arePeersServed returns true while other processes must be served even if no client is left, until nearly the
                              maximum duration; null stands for false
    */
    ListenerDrain(Timers &timers,
                  HttpListener &clients,
                  HttpListener &peers,
                  ListenerDrainTiming timing,
                  std::function<bool()> arePeersServed = nullptr);
    ~ListenerDrain();

    /**
        Starts the drain.

        @param done called once: when the clients' connections have ended and no request of another process is open, or after the
                    maximum duration
    */
    void start(std::function<void()> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
