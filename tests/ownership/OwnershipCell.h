#pragma once

#include "core/Failure.h"
#include "core/ManualClock.h"
#include "fakes/FakeTableService.h"
#include "observability/Metrics.h"
#include "ownership/OwnershipAgent.h"
#include "ownership/ShardListener.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace auburndoor {

/** Forwards calls to a table. A test can run code before a commit, refuse commits, or remove checks from transactions. */
class InterceptingTable : public TableService
{
public:
    explicit InterceptingTable(TableService &table) : table_(table)
    {
    }

    std::optional<TableRow> read(const std::string &key, TimePoint deadline, Failure &failure) override
    {
        return table_.read(key, deadline, failure);
    }

    std::optional<std::vector<TableRow>> readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure) override
    {
        if (beforeRead) {
            beforeRead();
        }
        return table_.readPrefix(prefix, deadline, failure);
    }

    CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) override
    {
        if (isReadOnly) {
            failure = { FailureStep::WriteTable, "table", FailureReason::ServiceDown, "the table refuses writes" };
            return { CommitStatus::NotWritten, {}, {} };
        }
        // The callback may itself commit through this table; it is not called again for such commits.
        if (beforeCommit && !std::exchange(isRunningBeforeCommit_, true)) {
            beforeCommit(transaction);
            isRunningBeforeCommit_ = false;
        }
        auto changed = transaction;
        std::erase_if(changed.checks, [&](const auto &check) { return shouldDropCheck && shouldDropCheck(check); });
        return table_.commit(changed, deadline, failure);
    }

    /** Called before each read of several rows. */
    std::function<void()> beforeRead;
    /** Called before each commit. */
    std::function<void(const Transaction &)> beforeCommit;
    /** Selects the checks to remove from each transaction. */
    std::function<bool(const RowCheck &)> shouldDropCheck;
    /** If true, commits fail and reads succeed. */
    bool isReadOnly = false;

private:
    TableService &table_;
    bool isRunningBeforeCommit_ = false;
};

/** One process of an instance, with its agent and the shards that the agent has reported as gained. */
struct CellProcess : ShardListener
{
    void shardGained(const ShardId &shard, Epoch epoch) override
    {
        owned[shard] = epoch;
        onShardGained(shard, epoch);
    }

    void shardLost(const ShardId &shard) override
    {
        owned.erase(shard);
    }

    void shardConfirmed(const ShardId &shard, Epoch epoch, TimePoint readTime) override
    {
        confirmed[shard] = { epoch, readTime };
    }

    OwnershipOptions options;
    Metrics metrics;
    std::unique_ptr<OwnershipAgent> agent;
    /** The shards reported as gained and not as lost, with their epochs. */
    std::map<ShardId, Epoch> owned;
    /** The epoch and the time of the last confirmation of each shard. */
    std::map<ShardId, std::pair<Epoch, TimePoint>> confirmed;
    std::function<void(const ShardId &, Epoch)> onShardGained;
    TimePoint nextStepTime;
    /** If true, the agent makes no steps. */
    bool isPaused = false;
};

/** Several processes with one table, driven by a manual clock. Records violations of the invariants of ownership. */
class OwnershipCell
{
public:
    OwnershipCell() : table(store)
    {
    }

    /**
        Starts a process, in domain "east" if number is even, else in "west".

        An earlier process with the same number is destroyed, as after a crash.
    */
    CellProcess &start(int number)
    {
        auto process = std::make_unique<CellProcess>();
        auto &options = process->options;
        options.id = InstanceId("instance-" + std::to_string(number));
        options.incarnation = ++lastIncarnation_;
        options.peerAddress = "127.0.0.1:" + std::to_string(9000 + number);
        options.failureDomain = FailureDomainId(number % 2 == 0 ? "east" : "west");
        options.region = RegionId("only");
        options.shardsPerDomain = shardsPerDomain;
        options.mode = mode;
        process->onShardGained = [this, owner = std::pair(options.id, options.incarnation)](const ShardId &shard, Epoch epoch) {
            const auto [recordedOwner, isNew] = ownersByEpoch_.try_emplace({ shard, epoch }, owner);
            if (!isNew && recordedOwner->second != owner) {
                violations.push_back("two owners of " + shard.text() + " in epoch " + std::to_string(epoch));
            }
        };
        process->agent = std::make_unique<OwnershipAgent>(options, table, *process, clock, process->metrics);
        process->agent->setDomains(domains);
        process->nextStepTime = clock.now();
        return *(processes[number] = std::move(process));
    }

    /** Advances the clock in steps of 100 ms; after each, the agents of all processes that are not paused make the steps due. */
    void run(Milliseconds duration)
    {
        constexpr Milliseconds step { 100 };
        for (Milliseconds passed { 0 }; passed < duration; passed += step) {
            clock.advance(step);
            for (const auto &[number, process] : processes) {
                stepProcess(*process);
            }
            checkEpochs();
        }
    }

    void stepProcess(CellProcess &process)
    {
        if (!process.isPaused && clock.now() >= process.nextStepTime) {
            process.nextStepTime = process.agent->step();
        }
    }

    ShardRow readShardRow(const ShardId &shard)
    {
        Failure failure;
        const auto row = store.read(ShardRow::key(shard), {}, failure);
        return row && row->version != 0 ? ShardRow::fromText(row->value).value() : ShardRow();
    }

    /** Returns whether exactly one process owns each shard, and its instance and epoch are those in the shard's row. */
    bool hasOneOwnerPerShard()
    {
        for (const auto &shard : ShardMap(shardsPerDomain, OwnershipMode::Sharded, domains).shards()) {
            int owners = 0;
            const auto row = readShardRow(shard);
            for (const auto &[number, process] : processes) {
                const auto owned = process->agent->ownedShard(shard);
                owners += owned ? 1 : 0;
                if (owned && (process->options.id != row.owner || owned->epoch != row.epoch)) {
                    return false;
                }
            }
            if (owners != 1) {
                return false;
            }
        }
        return true;
    }

    std::size_t countOwnedShards(int number)
    {
        return processes.at(number)->owned.size();
    }

    const ShardMap::Domains domains { { FailureDomainId("east"), RegionId("only") },
                                      { FailureDomainId("west"), RegionId("only") } };
    int shardsPerDomain = 4;
    OwnershipMode mode = OwnershipMode::Sharded;
    ManualClock clock;
    FakeTableService store;
    InterceptingTable table;
    std::map<int, std::unique_ptr<CellProcess>> processes;
    std::vector<std::string> violations;

private:
    void checkEpochs()
    {
        for (const auto &shard : ShardMap(shardsPerDomain, OwnershipMode::Sharded, domains).shards()) {
            Failure failure;
            if (!store.read(ShardRow::key(shard), {}, failure)) {
                return;
            }
            const auto epoch = readShardRow(shard).epoch;
            if (epoch < highestEpochs_[shard]) {
                violations.push_back("the epoch of " + shard.text() + " decreased");
            }
            highestEpochs_[shard] = epoch;
        }
    }

    long long lastIncarnation_ = 0;
    std::map<std::pair<ShardId, Epoch>, std::pair<InstanceId, long long>> ownersByEpoch_;
    std::map<ShardId, Epoch> highestEpochs_;
};

} // namespace auburndoor
