#include "net/LoopDelayMeter.h"

#include "net/Timers.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds measureInterval { 50 };
constexpr Milliseconds windowLength { 1000 };

} // namespace

struct LoopDelayMeter::Impl : std::enable_shared_from_this<Impl>
{
    explicit Impl(Timers &timers) : timers(timers)
    {
    }

    void measureNext();

    Timers &timers;
    TimePoint expectedAt;
    TimePoint windowStartedAt;
    Milliseconds delayInWindow { 0 };
    Milliseconds delayInPreviousWindow { 0 };
    bool isClosed = false;
};

void LoopDelayMeter::Impl::measureNext()
{
    expectedAt = timers.now() + measureInterval;
    timers.after(measureInterval, [self = shared_from_this()] {
        if (self->isClosed) {
            return;
        }
        const auto now = self->timers.now();
        if (now - self->windowStartedAt > windowLength) {
            self->delayInPreviousWindow = std::exchange(self->delayInWindow, Milliseconds(0));
            self->windowStartedAt = now;
        }
        self->delayInWindow = std::max(self->delayInWindow, std::chrono::duration_cast<Milliseconds>(now - self->expectedAt));
        self->measureNext();
    });
}

LoopDelayMeter::LoopDelayMeter(Timers &timers) : impl_(std::make_shared<Impl>(timers))
{
}

LoopDelayMeter::~LoopDelayMeter()
{
    impl_->isClosed = true;
}

void LoopDelayMeter::start()
{
    impl_->windowStartedAt = impl_->timers.now();
    impl_->measureNext();
}

Milliseconds LoopDelayMeter::recentDelay() const
{
    return std::max(impl_->delayInWindow, impl_->delayInPreviousWindow);
}

} // namespace auburndoor
