#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <memory>
#include <string>

namespace auburndoor {

class EventLoop;

/** What each connection of a crowd does. */
struct CrowdPlan
{
    int connections = 600;
    /** Sent at once. */
    std::string head;
    /** Sent after it in pieces. */
    std::string rest;
    std::size_t pieceBytes = 512;
    /** The time between two pieces. */
    Milliseconds pause { 0 };
    enum class Reading {
        AtOnce,
        /** 16 bytes in 100 ms. */
        Slowly,
        Never,
    };
    Reading reading = Reading::AtOnce;
    /** The sending direction is closed after the last byte. */
    bool endsSending = false;
};

/** Connections of clients that nobody controls. One that its peer closes is not opened again. Used on the loop's thread. */
class Crowd
{
public:
    Crowd(EventLoop &loop, Address target, CrowdPlan plan);
    /** Closes all connections. */
    ~Crowd();

    void start();

    /** The number of bytes sent and received so far. */
    long long transferred() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
