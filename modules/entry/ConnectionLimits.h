#pragma once

#include "net/HttpListener.h"

#include <cstddef>

namespace auburndoor {

struct EntrySettings;

/** The limits of the listeners of one entry process, derived from the memory and the file descriptors of its machine. */
struct ConnectionLimits
{
    /** What all connections may hold together, in bytes. */
    std::size_t memoryBytes = 0;
    HttpListenerLimits clients;
    HttpListenerLimits readiness;
    HttpListenerLimits peers;
    HttpListenerLimits operators;

    static ConnectionLimits derive(const EntrySettings &settings);
};

} // namespace auburndoor
