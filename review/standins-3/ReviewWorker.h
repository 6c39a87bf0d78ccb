#pragma once

#include "net/EventLoop.h"
#include "net/HttpListener.h"
#include "soak/FaultyLink.h"
#include "workload/WorkerClient.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace auburndoor {

/** What a run does on a worker. */
struct ReviewWork
{
    /** How long it works; empty for a task that lasts. */
    std::optional<Milliseconds> duration;
    std::string end = "done";
};

/**
    A sound worker of the platform, as PROTOCOL.md describes one: fencing, leases, stops, ends that are listed until they are
    acknowledged, crashes and restarts under its id.
*/
class ReviewWorker
{
public:
    struct Identity
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string rack;
        int milliCores = 32000;
        int memoryMiB = 131072;
    };
    using RunKey = std::pair<std::string, std::int64_t>;
    struct Hooks
    {
        std::function<ReviewWork(const std::string &task)> plan;
        std::function<void(const std::string &worker, const RunKey &run)> onStarted;
        /** A run is over. @param how as a worker lists it; "crashed" if the worker has crashed */
        std::function<void(const std::string &worker, const RunKey &run, const std::string &how)> onOver;
    };

    ReviewWorker(EventLoop &loop, Identity identity, Milliseconds maxHold, Milliseconds killGrace, Hooks hooks);

    const Identity &identity() const;
    /** The worker's row in the store. */
    std::string makeRow();
    /** The worker's process ends: its runs are gone and its address refuses connections. */
    void crash();
    /** The worker starts again under its id and knows nothing of before. */
    void restart();
    bool isUp() const;
    /** The path of all calls to this worker. */
    FaultyLink &link();
    std::set<RunKey> runs() const;

private:
    struct Run
    {
        TimePoint startedAt;
        std::optional<TimePoint> endsAt;
        std::optional<Milliseconds> duration;
        std::string end;
    };
    struct Hold
    {
        HttpResponderPointer responder;
        TimePoint until;
        std::int64_t born = 0;
    };

    Milliseconds clock() const;
    void serve(const WebRequest &request, const HttpResponderPointer &responder);
    void start(const nlohmann::json &body, const HttpResponderPointer &responder);
    void stop(const nlohmann::json &body, const HttpResponderPointer &responder);
    void hold(const nlohmann::json &body, const HttpResponderPointer &responder);
    void extendLease(const nlohmann::json &body);
    void refuse(const HttpResponderPointer &responder, const std::string &reason) const;
    void accept(const HttpResponderPointer &responder) const;
    std::string makeReport() const;
    /** Lets runs end and the lease lapse; answers the calls that wait for an end. */
    void settle();
    void endRun(const RunKey &key, const std::string &how);
    void tick();

    EventLoop &loop_;
    Identity identity_;
    Milliseconds maxHold_;
    Milliseconds killGrace_;
    Hooks hooks_;
    std::unique_ptr<HttpListener> listener_;
    std::unique_ptr<FaultyLink> link_;
    bool isUp_ = true;
    std::int64_t born_ = 0;
    std::int64_t reports_ = 0;
    TimePoint startedAt_;
    std::int64_t token_ = 0;
    TimePoint leaseEnd_;
    std::map<RunKey, Run> runs_;
    std::map<std::string, std::int64_t> overAttempts_;
    std::deque<nlohmann::json> ended_;
    std::int64_t nextEnd_ = 1;
    std::deque<Hold> holds_;
};

} // namespace auburndoor
