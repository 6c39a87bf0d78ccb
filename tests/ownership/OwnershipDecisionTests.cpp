#include "ownership/OwnershipDecision.h"
#include "ownership/OwnershipObservation.h"

#include <catch2/catch.hpp>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

const FailureDomainId domain("east");
const ShardMap shardMap(1, OwnershipMode::Sharded, { { domain, RegionId("home") } });
const ShardId shard("east/0");
const TimePoint start(1h);

TableRow instanceRow(const std::string &id, long long version, long long incarnation = 1)
{
    const InstanceRow row { InstanceId(id), incarnation, "a", domain, RegionId("home"), version, false };
    return { InstanceRow::key(row.id), row.toText(), version };
}

TableRow shardRow(const std::string &owner, long long version, long long incarnation = 1)
{
    return { ShardRow::key(shard), ShardRow { InstanceId(owner), incarnation, 3 }.toText(), version };
}

/** What "self" does after it has seen the given rows for a while, its own row being renewed. */
OwnershipActions decideAfter(Milliseconds duration,
                             const std::vector<TableRow> &others,
                             const TableRow &ownedRow,
                             bool hasGapAtEnd = false)
{
    OwnershipObservation observation { OwnershipTiming() };
    for (auto passed = 0ms; passed <= duration; passed += 1s) {
        auto rows = others;
        rows.push_back(instanceRow("self", 100 + passed.count()));
        observation.observe({ shard }, { ownedRow }, rows, start + passed, hasGapAtEnd && passed == duration);
    }
    const OwnershipSnapshot snapshot {
        start + duration, InstanceId("self"), 1, false, observation.instances(), observation.shards()
    };
    return OwnershipDecision(shardMap, OwnershipTiming()).decide(snapshot);
}

} // namespace

TEST_CASE("an owner's row must be seen unchanged for the whole lease time", "[ownership]")
{
    // Guards against a takeover that trusts a time written by another machine, or a row seen once.
    CHECK(decideAfter(5s, { instanceRow("other", 7) }, shardRow("other", 8)).takes.empty());
    const auto takes = decideAfter(6s, { instanceRow("other", 7) }, shardRow("other", 8)).takes;
    REQUIRE(takes.size() == 1);
    CHECK(takes[0].shardVersion == 8);
    CHECK(takes[0].newEpoch == 4);
    CHECK(takes[0].checkedOwner == InstanceId("other"));
    CHECK(takes[0].ownerVersion == 7);
}

TEST_CASE("a gap in the observation starts the lease times again", "[ownership]")
{
    // Guards against takeovers by an observer that could not have seen the renewals; the case above is the control without a gap.
    CHECK(decideAfter(6s, { instanceRow("other", 7) }, shardRow("other", 8), true).takes.empty());
}

TEST_CASE("an owner without a row, or replaced by a later process, loses its shard at once", "[ownership]")
{
    // Guards against shards that wait a lease time for an owner that is known to be gone.
    const auto absent = decideAfter(0s, {}, shardRow("other", 8)).takes;
    REQUIRE(absent.size() == 1);
    CHECK(absent[0].checkedOwner == InstanceId("other"));
    CHECK(absent[0].ownerVersion == 0);
    // Both "self" and the later process may be preferred; alone, "self" must be.
    const auto own = decideAfter(0s, {}, shardRow("self", 8, 0)).takes;
    REQUIRE(own.size() == 1);
    CHECK(own[0].checkedOwner.isEmpty());
    CHECK(own[0].newEpoch == 4);
}

TEST_CASE("a shard that its preferred owner leaves alone is taken by another", "[ownership]")
{
    // Guards against a shard without an owner because the preferred one renews its row but does nothing else.
    // Which of the two is preferred depends on the hash; the rule is seen from the one that is not.
    const std::vector<OwnerCandidate> both { { InstanceId("self"), domain, RegionId("home") },
                                             { InstanceId("other"), domain, RegionId("home") } };
    const auto other = shardMap.preferredOwner(shard, both) == InstanceId("self") ? "zother" : "other";
    std::vector<std::size_t> takes;
    for (const auto duration : { 3s, 13s, 14s }) {
        OwnershipObservation observation { OwnershipTiming() };
        for (auto passed = 0s; passed <= duration; passed += 1s) {
            const auto version = 100 + passed.count();
            observation.observe(
                { shard }, {}, { instanceRow(other, version), instanceRow("self", version) }, start + passed, false);
        }
        const OwnershipSnapshot snapshot { start + duration,        InstanceId("self"),  1, false,
                                           observation.instances(), observation.shards() };
        takes.push_back(OwnershipDecision(shardMap, OwnershipTiming()).decide(snapshot).takes.size());
    }
    CHECK(takes == std::vector<std::size_t> { 0, 0, 1 });
}

TEST_CASE("an instance that is leaving takes and receives nothing", "[ownership]")
{
    // Guards against shards that move to an instance which releases them again at once.
    const OwnershipSnapshot snapshot { start, InstanceId("self"), 1, true, {}, { { shard, { {}, 0, start - 1h } } } };
    CHECK(OwnershipDecision(shardMap, OwnershipTiming()).decide(snapshot).takes.empty());
    auto leaving = instanceRow("other", 7);
    leaving.value = InstanceRow { InstanceId("other"), 1, "a", domain, RegionId("home"), 7, true }.toText();
    const auto actions = decideAfter(20s, { leaving }, shardRow("self", 8));
    CHECK(actions.handovers.empty());
}
