#include "peer/ConnectionPool.h"

#include "core/Failure.h"

#include <algorithm>

namespace auburndoor {

ConnectionPool::ConnectionPool(std::string address, std::size_t limit, Milliseconds idleTime, Milliseconds connectTimeout)
    : address_(std::move(address)), limit_(limit), idleTime_(idleTime), connectTimeout_(connectTimeout)
{
}

std::optional<FramedSocket> ConnectionPool::acquire(Milliseconds timeout, Failure &failure)
{
    const auto deadline = std::chrono::steady_clock::now() + std::min(timeout, connectTimeout_);
    {
        std::unique_lock lock(mutex_);
        if (!condition_.wait_until(lock, deadline, [&] { return inUse_ < limit_; })) {
            failure.reason = FailureReason::Throttled;
            failure.message = "all " + std::to_string(limit_) + " connections are in use";
            return std::nullopt;
        }
        ++inUse_;
        if (auto socket = takeKept()) {
            return socket;
        }
    }
    const auto rest = std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now());
    auto socket = FramedSocket::connect(address_, rest, failure);
    if (!socket) {
        discard();
    }
    return socket;
}

std::optional<FramedSocket> ConnectionPool::takeKept()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(kept_, [&](const auto &kept) { return now - kept.since >= idleTime_; });
    while (!kept_.empty()) {
        auto socket = std::move(kept_.back().socket);
        kept_.pop_back();
        if (!socket.isStale()) {
            return socket;
        }
    }
    return std::nullopt;
}

void ConnectionPool::release(FramedSocket socket)
{
    {
        const std::lock_guard lock(mutex_);
        --inUse_;
        kept_.push_back({ std::move(socket), std::chrono::steady_clock::now() });
    }
    condition_.notify_one();
}

void ConnectionPool::discard()
{
    {
        const std::lock_guard lock(mutex_);
        --inUse_;
    }
    condition_.notify_one();
}

} // namespace auburndoor
