#pragma once

#include "core/Clock.h"
#include "core/Failure.h"
#include "http/HttpMessage.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

class HttpClient;
class Metrics;

/** How the platform's service is reached. */
struct PlatformOptions
{
    /** Alternatives, each "ip:port", tried in turn; at least one. */
    std::vector<std::string> addresses;
    /** For connecting, and for each wait for bytes of one attempt. */
    Milliseconds attemptTimeout { 1000 };
    /** Longest wait before the second round of attempts; doubles with each further round. */
    Milliseconds firstBackoff { 20 };
    Milliseconds longestBackoff { 1000 };
    /** Idle connections kept for each address. */
    std::size_t connectionLimit = 32;
};

/** One request to the platform's service. */
struct PlatformCall
{
    std::string method;
    /** Path with query. */
    std::string path;
    std::string body;
    FailureStep step = FailureStep::None;
    /** After an attempt that may have arrived, the refusal of a later attempt does not tell the outcome. */
    bool isCommit = false;
};

/**
    Repeats requests to the platform's service until a definite reply or a deadline.

    Attempts go to the addresses in turn, starting with the one that replied last. After each round over all addresses, and after
    each 429, it waits with jittered exponential backoff. Each repetition is counted with its reason. Any thread.
*/
class PlatformConnection
{
public:
    PlatformConnection(PlatformOptions options, Clock &clock, Metrics &metrics);
    ~PlatformConnection();
    PlatformConnection(const PlatformConnection &) = delete;
    PlatformConnection &operator=(const PlatformConnection &) = delete;

    /** Reads a reply of status 200; returns false if its body is not what the protocol says. */
    using Reader = std::function<bool(const HttpReply &reply)>;

    /**
        Sends an idempotent request.

        @param reader         if it returns false, the attempt counts as one whose reply was lost
        @param mayHaveArrived set if an attempt may have arrived and its reply was lost
        @return true once the reader has accepted a reply; false with the last failure at the deadline or at a refusal (status
                400, 401, 403, 404 or 413; not for a commit that may have arrived before)
    */
    bool call(const PlatformCall &call, TimePoint deadline, const Reader &reader, bool &mayHaveArrived, Failure &failure);

private:
    enum class AttemptResult {
        Done,
        Refused,
        Retry,
        /** As Retry, but trying the next address at once would not help. */
        RetryLater,
    };

    AttemptResult attempt(HttpClient &client,
                          const PlatformCall &call,
                          Milliseconds timeout,
                          const Reader &reader,
                          bool &mayHaveArrived,
                          Failure &failure);
    void waitForNextRound(int round, TimePoint deadline);

    const PlatformOptions options_;
    Clock &clock_;
    Metrics &metrics_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    /** Index of the address that replied last. */
    std::atomic<std::size_t> preferred_ = 0;
};

} // namespace auburndoor
