#include "ownership/OwnershipCell.h"
#include "ownership/OwnershipManager.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <thread>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

bool isInstanceRow(const RowCheck &check)
{
    return check.key.starts_with(instanceRowPrefix);
}

/** Pauses instance 0 until its lease has expired; it resumes and renews just before the first takeover commit of instance 1. */
void runRenewalDuringTakeover(OwnershipCell &cell)
{
    auto &owner = cell.start(0);
    auto &observer = cell.start(1);
    cell.run(20s);
    REQUIRE(cell.hasOneOwnerPerShard());
    owner.isPaused = true;
    // The callback runs before the observer's first acquisition, which was decided from rows read before the owner resumed.
    cell.table.beforeCommit = [&](const Transaction &transaction) {
        if (owner.isPaused && transaction.writes.front().key.starts_with(shardRowPrefix)) {
            owner.isPaused = false;
            cell.stepProcess(owner);
        }
    };
    cell.run(10s);
    CHECK_FALSE(owner.isPaused);
    CHECK(observer.agent->isRegistered());
}

} // namespace

TEST_CASE("instances that start together share the shards by failure domain", "[ownership]")
{
    // Guards against the first instance acquiring all shards, most of which would have to move later.
    OwnershipCell cell;
    for (int number = 0; number < 4; ++number) {
        cell.start(number);
    }
    cell.run(5s);
    CHECK(cell.hasOneOwnerPerShard());
    for (const auto &[number, process] : cell.processes) {
        for (const auto &[shard, epoch] : process->owned) {
            CHECK(ShardMap::domainOf(shard) == process->options.failureDomain);
            CHECK(epoch == 1);
        }
    }
}

TEST_CASE("a dead owner's shards are acquired after its lease has expired", "[ownership]")
{
    // Guards against a takeover that is late (requests go unserved) or early (the owner has only missed one renewal).
    std::vector<Milliseconds> takeoverTimes;
    for (auto phase = 0ms; phase < 2000ms; phase += 100ms) {
        OwnershipCell cell;
        cell.start(0);
        // The two instances poll at different times.
        cell.run(phase * 7 / 10);
        cell.start(1);
        cell.run(30s + phase);
        REQUIRE(cell.countOwnedShards(0) == 4);
        cell.processes.at(0)->isPaused = true;
        auto takeoverTime = 0ms;
        while (cell.countOwnedShards(1) < 8 && takeoverTime < 20s) {
            cell.run(100ms);
            takeoverTime += 100ms;
        }
        takeoverTimes.push_back(takeoverTime);
    }
    const auto [shortest, longest] = std::minmax_element(takeoverTimes.begin(), takeoverTimes.end());
    std::cout << "takeover of 4 shards after the owner's last step: " << shortest->count() << " to " << longest->count()
              << " ms of manual time\n";
    // The lease counts from the poll that saw the last renewal, up to one renewal period before the owner's last step.
    CHECK(*shortest >= 4s);
    CHECK(*longest <= 7100ms);
}

TEST_CASE("a takeover fails if the owner has renewed its lease", "[ownership]")
{
    OwnershipCell cell;
    runRenewalDuringTakeover(cell);
    CHECK(cell.countOwnedShards(0) == 4);
    CHECK(cell.processes.at(1)->metrics.counter("ownership_conflicts_total") > 0);
    CHECK(cell.processes.at(1)->metrics.counter("shards_taken_total", "owner-expired") == 0);
}

TEST_CASE("negative control: without the check of the owner's row a live owner loses a shard", "[ownership]")
{
    // Shows that the test above fails if the transaction does not check the version of the owner's instance row.
    OwnershipCell cell;
    cell.table.shouldDropCheck = isInstanceRow;
    runRenewalDuringTakeover(cell);
    CHECK(cell.processes.at(1)->metrics.counter("shards_taken_total", "owner-expired") > 0);
}

TEST_CASE("an outage of the table moves no shard", "[ownership]")
{
    // Guards against instances that consider each other dead after the outage, during which no instance could renew its lease.
    const bool isReadable = GENERATE(false, true);
    OwnershipCell cell;
    for (int number = 0; number < 4; ++number) {
        cell.start(number);
    }
    cell.run(20s);
    cell.store.setDown(!isReadable);
    cell.table.isReadOnly = true;
    cell.run(60s);
    for (const auto &[number, process] : cell.processes) {
        CHECK_FALSE(process->owned.empty());
    }
    cell.store.setDown(false);
    cell.table.isReadOnly = false;
    cell.run(20s);
    CHECK(cell.hasOneOwnerPerShard());
    for (const auto &[number, process] : cell.processes) {
        CHECK(process->metrics.counter("shards_taken_total", "owner-expired") == 0);
        CHECK(process->metrics.counter("shards_lost_total") == 0);
    }
}

TEST_CASE("a paused owner that resumes after a takeover gives up its shards", "[ownership]")
{
    // Guards against two instances that both place work on the same workers.
    OwnershipCell cell;
    cell.start(0);
    cell.start(1);
    cell.run(20s);
    cell.processes.at(0)->isPaused = true;
    cell.run(10s);
    REQUIRE(cell.countOwnedShards(1) == 8);
    cell.processes.at(0)->isPaused = false;
    cell.run(2s);
    CHECK(cell.countOwnedShards(0) == 0);
    CHECK(cell.hasOneOwnerPerShard());
}

TEST_CASE("a shard is confirmed by each read that shows it as owned, as of the beginning of the read", "[ownership]")
{
    // Guards against an owner that concludes the end of leases from a time at which a successor may have extended them.
    OwnershipCell cell;
    auto &owner = cell.start(0);
    cell.start(1);
    cell.run(20s);
    REQUIRE(cell.countOwnedShards(0) == 4);
    const auto shard = owner.owned.begin()->first;
    const auto lastTime = [&] { return owner.confirmed.at(shard).second; };
    CHECK(owner.confirmed.at(shard).first == owner.owned.at(shard));
    CHECK(cell.clock.now() - lastTime() <= 1100ms);
    cell.store.setDown(true);
    const auto outage = cell.clock.now();
    cell.run(10s);
    CHECK(lastTime() <= outage);
    cell.store.setDown(false);
    cell.run(10s);
    CHECK(cell.clock.now() - lastTime() <= 1100ms);
    owner.isPaused = true;
    cell.run(10s);
    REQUIRE(cell.countOwnedShards(1) == 8);
    const auto takeover = lastTime();
    owner.isPaused = false;
    cell.run(2s);
    CHECK(lastTime() == takeover);
}

TEST_CASE("a read that takes long confirms a shard only until the time at which it began", "[ownership]")
{
    // Guards against a process that is suspended while it reads the rows and is deposed meanwhile.
    OwnershipCell cell;
    auto &owner = cell.start(0);
    cell.run(20s);
    REQUIRE(cell.countOwnedShards(0) == 8);
    const auto begin = cell.clock.now() + 2s;
    cell.clock.advance(2s);
    cell.table.beforeRead = [&] { cell.clock.advance(60s); };
    owner.agent->step();
    CHECK(owner.confirmed.begin()->second.second == begin);
}

TEST_CASE("shards return to a preferred owner only once it has been stable", "[ownership]")
{
    // Guards against moving shards to an instance that keeps restarting.
    OwnershipCell cell;
    cell.start(1);
    cell.run(10s);
    REQUIRE(cell.countOwnedShards(1) == 8);
    for (int restart = 0; restart < 3; ++restart) {
        cell.start(0);
        cell.run(10s);
        CHECK(cell.processes.at(1)->metrics.counter("shards_handed_over_total") == 0);
    }
    cell.run(4s);
    CHECK(cell.processes.at(1)->metrics.counter("shards_handed_over_total") > 0);
    // Only a few shards move at a time, so that most of the domain's workers always have an owner that serves them.
    CHECK(cell.processes.at(1)->metrics.counter("shards_handed_over_total") < 8);
    cell.run(10s);
    CHECK(cell.countOwnedShards(0) == 4);
    CHECK(cell.hasOneOwnerPerShard());
}

TEST_CASE("a restarted process acquires its shards again with higher epochs", "[ownership]")
{
    // Guards against a process that keeps the epochs of its predecessor, whose requests to workers may still be in flight.
    OwnershipCell cell;
    auto &first = cell.start(0);
    cell.run(10s);
    const auto before = first.owned;
    REQUIRE(before.size() == 8);
    cell.start(0);
    cell.run(5s);
    CHECK(cell.hasOneOwnerPerShard());
    for (const auto &[shard, epoch] : cell.processes.at(0)->owned) {
        CHECK(epoch > before.at(shard));
    }
}

TEST_CASE("an earlier process is superseded when a later one with the same id registers", "[ownership]")
{
    // Guards against two processes that renew the same row in turn: a machine was replaced while the old one was only paused.
    OwnershipCell cell;
    cell.start(0);
    cell.run(10s);
    auto earlier = std::move(cell.processes.at(0));
    cell.start(0);
    cell.run(5s);
    earlier->agent->step();
    CHECK(earlier->agent->isSuperseded());
    CHECK_FALSE(earlier->agent->isRegistered());
    CHECK(earlier->owned.empty());
    CHECK(cell.processes.at(0)->agent->isRegistered());
}

TEST_CASE("a process acquires no shard once a later one with its id has registered", "[ownership]")
{
    // Guards against an acquisition by the earlier process after the later one has registered and before its own next renewal.
    OwnershipCell cell;
    auto &earlier = cell.start(0);
    std::unique_ptr<CellProcess> replacedProcess;
    cell.table.beforeCommit = [&](const Transaction &transaction) {
        if (!replacedProcess && transaction.writes.front().key.starts_with(shardRowPrefix)) {
            replacedProcess = std::move(cell.processes.at(0));
            auto &later = cell.start(0);
            later.isPaused = true;
            later.agent->step();
        }
    };
    while (!replacedProcess && earlier.agent->ownedShards().empty()) {
        cell.clock.advance(100ms);
        cell.stepProcess(earlier);
    }
    CHECK(earlier.metrics.counter("shards_taken_total", "unowned") == 0);
    CHECK(earlier.owned.empty());
}

TEST_CASE("a graceful stop names a successor for each shard and deletes the instance row", "[ownership]")
{
    // Guards against shards that have no owner for a whole lease time after each planned restart.
    OwnershipCell cell;
    cell.start(0);
    cell.start(1);
    cell.run(20s);
    cell.processes.at(0)->agent->beginLeaving();
    CHECK(cell.processes.at(0)->agent->release(cell.clock.now() + 5s));
    cell.processes.at(0)->isPaused = true;
    Failure failure;
    CHECK(cell.store.read("instance/instance-0", {}, failure)->version == 0);
    cell.run(1100ms);
    CHECK(cell.hasOneOwnerPerShard());
    CHECK(cell.countOwnedShards(1) == 8);
}

TEST_CASE("a lost answer to a commit is resolved by reading the row back", "[ownership]")
{
    // Guards against an instance that does not know that it owns a shard, and against a second acquisition of that shard.
    OwnershipCell cell;
    cell.store.loseAnswers(100);
    cell.start(0);
    cell.run(4s);
    CHECK(cell.countOwnedShards(0) == 8);
    CHECK(cell.hasOneOwnerPerShard());
    CHECK(cell.readShardRow(ShardId("east/0")).epoch == 1);
}

TEST_CASE("an idle cell writes only lease renewals", "[ownership]")
{
    // Guards against ownership using up the cell's write budget of 300 writes a second.
    OwnershipCell cell;
    cell.shardsPerDomain = 8;
    for (int number = 0; number < 8; ++number) {
        cell.start(number);
    }
    cell.run(30s);
    const auto before = cell.store.commitCount();
    cell.run(60s);
    const auto writes = cell.store.commitCount() - before;
    std::cout << "8 idle instances: " << writes / 60.0 << " writes a second\n";
    CHECK(writes <= 8 * 30);
    CHECK(writes >= 8 * 28);
}

TEST_CASE("each poll reports the other instances to the instances listener", "[ownership]")
{
    // Guards against instances that never learn each other's addresses: membership gets them from this listener.
    OwnershipCell cell;
    std::vector<Member> reportedMembers;
    cell.start(0).agent->setInstancesListener([&](const std::vector<Member> &members) { reportedMembers = members; });
    auto &other = cell.start(1);
    cell.run(3s);
    REQUIRE(reportedMembers.size() == 1);
    CHECK(reportedMembers[0].id == other.options.id);
    CHECK(reportedMembers[0].incarnation == other.options.incarnation);
    CHECK(reportedMembers[0].peerAddress == other.options.peerAddress);
    CHECK(reportedMembers[0].failureDomain == other.options.failureDomain);
    CHECK(reportedMembers[0].region == other.options.region);
    CHECK_FALSE(reportedMembers[0].isLeaving);
    other.agent->beginLeaving();
    cell.run(3s);
    CHECK(reportedMembers[0].isLeaving);
}

TEST_CASE("the death of an instance affects only the shards that it owns", "[ownership]")
{
    // Guards against one instance owning most shards, as it does by design in single mode, the baseline.
    std::map<OwnershipMode, std::size_t> mostOwned;
    for (const auto mode : { OwnershipMode::Sharded, OwnershipMode::Single }) {
        OwnershipCell cell;
        cell.shardsPerDomain = 8;
        cell.mode = mode;
        for (int number = 0; number < 8; ++number) {
            cell.start(number);
        }
        cell.run(30s);
        CHECK(cell.hasOneOwnerPerShard());
        for (const auto &[number, process] : cell.processes) {
            mostOwned[mode] = std::max(mostOwned[mode], process->owned.size());
        }
    }
    std::cout << "8 instances, 16 shards: the death of one affects at most " << mostOwned[OwnershipMode::Sharded]
              << " shards, with a single placer " << mostOwned[OwnershipMode::Single] << '\n';
    CHECK(mostOwned[OwnershipMode::Sharded] <= 6);
    CHECK(mostOwned[OwnershipMode::Single] == 16);
}

TEST_CASE("the row of an instance is deleted when it has been dead for ten minutes", "[ownership]")
{
    // Guards against rows that accumulate when several hundred instances a day are replaced.
    OwnershipCell cell;
    cell.start(0);
    cell.start(1);
    cell.run(10s);
    cell.processes.at(0)->isPaused = true;
    cell.run(595s);
    Failure failure;
    CHECK(cell.store.read("instance/instance-0", {}, failure)->version != 0);
    cell.run(15s);
    CHECK(cell.store.read("instance/instance-0", {}, failure)->version == 0);
}

TEST_CASE("the manager runs the agent on its own thread and releases the shards when it stops", "[ownership]")
{
    // Guards against a stop that waits for the next poll or leaves the shards owned until the lease expires.
    OwnershipCell cell;
    CellProcess process;
    process.onShardGained = [](const ShardId &, Epoch) {};
    process.options.id = InstanceId("instance-0");
    process.options.incarnation = 1;
    process.options.failureDomain = FailureDomainId("east");
    OwnershipManager manager(process.options, cell.table, process, cell.clock, process.metrics);
    manager.setDomains(cell.domains);
    manager.start();
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (manager.ownedShards().size() < 16 && std::chrono::steady_clock::now() < deadline) {
        if (cell.clock.waiterCount() > 0) {
            cell.clock.advance(100ms);
        }
        std::this_thread::yield();
    }
    CHECK(manager.ownedShards().size() == 16);
    CHECK(manager.isRegistered());
    CHECK(manager.stop(1s));
    CHECK(manager.ownedShards().empty());
    Failure failure;
    CHECK(cell.store.readPrefix("instance/", {}, failure)->empty());
    CHECK(cell.readShardRow(ShardId("east/0")).owner.isEmpty());
}
