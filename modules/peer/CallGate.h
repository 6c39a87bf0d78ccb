#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace auburndoor {

/** Counts the calls in flight of a server, bounds them, and refuses new ones during a stop. Any thread. */
class CallGate
{
public:
    enum class Admission {
        Admitted,
        Full,
        Closed,
    };

    explicit CallGate(std::size_t limit) : limit_(limit)
    {
    }

    Admission enter()
    {
        const std::lock_guard lock(mutex_);
        if (isClosed_) {
            return Admission::Closed;
        }
        if (count_ >= limit_) {
            return Admission::Full;
        }
        ++count_;
        return Admission::Admitted;
    }

    void leave()
    {
        {
            const std::lock_guard lock(mutex_);
            --count_;
        }
        condition_.notify_all();
    }

    /** Admits no more calls and waits for those in flight. */
    void close()
    {
        std::unique_lock lock(mutex_);
        isClosed_ = true;
        condition_.wait(lock, [this] { return count_ == 0; });
    }

private:
    const std::size_t limit_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::size_t count_ = 0;
    bool isClosed_ = false;
};

} // namespace auburndoor
