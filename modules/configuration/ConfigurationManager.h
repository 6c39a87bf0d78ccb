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

/** Settings of a ConfigurationManager. */
struct ConfigurationOptions
{
    /** The id of this instance. */
    InstanceId self;
    /** Longest wait of the polling thread between two refreshes; up to a tenth is taken off at random. */
    Milliseconds poll { 1000 };
    /** Longest time that apply() waits for the peers' confirmations after the version has been accepted. */
    Milliseconds confirmationTimeout { 3000 };
    /** Longest time of a refresh on the polling thread, of reading a text from the object store, and of an announcement's reads. */
    Milliseconds fetchTimeout { 2000 };
};

/**
    Applies operators' files as new versions, keeps the version in force, and propagates it between instances.

    An instance learns of a version from a peer's announcement, from a heartbeat that names it, or by reading the head row.
    Any thread may call the public members.
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

    /** Starts the polling thread, which reads the head row. */
    void start();

    /** Stops and joins the polling thread. */
    void stop();

    /**
        Makes a file the next version, or changes nothing in the version in force.

        While the table or the object store is down, it retries until the deadline. After the version has been accepted, it
        waits for the peers' confirmations for up to ConfigurationOptions::confirmationTimeout, which may end after the deadline.

        @param expectedVersion the version that the operator has seen; if empty, the version of the head when it is first read
        @param failure         filled for Refused and Unknown
    */
    ApplyResult apply(const std::string &text,
                      std::optional<long long> expectedVersion,
                      const std::string &operatorName,
                      TimePoint deadline,
                      Failure &failure);

    /** Compares a file with the version in force at this instance; writes nothing. */
    PlanResult plan(const std::string &text) const;

    /** The configuration in force; never null, and version 0 before the first. Locks a mutex only to copy a pointer. */
    std::shared_ptr<const VersionedDeclaration> current() const;

    /** The configuration in force at this instance, with its text, as sent to a peer that asks for it. */
    ConfigurationAnnouncement announcement() const;

    /**
        Puts the version that a peer announces in force if it is higher than the one in force.

        Uses the text of the announcement if it has the digest; else reads it from the object store, else from the sender, within
        ConfigurationOptions::fetchTimeout.

        @param sender the peer that announces; empty if not known
        @return the version in force afterwards
    */
    long long offer(const ConfigurationAnnouncement &announcement, const InstanceId &sender = {});

    /** Wakes the polling thread if the version, named by a heartbeat, is higher than the one in force. Does not block. */
    void noticeVersion(long long version);

    /**
        Reads the head and puts its version in force if it is higher; if the head cannot be read, does so with the
        highest version of the peers. The polling thread calls it once per ConfigurationOptions::poll.

        @return true if the version in force is at least that of the head; if the head could not be read, at least 1 and at least
                that of each peer
    */
    bool refresh(TimePoint deadline);

    /** True after refresh() has returned true once or apply() has accepted a file; then it stays true. */
    bool isReady() const;

    /** @see ConfigurationHolder::addListener */
    void addListener(ConfigurationHolder::Listener listener);

    /** Reads the latest logbook entries, newest first. @return empty on failure */
    std::optional<std::vector<LogbookEntry>> logbook(std::size_t limit, TimePoint deadline, Failure &failure);

private:
    struct PendingApply;

    void storeAndCommit(PendingApply &pending, ApplyResult &result, Failure &failure);
    bool tryCommit(PendingApply &pending, ApplyResult &result, Failure &failure);
    void compareWithHead(PendingApply &pending, const ConfigurationHead &head) const;
    void setConflict(const PendingApply &pending, const ConfigurationHead &currentHead, ApplyResult &result);
    void completeAccepted(const PendingApply &pending, const ConfigurationHead &head, ApplyResult &result);
    void awaitConfirmations(const ConfigurationHead &head, const std::string &text, ApplyResult &result);
    void installHead(const ConfigurationHead &head, TimePoint deadline);
    bool installFromPeers(long long minimumVersion, TimePoint deadline);
    void pollUntilStopped();

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
    bool isRefreshDue_ = false;
    std::thread pollingThread_;
};

} // namespace auburndoor
