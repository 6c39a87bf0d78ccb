#include "peer/ConnectionPool.h"

#include "core/Failure.h"

#include <algorithm>

namespace auburndoor {

ConnectionPool::ConnectionPool(std::string address,
                               std::size_t connectionLimit,
                               Milliseconds idleTimeout,
                               Milliseconds connectTimeout)
    : address_(std::move(address)), connectionLimit_(connectionLimit), idleTimeout_(idleTimeout), connectTimeout_(connectTimeout)
{
}

std::optional<FramedSocket> ConnectionPool::acquire(Milliseconds timeout, Failure &failure)
{
    const auto deadline = std::chrono::steady_clock::now() + std::min(timeout, connectTimeout_);
    {
        std::unique_lock lock(mutex_);
        if (!connectionFreed_.wait_until(lock, deadline, [&] { return connectionsInUse_ < connectionLimit_; })) {
            failure.reason = FailureReason::Throttled;
            failure.message = "all " + std::to_string(connectionLimit_) + " connections to the peer are in use";
            return std::nullopt;
        }
        ++connectionsInUse_;
        if (auto socket = takeIdleConnection()) {
            return socket;
        }
    }
    const auto remaining = std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now());
    auto socket = FramedSocket::connect(address_, remaining, failure);
    if (!socket) {
        discard();
    }
    return socket;
}

std::optional<FramedSocket> ConnectionPool::takeIdleConnection()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(idleConnections_, [&](const auto &idle) { return now - idle.idleSince >= idleTimeout_; });
    while (!idleConnections_.empty()) {
        auto socket = std::move(idleConnections_.back().socket);
        idleConnections_.pop_back();
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
        --connectionsInUse_;
        idleConnections_.push_back({ std::move(socket), std::chrono::steady_clock::now() });
    }
    connectionFreed_.notify_one();
}

void ConnectionPool::discard()
{
    {
        const std::lock_guard lock(mutex_);
        --connectionsInUse_;
    }
    connectionFreed_.notify_one();
}

} // namespace auburndoor
