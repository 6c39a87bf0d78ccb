#pragma once

#include "net/HttpListener.h"

#include <unordered_set>

namespace auburndoor {

class EventLoop;
class HttpSession;

/** What the connections of an HttpListener share. They keep it alive. */
struct HttpListenerContext
{
    EventLoop &loop;
    HttpListenerLimits limits;
    HttpHandler handler;
    /** Null if the memory of the connections is not limited. */
    std::shared_ptr<ConnectionMemory> memory = nullptr;
    ConnectionPurpose purpose = ConnectionPurpose::Clients;
    /** May be empty. */
    HttpHeaderCheck headerCheck {};
    /** The open connections. */
    std::unordered_set<HttpSession *> sessions {};
    /** Those of them that are only told that the listener is full. */
    std::size_t rejectedSessions = 0;
    /** Requests that were received and whose reply is not yet written in full. */
    std::size_t openRequests = 0;
    /** Replies announce the end of their connection. */
    bool isDraining = false;
    /** Requests that arrived after the end of their connection was announced or begun, so that they were not carried out. */
    std::size_t discardedRequests = 0;
    /** When connections were last closed to make room. */
    TimePoint lastEvictionAt {};

    /** Closes connections whose request has been arriving for long, those that hold most first, to free memory for others. */
    void closeLargest();
    /** Closes connections that wait for a request, or whose request has been arriving, for the longest time. */
    void closeLongestOpen();

private:
    void evict(bool isForMemory);
};

} // namespace auburndoor
