#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace auburndoor {

/**
    Limits the calls that a server executes at the same time, and refuses new ones once it is closed.

    All members may be called from any thread.
*/
class CallLimiter
{
public:
    enum class Admission {
        Admitted,
        /** As many calls as allowed are in flight. */
        LimitReached,
        /** close() has been called. */
        Closed,
    };

    explicit CallLimiter(std::size_t callLimit) : callLimit_(callLimit)
    {
    }

    /** Counts a new call if it is admitted; the caller then calls finish() when the call has ended. */
    Admission tryBegin()
    {
        const std::lock_guard lock(mutex_);
        if (isClosed_) {
            return Admission::Closed;
        }
        if (callsInFlight_ >= callLimit_) {
            return Admission::LimitReached;
        }
        ++callsInFlight_;
        return Admission::Admitted;
    }

    void finish()
    {
        {
            const std::lock_guard lock(mutex_);
            --callsInFlight_;
        }
        callFinished_.notify_all();
    }

    /** Refuses new calls from now on and waits until those in flight have finished. */
    void close()
    {
        std::unique_lock lock(mutex_);
        isClosed_ = true;
        callFinished_.wait(lock, [this] { return callsInFlight_ == 0; });
    }

private:
    const std::size_t callLimit_;
    std::mutex mutex_;
    std::condition_variable callFinished_;
    std::size_t callsInFlight_ = 0;
    bool isClosed_ = false;
};

} // namespace auburndoor
