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

/** Passes on to a table; a test can act before a commit, refuse commits, or take checks away from them. */
class InterposedTable : public TableService
{
public:
    explicit InterposedTable(TableService &table) : table_(table)
    {
    }

    std::optional<TableRow> read(const std::string &key, TimePoint deadline, Failure &failure) override
    {
        return table_.read(key, deadline, failure);
    }

    std::optional<std::vector<TableRow>> readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure) override
    {
        return table_.readPrefix(prefix, deadline, failure);
    }

    CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) override
    {
        if (isReadOnly) {
            failure = { FailureStep::WriteTable, "table", FailureReason::ServiceDown, "the table refuses writes" };
            return { CommitStatus::NotWritten, {}, {} };
        }
        // The action may itself commit through this table.
        if (beforeCommit && !std::exchange(isActing_, true)) {
            beforeCommit(transaction);
            isActing_ = false;
        }
        auto changed = transaction;
        std::erase_if(changed.checks, [&](const auto &check) { return isCheckDropped && isCheckDropped(check); });
        return table_.commit(changed, deadline, failure);
    }

    std::function<void(const Transaction &)> beforeCommit;
    std::function<bool(const RowCheck &)> isCheckDropped;
    bool isReadOnly = false;

private:
    TableService &table_;
    bool isActing_ = false;
};

/** One ownership process of a cell. */
struct CellNode : ShardListener
{
    void shardGained(const ShardId &shard, Epoch epoch) override
    {
        owned[shard] = epoch;
        onGain(shard, epoch);
    }

    void shardLost(const ShardId &shard) override
    {
        owned.erase(shard);
    }

    OwnershipOptions options;
    Metrics metrics;
    std::unique_ptr<OwnershipAgent> agent;
    std::map<ShardId, Epoch> owned;
    std::function<void(const ShardId &, Epoch)> onGain;
    TimePoint next;
    bool isPaused = false;
};

/** Several ownership processes over one table, driven step by step on a manual clock. Records what breaks an invariant. */
class OwnershipCell
{
public:
    OwnershipCell() : table(store)
    {
    }

    /** Starts a process; an earlier one with the same number is dropped as after a crash. Numbers alternate between two domains. */
    CellNode &start(int number)
    {
        auto node = std::make_unique<CellNode>();
        auto &options = node->options;
        options.id = InstanceId("instance-" + std::to_string(number));
        options.incarnation = ++lastIncarnation_;
        options.peerAddress = "127.0.0.1:" + std::to_string(9000 + number);
        options.failureDomain = FailureDomainId(number % 2 == 0 ? "east" : "west");
        options.region = RegionId("only");
        options.shardsPerDomain = shardsPerDomain;
        options.mode = mode;
        node->onGain = [this, owner = std::pair(options.id, options.incarnation)](const ShardId &shard, Epoch epoch) {
            const auto [known, isNew] = owners_.try_emplace({ shard, epoch }, owner);
            if (!isNew && known->second != owner) {
                violations.push_back("two owners of " + shard.text() + " in epoch " + std::to_string(epoch));
            }
        };
        node->agent = std::make_unique<OwnershipAgent>(options, table, *node, clock, node->metrics);
        node->agent->setDomains(domains);
        node->next = clock.now();
        return *(nodes[number] = std::move(node));
    }

    /** Lets time pass in small steps; each process that is not paused does what is due. */
    void run(Milliseconds duration)
    {
        constexpr Milliseconds step { 100 };
        for (Milliseconds passed { 0 }; passed < duration; passed += step) {
            clock.advance(step);
            for (const auto &[number, node] : nodes) {
                stepNode(*node);
            }
            checkEpochs();
        }
    }

    void stepNode(CellNode &node)
    {
        if (!node.isPaused && clock.now() >= node.next) {
            node.next = node.agent->step();
        }
    }

    ShardRow shardRow(const ShardId &shard)
    {
        Failure failure;
        const auto row = store.read(ShardRow::key(shard), {}, failure);
        return row && row->version != 0 ? ShardRow::fromText(row->value).value() : ShardRow();
    }

    /** True if each shard is owned by exactly the process that its row names, with the same epoch. */
    bool isWhole()
    {
        for (const auto &shard : ShardMap(shardsPerDomain, OwnershipMode::Sharded, domains).shards()) {
            int owners = 0;
            const auto row = shardRow(shard);
            for (const auto &[number, node] : nodes) {
                const auto owned = node->agent->ownedShard(shard);
                owners += owned ? 1 : 0;
                if (owned && (node->options.id != row.owner || owned->epoch != row.epoch)) {
                    return false;
                }
            }
            if (owners != 1) {
                return false;
            }
        }
        return true;
    }

    std::size_t ownedCount(int number)
    {
        return nodes.at(number)->owned.size();
    }

    const ShardMap::Domains domains { { FailureDomainId("east"), RegionId("only") },
                                      { FailureDomainId("west"), RegionId("only") } };
    int shardsPerDomain = 4;
    OwnershipMode mode = OwnershipMode::Sharded;
    ManualClock clock;
    FakeTableService store;
    InterposedTable table;
    std::map<int, std::unique_ptr<CellNode>> nodes;
    std::vector<std::string> violations;

private:
    void checkEpochs()
    {
        for (const auto &shard : ShardMap(shardsPerDomain, OwnershipMode::Sharded, domains).shards()) {
            Failure failure;
            if (!store.read(ShardRow::key(shard), {}, failure)) {
                return;
            }
            const auto epoch = shardRow(shard).epoch;
            if (epoch < epochs_[shard]) {
                violations.push_back("the epoch of " + shard.text() + " fell");
            }
            epochs_[shard] = epoch;
        }
    }

    long long lastIncarnation_ = 0;
    std::map<std::pair<ShardId, Epoch>, std::pair<InstanceId, long long>> owners_;
    std::map<ShardId, Epoch> epochs_;
};

} // namespace auburndoor
