#pragma once

#include "core/Clock.h"

#include <cstddef>

namespace auburndoor {

/** What the connections of an HttpListener are doing at one moment. */
struct HttpListenerLoad
{
    /** Requests that were read in full and that their handler has not answered. */
    std::size_t openRequests = 0;
    /** Replies of which not all bytes have been passed to the operating system. */
    std::size_t unwrittenReplies = 0;
    /** Connections with a request that was read in part, or with input that waits in the operating system. */
    std::size_t partialRequests = 0;
    /** Connections that wait for a request. */
    std::size_t idleConnections = 0;
    /**
        Since the start: requests that arrived after the end of their connection was announced or begun, so that they were not
       carried out. Requests that were cut off or came together count as one.
    */
    std::size_t discardedRequests = 0;
    /**
        The time since the oldest request of the first three counts arrived, or since its connection became ready for it if it was
        not read in full; zero if there is none.
    */
    Milliseconds oldestAge { 0 };
};

} // namespace auburndoor
