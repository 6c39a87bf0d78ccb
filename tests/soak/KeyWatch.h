#pragma once

#include "core/Clock.h"
#include "net/HttpChannels.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

class EntryProcess;
class EventLoop;
class PlatformServer;

/**
    Adds and removes keys of a client account in the desired state while faults are injected, and calls every process with them.

    A process without a fault has to refuse a removed key, and serve an added one, from configMs after the change; no process may
    serve a key again that it has refused as removed, serve one that no desired state ever held, or show a job of another account.
*/
class KeyWatch
{
public:
    /** The key of the account whose keys do not change. */
    static constexpr const char *steadyKey = "steady-key";

    /** Writes a first desired state. @param entries may be filled later, but before start() */
    KeyWatch(EventLoop &loop, PlatformServer &platform, const std::vector<std::unique_ptr<EntryProcess>> &entries, unsigned seed);

    /** Begins to change keys and to call the processes. */
    void start();
    /** Changes the keys for the last time. */
    void finish();
    /** True once every process was checked after the last change. */
    bool isDone() const;

    /** A job of the account with the steadyKey, which the calls query; empty until one is accepted. */
    std::string job;

    std::vector<std::string> violations;

private:
    struct Key
    {
        std::optional<TimePoint> addedAt;
        std::optional<TimePoint> removedAt;
    };

    /** What is known of one process. */
    struct Probe
    {
        std::unique_ptr<HttpChannels> channels;
        bool isWaiting = false;
        /** When it last had a fault, or the store had. */
        TimePoint faultyAt;
        /** EntryProcess::startCount() of the life that the sets below are about. */
        int life = 0;
        std::set<std::string> served;
        std::set<std::string> refusedAsRemoved;
        /** The keys whose answers were checked when they were due. */
        std::set<std::string> checked;
    };

    void changeKeys();
    void addKey();
    void removeKey();
    void writeDesiredState();
    void probeAll();
    void probe(std::size_t number);
    bool isFaulty(const EntryProcess &entry) const;
    void onAnswered(std::size_t number, const std::string &key, TimePoint sentAt, int life, const SendResult &result);
    /** Checks an answer against the earlier ones of the same life of the process. */
    void checkLife(std::size_t number, const std::string &key, int life, int status);
    /** Checks an answer against the change that has to be in force. */
    void checkChange(std::size_t number, const std::string &key, TimePoint sentAt, int status);
    void addViolation(std::size_t number, const std::string &key, const std::string &text);
    int draw(int from, int to);

    EventLoop &loop_;
    PlatformServer &platform_;
    const std::vector<std::unique_ptr<EntryProcess>> &entries_;
    std::mt19937 random_;
    std::map<std::string, Key> keys_;
    /** The keys in the desired state, the oldest one first. */
    std::vector<std::string> heldKeys_;
    std::string lastAdded_;
    std::string lastRemoved_;
    std::vector<Probe> probes_;
    int version_ = 0;
    bool isFinished_ = false;
};

} // namespace auburndoor
