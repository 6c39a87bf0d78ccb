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

/** A clock whose waits end at once with the time moved to their deadline, so that backoff costs no real time. */
class SkippingClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    bool waitUntil(std::unique_lock<std::mutex> &lock,
                   std::condition_variable &condition,
                   TimePoint deadline,
                   const std::function<bool()> &predicate) override;

    void setWallNow(WallTime time);

private:
    mutable std::mutex mutex_;
    Milliseconds elapsed_ { 0 };
    WallTime wallStart_ { std::chrono::hours(24 * 365 * 56) };
};

/** An object store in memory with outages. */
class MemoryObjectStore : public ObjectStore
{
public:
    bool put(const std::string &name, const std::string &bytes, TimePoint deadline, Failure &failure) override;
    std::optional<std::string> get(const std::string &name, TimePoint deadline, Failure &failure) override;

    /** Replaces the bytes of every object, as a fault of the store would. */
    void corrupt();

    std::atomic<bool> isDown = false;

private:
    std::mutex mutex_;
    std::map<std::string, std::string> objects_;
};

/** Passes calls on to a table, and injects the faults of section 1.5 of the design: lost and late writes, and failed reads. */
class FaultyTable : public TableService
{
public:
    explicit FaultyTable(FakeTableService &table);

    std::optional<TableRow> read(const std::string &key, TimePoint deadline, Failure &failure) override;
    std::optional<std::vector<TableRow>> readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure) override;
    CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) override;

    /** Injects random faults into a share of the calls. */
    void injectFaults(unsigned seed, int percent);

    /** Ends the faults; late writes that are still on their way arrive. */
    void heal();

    /** The next commit is reported as unknown and arrives only before the call after the given number of calls. */
    void delayNextCommit(int calls);

    /** Rows that readPrefix() has returned. */
    std::size_t rowsRead = 0;

    /** Called after each commit, before its answer is returned. */
    std::function<void()> afterCommit;

private:
    bool isFaulty();
    void deliverLate(bool isAll);

    FakeTableService &table_;
    std::mutex mutex_;
    std::mt19937 random_;
    int percent_ = 0;
    int callsUntilArrival_ = -1;
    std::vector<Transaction> late_;
};

/** Connects the managers of one process as peers. */
class LocalAnnouncer : public ConfigurationAnnouncer
{
public:
    std::vector<PeerVersion> announce(const ConfigurationAnnouncement &announcement, TimePoint deadline) override;
    std::vector<PeerVersion> peerVersions(TimePoint deadline) override;
    std::optional<ConfigurationAnnouncement> fetch(const InstanceId &peer, TimePoint deadline, Failure &failure) override;

    InstanceId self;
    std::map<InstanceId, ConfigurationManager *> peers;
    /** No message arrives while set. */
    std::atomic<bool> isCut = false;
};

/** Some managers over one table. */
class Cell
{
public:
    explicit Cell(int instances);

    ConfigurationManager &manager(int index);
    TimePoint deadline() const;

    /** Applies without an expected version. */
    ApplyResult apply(int index, const std::string &text, std::optional<long long> expected = {});

    /** All logbook rows, oldest first. */
    std::vector<LogbookEntry> allEntries();

    SkippingClock clock;
    FakeTableService table;
    FaultyTable faultyTable;
    MemoryObjectStore objects;
    Metrics metrics;
    Failure failure;
    std::vector<std::unique_ptr<LocalAnnouncer>> announcers;

private:
    std::vector<std::unique_ptr<ConfigurationManager>> managers_;
};

/** A valid file that differs for each number. */
std::string fileOf(int number);

/** What breaks the single order of versions: versions that are missing, or accepted twice. Empty if all is well. */
std::vector<std::string> violations(const std::vector<LogbookEntry> &entries, long long headVersion);

} // namespace auburndoor
