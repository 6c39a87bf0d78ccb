#pragma once

#include "workload/WorkerClient.h"

#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

/** The commands to a worker whose replies a test gives, in any order. */
struct ScriptedWorker
{
    std::vector<WorkerClient::CommandCallback> starts;
    std::vector<WorkerClient::ReportCallback> reports;
    /** The tasks and attempts of the stops. */
    std::vector<std::pair<TaskName, std::int64_t>> stops;
};

/** Records commands in a ScriptedWorker; its leases never end. */
class ScriptedWorkerClient : public WorkerClient
{
public:
    explicit ScriptedWorkerClient(ScriptedWorker &worker) : worker_(worker)
    {
    }

    void start(const StartCommand &, Milliseconds, CommandCallback callback) override
    {
        worker_.starts.push_back(std::move(callback));
    }
    void stop(const TaskName &task, std::int64_t attempt, CommandCallback) override
    {
        worker_.stops.emplace_back(task, attempt);
    }
    void throttle(const TaskName &, std::int64_t, int, CommandCallback) override
    {
    }
    void renewLeases(std::int64_t, Milliseconds, Milliseconds, ReportCallback callback) override
    {
        worker_.reports.push_back(std::move(callback));
    }
    TimePoint leaseEnd() const override
    {
        return TimePoint::max() - std::chrono::hours(1);
    }
    void update(const WorkerEntry &) override
    {
    }

private:
    ScriptedWorker &worker_;
};

/** Creates the clients of one scripted worker. */
class ScriptedWorkerClientFactory : public WorkerClientFactory
{
public:
    std::unique_ptr<WorkerClient> create(const WorkerEntry &, std::int64_t) override
    {
        return std::make_unique<ScriptedWorkerClient>(worker);
    }

    ScriptedWorker worker;
};

} // namespace auburndoor
