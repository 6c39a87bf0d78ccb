#pragma once

#include "configuration/ConfigurationAnnouncer.h"
#include "configuration/ConfigurationManager.h"
#include "core/ManualClock.h"
#include "fakes/FakeTableService.h"
#include "observability/Metrics.h"
#include "storage/ObjectStore.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace auburndoor {

/** A clock that advances to the deadline of a wait and ends the wait at once, so that backoff takes no real time. */
class AutoAdvancingClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    bool waitUntil(std::unique_lock<std::mutex> &lock,
                   std::condition_variable &condition,
                   TimePoint deadline,
                   const std::function<bool()> &predicate) override;

    /** Sets the wall time; now() is unchanged. */
    void setWallNow(WallTime time);

private:
    mutable std::mutex mutex_;
    Milliseconds elapsed_ { 0 };
    WallTime wallStart_ { std::chrono::hours(24 * 365 * 56) };
};

/** An object store in memory that can be made unavailable or corrupted. */
class MemoryObjectStore : public ObjectStore
{
public:
    bool put(const std::string &name, const std::string &bytes, TimePoint deadline, Failure &failure) override;
    std::optional<std::string> get(const std::string &name, TimePoint deadline, Failure &failure) override;

    /** Replaces the content of every object by the text of another valid file. */
    void corrupt();

    /** While set, every call fails. */
    std::atomic<bool> isDown = false;

private:
    std::mutex mutex_;
    std::map<std::string, std::string> objects_;
};

/** Forwards calls to a table, and injects the faults of section 1.5 of the design: lost and late writes, and failed reads. */
class FaultInjectingTable : public TableService
{
public:
    explicit FaultInjectingTable(FakeTableService &table);

    std::optional<TableRow> read(const std::string &key, TimePoint deadline, Failure &failure) override;
    std::optional<std::vector<TableRow>> readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure) override;
    CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) override;

    /** From now on, the given share of the reads and commits fails, chosen at random. */
    void injectFaults(unsigned seed, int percent);

    /** Stops the random faults, and applies the delayed commits to the table. */
    void stopFaults();

    /**
        Reports the next commit as Unknown, and applies it to the table after the given number of reads and commits (itself
        included), before the next one.
    */
    void delayNextCommit(int calls);

    /** Number of rows that readPrefix() has returned. */
    std::size_t rowsRead = 0;

    /** Called after each commit, before its answer is returned. */
    std::function<void()> afterCommit;

private:
    /** Decides at random whether the call fails. */
    bool drawFault();

    /** Applies the delayed commits to the table if their countdown has ended; otherwise counts this call. */
    void deliverDelayedCommits(bool ignoresCountdown);

    FakeTableService &table_;
    std::mutex mutex_;
    std::mt19937 random_;
    int faultPercent_ = 0;
    int callsUntilArrival_ = -1;
    std::vector<Transaction> delayedCommits_;
};

/** Passes messages between the managers of one process by direct calls. */
class LocalAnnouncer : public ConfigurationAnnouncer
{
public:
    std::vector<PeerVersion> announce(const ConfigurationAnnouncement &announcement, TimePoint deadline) override;
    std::vector<PeerVersion> peerVersions(TimePoint deadline) override;
    std::optional<ConfigurationAnnouncement> fetch(const InstanceId &peer, TimePoint deadline, Failure &failure) override;

    InstanceId self;
    std::map<InstanceId, ConfigurationManager *> peers;
    /** While set, no call reaches a peer. */
    std::atomic<bool> isDisconnected = false;
};

/** Configuration managers that share a table and an object store, and are each other's peers. */
class ManagerCluster
{
public:
    explicit ManagerCluster(int instances);

    ConfigurationManager &manager(int index);

    /** 10 s from now. */
    TimePoint deadline() const;

    /** Applies a file at one manager as operator "operator-INDEX". */
    ApplyResult apply(int index, const std::string &text, std::optional<long long> expected = {});

    /** Reads all logbook entries, oldest first. */
    std::vector<LogbookEntry> readAllEntries();

    AutoAdvancingClock clock;
    FakeTableService table;
    FaultInjectingTable faultInjectingTable;
    MemoryObjectStore objects;
    Metrics metrics;
    Failure failure;
    std::vector<std::unique_ptr<LocalAnnouncer>> announcers;

private:
    std::vector<std::unique_ptr<ConfigurationManager>> managers_;
};

/** Makes the text of a valid file that differs for each number. */
std::string makeFileText(int number);

/** Lists the versions up to the head's that do not have exactly one logbook entry, and reports entries with a higher version. */
std::vector<std::string> findVersionOrderViolations(const std::vector<LogbookEntry> &entries, long long headVersion);

} // namespace auburndoor
