#pragma once

#include "worker/WorkerConnection.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace auburndoor {

class HttpClient;
class Metrics;
struct HttpReply;
struct WorkerCommand;

/**
    The worker protocol over HTTP, as docs/protocols/worker.md describes it. Any thread.

    A start or a call is sent at most once. The other orders may be repeated without harm and are sent up to three times within
    the deadline. An answer that names another task or another worker is dropped, counted as crossed_answers_total, and treated
    like a lost one.
*/
class HttpWorkerConnection : public WorkerConnection
{
public:
    /** @param address "ip:port" @param clock and metrics must outlive the connection */
    HttpWorkerConnection(WorkerId worker, const std::string &address, Clock &clock, Metrics &metrics);
    ~HttpWorkerConnection() override;

    std::optional<WorkerReport> claim(Epoch epoch, const InstanceId &owner, TimePoint deadline, Failure &failure) override;
    CallResult call(const TaskStart &start, TimePoint deadline, Failure &failure) override;
    CallResult start(const TaskStart &start, TimePoint deadline, Failure &failure) override;
    std::optional<TaskStatus> query(const TaskId &task, TimePoint deadline, Failure &failure) override;
    std::optional<TaskStatus> cancel(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure) override;
    std::optional<TaskStatus> checkpoint(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure) override;
    bool throttle(const TaskId &task, Epoch epoch, int percent, TimePoint deadline, Failure &failure) override;
    std::optional<WorkerReport> renew(Epoch epoch, Milliseconds lease, TimePoint deadline, Failure &failure) override;

private:
    CallResult startOnce(const std::string &path, const TaskStart &start, TimePoint deadline, Failure &failure);
    CallResult resultOf(const HttpReply &reply, const TaskId &task, bool hasToEnd, Failure &failure);
    std::optional<TaskStatus> taskOrder(const std::string &path,
                                        const TaskId &task,
                                        const WorkerCommand &order,
                                        TimePoint deadline,
                                        Failure &failure);
    std::optional<WorkerReport> reportOrder(const std::string &path,
                                            const WorkerCommand &order,
                                            TimePoint deadline,
                                            Failure &failure);
    bool repeat(const std::string &path,
                const WorkerCommand &order,
                TimePoint deadline,
                const std::function<bool(const std::string &)> &accept,
                Failure &failure);
    bool pause(int attempt, TimePoint deadline);
    void countExchange(const std::string &path, const std::optional<HttpReply> &reply);
    void countCrossed(Failure &failure);

    const WorkerId worker_;
    Clock &clock_;
    Metrics &metrics_;
    std::unique_ptr<HttpClient> client_;
    /** The mark of the newest report that arrived; reports may arrive out of order. */
    std::atomic<long long> mark_ = 0;
    std::mutex pauseMutex_;
    std::condition_variable pauseCondition_;
};

} // namespace auburndoor
