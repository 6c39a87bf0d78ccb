#pragma once

#include "net/ConnectionMemory.h"

#include <memory>
#include <utility>

namespace auburndoor {

/** What one connection holds of a ConnectionMemory; given back with this object. Without a budget it holds any amount. */
class MemoryShare
{
public:
    MemoryShare(std::shared_ptr<ConnectionMemory> memory, ConnectionPurpose purpose) : memory_(std::move(memory)), purpose_(purpose)
    {
    }

    ~MemoryShare()
    {
        resize(0);
    }

    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    std::size_t bytes() const
    {
        return bytes_;
    }

    /**
        Changes what is held.

        @param isSmall whether it is for a request of at most ConnectionMemory::maxSmallBytes
        @return        false, with nothing changed, if the budget has no room for more
    */
    bool tryResize(std::size_t bytes, bool isSmall)
    {
        if (memory_ && bytes > bytes_) {
            if (!memory_->tryTake(purpose_, bytes - bytes_, isSmall)) {
                return false;
            }
            bytes_ = bytes;
            return true;
        }
        resize(bytes);
        return true;
    }

    /** Changes what is held, also beyond the budget. */
    void resize(std::size_t bytes)
    {
        if (memory_ && bytes > bytes_) {
            memory_->take(purpose_, bytes - bytes_);
        } else if (memory_ && bytes < bytes_) {
            memory_->release(purpose_, bytes_ - bytes);
        }
        bytes_ = bytes;
    }

private:
    std::shared_ptr<ConnectionMemory> memory_;
    ConnectionPurpose purpose_;
    std::size_t bytes_ = 0;
};

} // namespace auburndoor
