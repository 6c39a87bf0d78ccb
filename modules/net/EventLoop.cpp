// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <ctime>
#include <list>
#include <vector>

namespace auburndoor {

struct EventLoop::Impl
{
    using Alarm = boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                                    boost::asio::wait_traits<std::chrono::steady_clock>,
                                                    boost::asio::io_context::executor_type>;

    /** An action that runs at a time. */
    struct Timer
    {
        TimePoint end;
        /** Timers that end at the same time run in the order of their start. */
        std::uint64_t sequenceNumber;
        std::function<void()> action;
    };

    /** The order of the heap, whose first element is the timer that ends first. */
    struct EndsLater
    {
        bool operator()(const Timer &left, const Timer &right) const
        {
            return left.end != right.end ? left.end > right.end : left.sequenceNumber > right.sequenceNumber;
        }
    };

    void startTimer(TimePoint end, std::function<void()> action);
    /** Sets the alarm to the end of the first timer, unless it goes off before that. */
    void setAlarm();
    void runTimers();

    // The concurrency hint 1 tells Asio that one thread runs the loop, so that it wakes no others.
    boost::asio::io_context context { 1 };
    std::list<boost::asio::signal_set> signalSets;
    // One timer of Asio serves all timers of the loop: each of its own would cost an object, a handler and often a system call.
    Alarm alarm { context.get_executor() };
    /** When the alarm goes off; TimePoint::max() if it is not set. */
    TimePoint alarmTime = TimePoint::max();
    std::vector<Timer> timers;
    std::uint64_t startedTimers = 0;
};

void EventLoop::Impl::startTimer(TimePoint end, std::function<void()> action)
{
    timers.push_back({ end, startedTimers++, std::move(action) });
    std::push_heap(timers.begin(), timers.end(), EndsLater());
    setAlarm();
}

void EventLoop::Impl::setAlarm()
{
    if (timers.empty() || timers.front().end >= alarmTime) {
        return;
    }
    alarmTime = timers.front().end;
    alarm.expires_at(alarmTime);
    alarm.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            runTimers();
        }
    });
}

void EventLoop::Impl::runTimers()
{
    // No alarm is set while timers run, as the first of them may be due already.
    alarmTime = TimePoint::min();
    // Timers that are started meanwhile wait for the next turn, so that sockets are served between them.
    const auto startedBefore = startedTimers;
    const auto now = std::chrono::steady_clock::now();
    while (!timers.empty() && timers.front().end <= now && timers.front().sequenceNumber < startedBefore && !context.stopped()) {
        std::pop_heap(timers.begin(), timers.end(), EndsLater());
        const auto action = std::move(timers.back().action);
        timers.pop_back();
        action();
    }
    // After a peak of connections, each of which had timers.
    constexpr std::size_t keptCapacity = 1024;
    if (timers.capacity() > keptCapacity && timers.size() < timers.capacity() / 8) {
        timers.shrink_to_fit();
    }
    alarmTime = TimePoint::max();
    setAlarm();
}

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
    if (delay <= Milliseconds(0)) {
        boost::asio::post(impl_->context, std::move(action));
        return;
    }
    impl_->startTimer(now() + delay, std::move(action));
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
