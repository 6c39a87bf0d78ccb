#include "ownership/OwnershipDecision.h"
#include "ownership/OwnershipObservation.h"

#include <catch2/catch.hpp>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

const FailureDomainId domain("east");
const ShardMap shardMap(1, OwnershipMode::Sharded, { { domain, RegionId("home") } });
const ShardId shard("east/0");
const TimePoint startTime(1h);

TableRow makeInstanceRow(const std::string &id, long long version, long long incarnation = 1)
{
    const InstanceRow row { InstanceId(id), incarnation, "a", domain, RegionId("home"), version, false };
    return { InstanceRow::key(row.id), row.toText(), version };
}

TableRow makeShardRow(const std::string &owner, long long version, long long incarnation = 1)
{
    return { ShardRow::key(shard), ShardRow { InstanceId(owner), incarnation, 3 }.toText(), version };
}

/** Returns the decision of instance "self" after it has polled the given rows each second; its own row is renewed meanwhile. */
OwnershipActions decideAfter(Milliseconds duration,
                             const std::vector<TableRow> &others,
                             const TableRow &shardRow,
                             bool hasObservationGapAtEnd = false)
{
    OwnershipObservation observation { OwnershipTiming() };
    for (auto passed = 0ms; passed <= duration; passed += 1s) {
        auto rows = others;
        rows.push_back(makeInstanceRow("self", 100 + passed.count()));
        observation.observe({ shard }, { shardRow }, rows, startTime + passed, hasObservationGapAtEnd && passed == duration);
    }
    const OwnershipSnapshot snapshot { startTime + duration,    InstanceId("self"),  1, false,
                                       observation.instances(), observation.shards() };
    return OwnershipDecision(shardMap, OwnershipTiming()).decide(snapshot);
}

} // namespace

TEST_CASE("a shard is acquired only after its owner's row was seen unchanged for the lease time", "[ownership]")
{
    // Guards against a takeover based on a time written by another machine, or on a single read of the row.
    CHECK(decideAfter(5s, { makeInstanceRow("other", 7) }, makeShardRow("other", 8)).acquisitions.empty());
    const auto acquisitions = decideAfter(6s, { makeInstanceRow("other", 7) }, makeShardRow("other", 8)).acquisitions;
    REQUIRE(acquisitions.size() == 1);
    CHECK(acquisitions[0].shardRowVersion == 8);
    CHECK(acquisitions[0].newEpoch == 4);
    CHECK(acquisitions[0].checkedOwner == InstanceId("other"));
    CHECK(acquisitions[0].ownerRowVersion == 7);
}

TEST_CASE("a gap in the observation restarts the lease times", "[ownership]")
{
    // Guards against takeovers by an instance that could not see the renewals. The test above is the control without a gap.
    CHECK(decideAfter(6s, { makeInstanceRow("other", 7) }, makeShardRow("other", 8), true).acquisitions.empty());
}

TEST_CASE("an owner without a row, or replaced by a later process, loses its shard at once", "[ownership]")
{
    // Guards against waiting for the lease of an owner whose process is known to have ended.
    const auto absent = decideAfter(0s, {}, makeShardRow("other", 8)).acquisitions;
    REQUIRE(absent.size() == 1);
    CHECK(absent[0].checkedOwner == InstanceId("other"));
    CHECK(absent[0].ownerRowVersion == 0);
    // "self" is the later process with the same id. As the only candidate it is the preferred owner.
    const auto own = decideAfter(0s, {}, makeShardRow("self", 8, 0)).acquisitions;
    REQUIRE(own.size() == 1);
    CHECK(own[0].checkedOwner.isEmpty());
    CHECK(own[0].newEpoch == 4);
}

TEST_CASE("a shard that its preferred owner does not acquire is acquired by another instance", "[ownership]")
{
    // Guards against a shard that stays without an owner because its preferred owner only renews its lease.
    // The hash decides which of two ids is preferred; the other id is chosen so that "self" is not.
    const std::vector<OwnerCandidate> both { { InstanceId("self"), domain, RegionId("home") },
                                             { InstanceId("other"), domain, RegionId("home") } };
    const auto other = shardMap.preferredOwner(shard, both) == InstanceId("self") ? "zother" : "other";
    std::vector<std::size_t> acquisitions;
    for (const auto duration : { 3s, 13s, 14s }) {
        OwnershipObservation observation { OwnershipTiming() };
        for (auto passed = 0s; passed <= duration; passed += 1s) {
            const auto version = 100 + passed.count();
            observation.observe(
                { shard }, {}, { makeInstanceRow(other, version), makeInstanceRow("self", version) }, startTime + passed, false);
        }
        const OwnershipSnapshot snapshot { startTime + duration,    InstanceId("self"),  1, false,
                                           observation.instances(), observation.shards() };
        acquisitions.push_back(OwnershipDecision(shardMap, OwnershipTiming()).decide(snapshot).acquisitions.size());
    }
    CHECK(acquisitions == std::vector<std::size_t> { 0, 0, 1 });
}

TEST_CASE("an instance that is leaving neither acquires nor receives shards", "[ownership]")
{
    // Guards against shards that move to an instance that is about to release them.
    const OwnershipSnapshot snapshot { startTime, InstanceId("self"), 1, true, {}, { { shard, { {}, 0, startTime - 1h } } } };
    CHECK(OwnershipDecision(shardMap, OwnershipTiming()).decide(snapshot).acquisitions.empty());
    auto leaving = makeInstanceRow("other", 7);
    leaving.value = InstanceRow { InstanceId("other"), 1, "a", domain, RegionId("home"), 7, true }.toText();
    const auto actions = decideAfter(20s, { leaving }, makeShardRow("self", 8));
    CHECK(actions.handovers.empty());
}
