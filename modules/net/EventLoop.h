#pragma once

#include "net/Timers.h"

#include <initializer_list>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace auburndoor {

/**
    The event loop of an entry process: one thread runs all socket handlers, timers and scheduling decisions.

    All members but stop() are called from the thread that runs the loop, or before run().
*/
class EventLoop : public Timers
{
public:
    EventLoop();
    ~EventLoop() override;

    TimePoint now() const override;
    TimePoint bootNow() const override;
    std::chrono::milliseconds wallNow() const override;
    void after(Milliseconds delay, std::function<void()> action) override;

    /** Calls onSignal with the signal's number each time that one of the signals arrives. */
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> onSignal);

    /** Runs the loop until stop() is called; may be called again after that. */
    void run();
    void stop();

    /** The Asio context on which sockets are created. */
    boost::asio::io_context &context();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburndoor
