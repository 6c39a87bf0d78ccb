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

/** Addresses and time limits of a PlatformConnection. */
struct PlatformOptions
{
    /** The addresses of the service, each "ip:port", tried in turn; at least one. */
    std::vector<std::string> addresses;
    /** Time limit of one attempt for connecting, and for each wait for bytes. */
    Milliseconds attemptTimeout { 1000 };
    /** The longest wait before the second round of attempts; doubled for each further round. */
    Milliseconds firstBackoff { 20 };
    /** The longest wait before any round. */
    Milliseconds longestBackoff { 1000 };
    /** Idle connections kept for each address. */
    std::size_t idleConnectionLimit = 32;
};

/** One request to the platform's service. */
struct PlatformCall
{
    std::string method;
    /** Path with query. */
    std::string path;
    std::string body;
    FailureStep step = FailureStep::None;
    /** True for a commit: once an attempt may have arrived, the refusal of a later attempt does not decide the outcome. */
    bool isCommit = false;
};

/**
    Sends requests to the platform's service, and repeats them until a definite reply or a deadline. Thread-safe.

    Attempts go to the addresses in turn, starting with the one that last accepted a request. After each round over all addresses,
    and after each status 429, it waits with exponential backoff and jitter. Each repetition is counted with the reason of the
    failure before it.
*/
class PlatformConnection
{
public:
    PlatformConnection(PlatformOptions options, Clock &clock, Metrics &metrics);
    ~PlatformConnection();
    PlatformConnection(const PlatformConnection &) = delete;
    PlatformConnection &operator=(const PlatformConnection &) = delete;

    /** Called with each reply of status 200; returns false if its body does not follow the protocol. */
    using Reader = std::function<bool(const HttpReply &reply)>;

    /**
        Sends an idempotent request.

        @param reader         if it returns false, the reply is treated as lost
        @param mayHaveArrived set to true if an attempt may have arrived and its reply was lost
        @return true once the reader has accepted a reply; false with the last failure at the deadline or at a refusal (status
                400, 401, 403, 404 or 413; not for a commit that may have arrived before)
    */
    bool call(const PlatformCall &call, TimePoint deadline, const Reader &reader, bool &mayHaveArrived, Failure &failure);

private:
    enum class AttemptResult {
        Done,
        Refused,
        Retry,
        /** As Retry, but only after a wait, since the service as a whole throttles. */
        RetryAfterWait,
    };

    /** Sends the request once to one address. */
    AttemptResult attempt(HttpClient &client,
                          const PlatformCall &call,
                          Milliseconds timeout,
                          const Reader &reader,
                          bool &mayHaveArrived,
                          Failure &failure);
    /** Waits for the backoff of the round, or until the deadline. */
    void waitForNextRound(int round, TimePoint deadline);

    const PlatformOptions options_;
    Clock &clock_;
    Metrics &metrics_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    /** The index of the address that last accepted a request. */
    std::atomic<std::size_t> preferredIndex_ = 0;
};

} // namespace auburndoor
