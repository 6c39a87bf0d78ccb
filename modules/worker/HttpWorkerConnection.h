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
    A connection to a worker over HTTP, by the protocol in docs/protocols/worker.md. Thread-safe.

    A start or a call is sent at most once. The other orders are idempotent and are sent up to three times within the deadline. An
    answer that names another task or worker is counted as crossed_answers_total and treated as lost.
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
    /** Sends a start or a call once. NotRun if it did not leave this process or the worker refused it. */
    CallResult sendStart(const std::string &path, const TaskStart &start, TimePoint deadline, Failure &failure);
    /** @param mustHaveEnded true for a call: a task that still runs is then a failure */
    CallResult toCallResult(const HttpReply &reply, const TaskId &task, bool mustHaveEnded, Failure &failure);
    /** Sends an order about one task and returns its state. */
    std::optional<TaskStatus> sendTaskOrder(const std::string &path,
                                            const TaskId &task,
                                            const WorkerCommand &order,
                                            TimePoint deadline,
                                            Failure &failure);
    /** Sends a claim or a renewal, and keeps the mark of the report. */
    std::optional<WorkerReport> sendReportOrder(const std::string &path,
                                                const WorkerCommand &order,
                                                TimePoint deadline,
                                                Failure &failure);
    /**
        Sends an idempotent order until it is answered, refused, or the attempts or the time are used up.

        @param readAnswer called with the body of each answer of status 200; returns false to treat the answer as lost
        @return true if readAnswer accepted an answer
    */
    bool sendWithRetries(const std::string &path,
                         const WorkerCommand &order,
                         TimePoint deadline,
                         const std::function<bool(const std::string &)> &readAnswer,
                         Failure &failure);
    /** Waits before the next attempt. @return false if this was the last attempt or the wait would reach the deadline */
    bool waitBeforeRetry(int attempt, TimePoint deadline);
    /** Counts the bytes of an exchange by its path. */
    void countTrafficOf(const std::string &path, const std::optional<HttpReply> &reply);
    /** Counts an answer to another task or of another worker, and fills the failure. */
    void countCrossedAnswer(Failure &failure);

    const WorkerId worker_;
    Clock &clock_;
    Metrics &metrics_;
    std::unique_ptr<HttpClient> client_;
    /** The highest mark of the reports that arrived, which may come out of order. */
    std::atomic<long long> newestMark_ = 0;
    std::mutex retryMutex_;
    std::condition_variable retryCondition_;
};

} // namespace auburndoor
