#pragma once

#include "net/HttpChannels.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

class EventLoop;

/** Submits and queries jobs over persistent connections, retries as the protocol allows, and records the answers. */
class SoakClients
{
public:
    /** What the answers say of a job. */
    struct Job
    {
        std::string body;
        /** The path prefix of its queue. */
        std::string prefix;
        /** A submission was answered with success. */
        bool isAccepted = false;
        /** A submission was sent and not accepted, and its answer, if any, does not exclude that the job runs. */
        bool mayHaveBeenAccepted = false;
        /** A cancellation was sent; it may have taken effect although its answer was lost. */
        bool mayBeCancelled = false;
        /** A cancellation was answered with success at this time. */
        std::optional<TimePoint> cancelledAt;
        int attempts = 0;
        /** The state in the last successful query; empty before. */
        std::string lastState;
    };

    SoakClients(EventLoop &loop, const std::vector<Address> &entries, std::mt19937 &random);

    /** Submits a new job; repeated at random processes until it is accepted, answered with 400 or 404, or out of attempts. */
    void submit(const std::string &id, const std::string &body, const std::string &prefix = "/jobs/");

    /** Queries the state of an accepted job; records a violation if the job is said not to exist or its end state changes. */
    void query(const std::string &id);

    /** Cancels a job; repeated at random processes until it is acknowledged or out of attempts. */
    void cancel(const std::string &id);

    const std::map<std::string, Job> &jobs() const
    {
        return jobs_;
    }

    std::vector<std::string> violations;

    /** Sent with each request unless it is empty; it has to be valid all the time. */
    std::string key;

    /** Called from within the handler of each answer that accepts a submission, if set. */
    std::function<void(const std::string &id)> onAccepted;
    /** Called from within the handler of each answer that acknowledges a cancellation, if set. */
    std::function<void(const std::string &id)> onCancelled;

private:
    HttpChannels &pickEntry();
    WebRequest makeRequest(const std::string &method, const std::string &path, const std::string &body) const;
    void send(const std::string &id);
    void onSubmitAnswered(const std::string &id, const SendResult &result);
    void sendCancel(const std::string &id, int attempts);
    void onQueryAnswered(const std::string &id, const SendResult &result);

    EventLoop &loop_;
    std::mt19937 &random_;
    std::vector<std::unique_ptr<HttpChannels>> entries_;
    std::map<std::string, Job> jobs_;
};

} // namespace auburndoor
