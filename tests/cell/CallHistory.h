#pragma once

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace auburndoor {

/** One call of a caller as the caller saw it. */
struct CallRecord
{
    /** Marks the request; its worker echoes it. */
    std::string mark;
    /** Empty for a repeatable request. */
    std::string idempotencyKey;
    /** "answered", "task-failed", "not-run", "unknown", or "broken" if no reply came. */
    std::string outcome;
    std::string reason;
    /** The Request-Id header. */
    std::string requestId;
    std::string body;
    std::chrono::milliseconds duration { 0 };
};

/** What all callers of a test saw. Any thread. */
class CallHistory
{
public:
    void add(CallRecord record);

    std::vector<CallRecord> records() const;

    std::size_t count(const std::string &outcome) const;

private:
    mutable std::mutex mutex_;
    std::vector<CallRecord> records_;
};

} // namespace auburndoor
