// A small cell for the scripts of this review: stand-ins of the store, the workers, the advisory service and the clients, and the
// entry processes of the deploy file as separate processes. Everything listens on loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace standins {

using Json = nlohmann::json;

/** Milliseconds since the start of the program, on the steady clock. */
std::int64_t nowMs();
std::int64_t unixMs();
void sleepMs(std::int64_t duration);

/** Opens record.txt in the folder. */
void openRecord(const std::string &folder);
/** Adds a line to the record, with the time. */
void record(const std::string &text);

/** Exits with 2: the case could not run. */
[[noreturn]] void cannotRun(const std::string &why);

struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string query(const std::string &name) const;
    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
};

struct Reply
{
    int status = 200;
    std::string body;
    /** Ends the connection without a reply. */
    bool isLost = false;
};

/** A blocking HTTP/1.1 server with one thread for each connection. */
class Server
{
public:
    using Handler = std::function<Reply(const Request &)>;
    Server(std::string ip, Handler handler);
    std::string address() const
    {
        return ip_ + ":" + std::to_string(port_);
    }
    void open();
    /** Closes the listener and resets all connections, as a crash does. */
    void close();
    /** Silent partition: nothing is read, answered or accepted, and new connections hang. Ends with setCut(false). */
    void setCut(bool isCut);
    bool isCut() const
    {
        return isCut_;
    }

private:
    void acceptLoop(int generation);
    void serve(int socket, int generation);

    std::string ip_;
    int port_ = 0;
    Handler handler_;
    std::mutex mutex_;
    int listener_ = -1;
    std::atomic<int> generation_ { 0 };
    std::atomic<bool> isCut_ { false };
    /** Counts the cuts: a request that was read or handled in one gets no answer. */
    std::atomic<int> cuts_ { 0 };
    std::set<int> connections_;
    std::vector<int> fillers_;
};

/** The platform's store, in the form of tables. Each client gets a listener of its own, so that writes show who sent them. */
class Store
{
public:
    explicit Store(std::string ip);
    /** Adds a listener. @return its address */
    std::string addClient(int client);
    /** A write of the operator or of a worker. */
    void put(const std::string &table, const std::string &key, const Json &value);
    void remove(const std::string &table, const std::string &key);
    /** The entry of a worker, which is removed after three heartbeats of silence. */
    void beat(const std::string &worker, const Json &value);
    bool hasRow(const std::string &table, const std::string &key);
    /** The client that last wrote under a condition; -1 before the first one. */
    int lastConditionalWriter() const
    {
        return lastWriter_;
    }
    /** While true, the store answers the entry processes with 503. */
    std::atomic<bool> isBusy { false };

private:
    struct Row
    {
        std::string value;
        std::int64_t version = 0;
    };
    struct Change
    {
        std::int64_t version = 0;
        std::string table;
        std::string part;
        std::string key;
        std::string value;
        bool isRemoved = false;
    };
    using Name = std::tuple<std::string, std::string, std::string>;

    Reply serve(int client, const Request &request);
    Reply transact(int client, const Json &body);
    Reply get(const Request &request);
    Reply feed(const Request &request);
    void apply(const Name &name, const std::optional<std::string> &value);
    void sweep();

    std::string ip_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Name, Row> rows_;
    std::vector<Change> history_;
    std::int64_t version_ = 1;
    std::map<std::string, std::int64_t> lastBeat_;
    std::atomic<int> lastWriter_ { -1 };
    std::vector<std::unique_ptr<Server>> servers_;
};

/** One run of a task, as its worker saw it. Times as nowMs(); 0 for what has not happened. */
struct RunRecord
{
    std::string task;
    std::int64_t attempt = 0;
    std::string worker;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0;
    std::string how;
    /** When the end was taken note of: ackSeq reached it, and the lease had not lapsed since the end. */
    std::int64_t notedAt = 0;
};

/** The runs of all workers. */
class RunLog
{
public:
    std::size_t start(const std::string &task, std::int64_t attempt, const std::string &worker);
    void end(std::size_t index, const std::string &how);
    void note(std::size_t index);
    std::vector<RunRecord> all();
    /** The runs that have not ended. */
    std::vector<RunRecord> live();

private:
    std::mutex mutex_;
    std::vector<RunRecord> runs_;
};

/** How a run of a task goes: its duration, and whether it ends as done. A negative duration never ends. */
struct Work
{
    std::int64_t durationMs = 500;
    bool isDone = true;
    /** It ends by Worker::endRun() only. */
    bool isGangMember = false;
};

struct WorkerSettings
{
    std::string id;
    std::string service = "desk";
    std::string zone = "kingston-a";
    std::string rack = "r1";
    int milliCores = 32000;
    int memMb = 131072;
    std::int64_t heartbeatMs = 1500;
    std::int64_t maxHoldMs = 10000;
    std::int64_t killMs = 100;
    /** How long it goes on after it has reported that it drains. */
    std::int64_t lingerMs = 9000;
    /** The speed of its steady clock; 0.98 is the slowest that the pages allow. */
    double clockRate = 1.0;
};

/** A worker: fencing, one lease for all its runs, ends that are listed until they are acknowledged. */
class Worker
{
public:
    Worker(WorkerSettings settings, const std::string &ip, Store &store, RunLog &log, std::function<Work(const std::string &)> plan);

    const WorkerSettings &settings() const
    {
        return settings_;
    }
    /** Reports "draining" at once and in all later entries; it serves on. */
    void drain();
    /** The process ends with all its runs, and nothing is sent. */
    void crash();
    /** Starts again under its id, and knows nothing of before. */
    void restart();
    /** The planned end after draining: its entry is removed. */
    void leave();
    /** Ends a run in this way, if it is there. */
    void endRun(const std::string &task, std::int64_t attempt, const std::string &how);
    /** Partitions it silently from the store and from all machines, or ends that. */
    void setCut(bool isCut);
    std::int64_t lastBeatAt() const
    {
        return lastBeatAt_;
    }
    /** When the last order arrived that extended its lease. */
    std::int64_t lastRenewalAt() const
    {
        return lastRenewalAt_;
    }
    std::size_t runCount();

    /** If set, tells whether a start needs a ticket and has a valid one. */
    std::function<bool(const std::string &task, const std::string &ticket, const std::string &worker, std::int64_t born)> isPermitted;
    std::atomic<int> ticketRejections { 0 };

private:
    struct Run
    {
        std::size_t record = 0;
        std::int64_t endsAt = 0;
        std::string how;
        bool isLasting = false;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t attempt = 0;
        std::string how;
        std::size_t record = 0;
        /** The number of lapses of the lease before it. */
        int lapses = 0;
    };
    using Key = std::pair<std::string, std::int64_t>;

    Reply serve(const Request &request);
    Reply start(const Json &body);
    Reply stop(const Json &body);
    Reply hold(const Json &body, std::unique_lock<std::mutex> &lock);
    std::int64_t clock() const;
    void extendLease(const Json &body);
    void finish(const Key &key, const std::string &how);
    void settle();
    void beat();
    Json answer(int &status, const std::string &reason = {}) const;

    WorkerSettings settings_;
    Store &store_;
    RunLog &log_;
    std::function<Work(const std::string &)> plan_;
    std::unique_ptr<Server> server_;
    std::mutex mutex_;
    std::condition_variable ended_;
    bool isAlive_ = true;
    bool isDraining_ = false;
    std::int64_t drainedAt_ = 0;
    std::atomic<bool> isCut_ { false };
    std::int64_t born_ = 0;
    std::int64_t bootedAt_ = 0;
    std::int64_t highestToken_ = 0;
    /** On its own clock. */
    std::int64_t leaseEnd_ = 0;
    bool hasLease_ = false;
    int lapses_ = 0;
    int seq_ = 0;
    std::int64_t nextEnd_ = 1;
    std::map<Key, Run> runs_;
    std::map<std::string, std::int64_t> overAttempts_;
    std::vector<End> ends_;
    std::atomic<std::int64_t> lastBeatAt_ { 0 };
    std::atomic<std::int64_t> lastRenewalAt_ { 0 };
};

/** The service that says which workers may run a step. */
class Advisor
{
public:
    Advisor(const std::string &ip, double decisionMs, double periodMs, std::int64_t validityMs);
    std::string address() const;
    bool isValid(const std::string &task, const std::string &ticket, const std::string &worker);
    std::atomic<int> calls { 0 };

private:
    Reply serve(const Request &request);
    double decisionMs_;
    double periodMs_;
    std::int64_t validityMs_;
    std::mutex mutex_;
    std::mutex turn_;
    /** By step and worker: the tickets with their ends. */
    std::map<std::pair<std::string, std::string>, std::map<std::string, std::int64_t>> tickets_;
    std::int64_t next_ = 1;
    std::unique_ptr<Server> server_;
};

struct Answer
{
    /** 0 without an answer. */
    int status = 0;
    std::string body;
};

/** One request on a new connection. */
Answer request(const std::string &address,
               const std::string &method,
               const std::string &target,
               const std::string &host,
               const std::string &body,
               std::int64_t timeoutMs);

/** An entry process, started as the deploy file says. */
class Entry
{
public:
    Entry(int number, std::string ip, const std::string &store, const std::string &advisor, const std::string &folder, const std::string &zone);
    ~Entry();
    void start();
    void kill();
    void signal(int number);
    bool isReady() const;
    std::string front() const
    {
        return ip_ + ":18149";
    }
    const std::string &name() const
    {
        return name_;
    }

private:
    std::string ip_;
    std::string name_;
    std::string settingsFile_;
    std::string logFile_;
    pid_t process_ = -1;
};

/** Lets the members of gangs work together: they begin when all are present, and end together. */
class GangClock
{
public:
    /** @param isMember tells whether a task is a member of the gang @param size the number of its members */
    GangClock(RunLog &log, std::vector<std::unique_ptr<Worker>> &workers, std::function<bool(const std::string &)> isMember, std::size_t size, std::int64_t durationMs);
    /** When the first gang has ended as done; 0 before. */
    std::atomic<std::int64_t> doneAt { 0 };
    /** When all members of the first gang were present; 0 before. */
    std::atomic<std::int64_t> begunAt { 0 };
};

/** The whole cell, and what the scripts share. */
class Cell
{
public:
    Cell(int entryCount, int workerCount, const std::function<void(WorkerSettings &, int)> &adjust, std::function<Work(const std::string &)> plan,
         Advisor *advisor = nullptr);
    Cell(const Cell &) = delete;
    /** Ends the entry processes and removes their files. The stand-ins go on until the program ends. */
    void close();
    /** Waits until all entry processes are ready, and 3 s more. */
    void awaitReady();
    /** Writes the next version of the desired state. */
    void writeDesiredState(const Json &routes);
    /** The entry process that last wrote to the store under a condition. */
    Entry &leader();
    /** Sends a request to one entry process after the other until it has a final answer. */
    Answer submit(const std::string &prefix, const std::string &job, const Json &body);
    Answer query(const std::string &prefix, const std::string &job);
    Worker *workerOf(const std::string &id);

    std::string folder;
    std::string ipPrefix;
    RunLog log;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Entry>> entries;
    std::int64_t version = 0;

private:
    std::size_t nextEntry_ = 0;
};

Json route(const std::string &name, const std::string &prefix, const std::optional<Json> &advisor = std::nullopt);
/** "127.x.y.", derived from the process id. */
std::string loopbackPrefix();
bool isTroubled();

} // namespace standins
