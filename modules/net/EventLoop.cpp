// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ctime>
#include <list>

namespace auburndoor {

struct EventLoop::Impl
{
    // The concurrency hint 1 tells Asio that one thread runs the loop, so that it wakes no others.
    boost::asio::io_context context { 1 };
    std::list<boost::asio::signal_set> signalSets;
};

namespace {

void waitForSignal(boost::asio::signal_set &signalSet, std::function<void(int)> onSignal)
{
    signalSet.async_wait([&signalSet, onSignal = std::move(onSignal)](const boost::system::error_code &error, int signalNumber) {
        if (error) {
            return;
        }
        onSignal(signalNumber);
        waitForSignal(signalSet, onSignal);
    });
}

} // namespace

EventLoop::EventLoop() : impl_(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

TimePoint EventLoop::now() const
{
    return std::chrono::steady_clock::now();
}

TimePoint EventLoop::bootNow() const
{
    timespec time {};
    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        return now();
    }
    return TimePoint() + std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::chrono::milliseconds EventLoop::wallNow() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

void EventLoop::after(Milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(impl_->context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &error) {
        if (!error) {
            action();
        }
    });
}

void EventLoop::onSignals(std::initializer_list<int> signals, std::function<void(int)> onSignal)
{
    auto &signalSet = impl_->signalSets.emplace_back(impl_->context);
    for (const int signalNumber : signals) {
        signalSet.add(signalNumber);
    }
    waitForSignal(signalSet, std::move(onSignal));
}

void EventLoop::run()
{
    impl_->context.restart();
    const auto guard = boost::asio::make_work_guard(impl_->context);
    impl_->context.run();
}

void EventLoop::stop()
{
    impl_->context.stop();
}

boost::asio::io_context &EventLoop::context()
{
    return impl_->context;
}

} // namespace auburndoor
