#pragma once

#include "configuration/ApplyResult.h"
#include "configuration/ConfigurationHolder.h"
#include "configuration/ConfigurationStore.h"
#include "core/Clock.h"
#include "core/Identifier.h"
#include "logbook/Logbook.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace auburndoor {

class ConfigurationAnnouncer;
class Metrics;
struct ConfigurationAnnouncement;

/** What a ConfigurationManager is told at its start. */
struct ConfigurationOptions
{
    /** This instance. */
    InstanceId self;
    /** Time between reads of the head row. */
    Milliseconds poll { 1000 };
    /** How long apply() waits for the peers' confirmations after the version has been accepted. */
    Milliseconds confirmation { 3000 };
    /** Limit of each round of reads on the polling thread and of each fetch of a body. */
    Milliseconds fetch { 2000 };
};

/**
    Accepts files of operators, keeps the version in force, and propagates it.

    A version reaches an instance by an announcement of a peer, by a heartbeat that names it, or by reading the head row. All public
    members may be called from any thread.
*/
class ConfigurationManager
{
public:
    ConfigurationManager(TableService &table,
                         ObjectStore &objects,
                         Clock &clock,
                         Metrics &metrics,
                         ConfigurationAnnouncer &announcer,
                         const ConfigurationOptions &options);

    /** Stops the polling thread. */
    ~ConfigurationManager();

    ConfigurationManager(const ConfigurationManager &) = delete;
    ConfigurationManager &operator=(const ConfigurationManager &) = delete;

    /** Starts the thread that reads the head row. */
    void start();

    /** Ends and joins that thread. */
    void stop();

    /**
        Makes a file the next version, whole or not at all.

        While the table or the object store is down, it waits within the deadline. After the version has been accepted, it waits for
        the peers' confirmations for ConfigurationOptions::confirmation at most, which may end after the deadline.

        @param expectedVersion the version that the operator has seen; without it, the one in force when the head is first read
        @param failure         filled for Refused and Unknown
    */
    ApplyResult apply(const std::string &text,
                      std::optional<long long> expectedVersion,
                      const std::string &operatorName,
                      TimePoint deadline,
                      Failure &failure);

    /** What a file would change in the version in force here. */
    PlanResult plan(const std::string &text) const;

    /** The configuration in force, version 0 with nothing declared before the first; never null. Cheap. */
    std::shared_ptr<const VersionedDeclaration> current() const;

    /** What a peer is told that asks for the configuration in force here. */
    ConfigurationAnnouncement announcement() const;

    /**
        Takes the version that a peer announces, if it is higher than the one in force.

        A text that comes with it is used if it has the digest; else the object store is asked, then the sender.

        @param sender may be empty if it is not known
        @return the version in force afterwards
    */
    long long offer(const ConfigurationAnnouncement &announcement, const InstanceId &sender = {});

    /** Tells of the version that a heartbeat names. Does not block: the polling thread looks at once if the version is higher. */
    void noticeVersion(long long version);

    /**
        Reads the head and takes its version if it is higher; with the table down, takes the highest version of the peers. The
        polling thread does it every ConfigurationOptions::poll.

        @return true if the version in force is that of the head, or of the peers, at the time of the call
    */
    bool refresh(TimePoint deadline);

    /** True once refresh() has returned true; then it stays true. */
    bool isReady() const;

    /** @see ConfigurationHolder::addListener */
    void addListener(ConfigurationHolder::Listener listener);

    /** The latest logbook entries, newest first. @return empty on failure */
    std::optional<std::vector<LogbookEntry>> logbook(std::size_t limit, TimePoint deadline, Failure &failure);

private:
    struct Attempt;

    void applyValid(Attempt &attempt, ApplyResult &result, Failure &failure);
    bool tryOnce(Attempt &attempt, ApplyResult &result, Failure &failure);
    void compare(Attempt &attempt, const ConfigurationHead &head) const;
    void fillConflict(const Attempt &attempt, const ConfigurationHead &present, ApplyResult &result);
    void accept(const Attempt &attempt, const ConfigurationHead &head, ApplyResult &result);
    void confirm(const ConfigurationHead &head, const std::string &text, ApplyResult &result);
    void takeHead(const ConfigurationHead &head, TimePoint deadline);
    bool takeFromPeers(long long wanted, TimePoint deadline);
    void run();

    Clock &clock_;
    Metrics &metrics_;
    ConfigurationAnnouncer &announcer_;
    const ConfigurationOptions options_;
    ConfigurationStore store_;
    Logbook logbook_;
    ConfigurationHolder holder_;
    std::atomic<bool> isReady_ = false;

    std::mutex mutex_;
    std::condition_variable condition_;
    bool isStopping_ = false;
    bool isLookDue_ = false;
    std::thread thread_;
};

} // namespace auburndoor
