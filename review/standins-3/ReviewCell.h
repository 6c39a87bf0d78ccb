#pragma once

#include "ReviewWorker.h"
#include "cell/ChildProcess.h"
#include "net/HttpChannels.h"
#include "soak/PlatformServer.h"

#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

/** A task's history, as its workers and callers see it. */
struct ReviewTask
{
    /** Runs that are there now. */
    int runs = 0;
    int starts = 0;
    int failedEnds = 0;
    int crashes = 0;
    /** When its last run was over. */
    TimePoint lastOverAt;
};

/** A small deployment on loopback: entry processes by the deploy file's command, and stand-ins of all others. */
class ReviewCell
{
public:
    /** @param folder receives settings and logs @param recordFile what was sent, answered and run */
    ReviewCell(const std::string &program, const std::string &folder, const std::string &recordFile);

    /** As in the settings; to be set before workers and entries are added. */
    Milliseconds maxHold { 6000 };
    Milliseconds killGrace { 200 };

    /** Writes the first desired state; routes as JSON. */
    void writeDesiredState(const std::string &routes, const std::string &services);
    void addEntries(int count);
    ReviewWorker &addWorker(ReviewWorker::Identity identity);
    void startEntries();

    void runFor(Milliseconds duration);
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);
    /** Runs until every entry process is ready. */
    bool waitUntilReady(Milliseconds limit);

    /** Hands a job in, with the retries that PROTOCOL.md allows. */
    void submit(const std::string &prefix, const std::string &id, const std::string &body);
    /** Hands a job in at one process, and at the next ones after an attempt that was not accepted, as often as may be. */
    void submitAt(std::size_t entry, const std::string &prefix, const std::string &id, const std::string &body, int retries);
    /** The number of the process that the store names as the owner; empty if there is none. */
    std::optional<std::size_t> owner() const;
    /** Asks for a job's state at any process. */
    void query(const std::string &prefix, const std::string &id);
    void crash(const std::vector<std::string> &workers);
    void restart(const std::vector<std::string> &workers);
    /** The worker's machine is lost for good: it answers nothing, and its entry is removed after three reports that fail to come.
     */
    void lose(const std::string &worker);
    void record(const std::string &text);
    Milliseconds sinceStart() const;

    EventLoop loop;
    PlatformServer platform;
    std::map<std::string, std::unique_ptr<ReviewWorker>> workers;
    std::map<std::string, ReviewTask> tasks;
    /** The jobs that were answered with a 2xx. */
    std::set<std::string> accepted;
    /** What each attempt to hand a job in was answered with; of submitAt(). */
    std::map<std::string, std::vector<std::string>> answers;
    /** The last state of each job that was shown. */
    std::map<std::string, std::string> states;
    /** Returns the work of a task; to be set before the workers start anything. */
    std::function<ReviewWork(const std::string &task)> plan;
    std::vector<std::unique_ptr<ChildProcess>> entries;

private:
    void heartbeat(const std::string &id);
    void send(const std::string &method, const std::string &prefix, const std::string &id, const std::string &body, int attempt);

    std::string program_;
    std::string folder_;
    std::ofstream record_;
    TimePoint startedAt_;
    std::vector<std::string> ips_;
    std::vector<std::unique_ptr<HttpChannels>> clients_;
    std::vector<std::unique_ptr<HttpChannels>> probes_;
    std::size_t nextClient_ = 0;
};

} // namespace auburndoor
