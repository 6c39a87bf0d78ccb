#include "ownership/OwnershipRows.h"
#include "ownership/ShardMap.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <map>
#include <set>

using namespace auburndoor;

namespace {

const FailureDomainId east("east");
const FailureDomainId west("west");
const FailureDomainId far("far");
const RegionId home("home");
const RegionId abroad("abroad");
const ShardMap::Domains domains { { east, home }, { west, home }, { far, abroad } };

OwnerCandidate makeCandidate(int number, const FailureDomainId &domain)
{
    return { InstanceId("i" + std::to_string(number)), domain, domains.at(domain) };
}

} // namespace

TEST_CASE("the shard of a worker is the same in every release", "[ownership]")
{
    // Guards against a change of the hash: instances of two releases would assign the same worker to different shards.
    const ShardMap map(8, OwnershipMode::Sharded, domains);
    // The published values of XXH64 with seed 0 are d24ec4f1a98c6e5b for "a" and 44bc2cf5ad770999 for "abc".
    CHECK(map.shardOf(east, WorkerId("a")).text() == "east/3");
    CHECK(map.shardOf(east, WorkerId("abc")).text() == "east/1");
    CHECK(ShardMap::domainOf(ShardId("east/7")) == east);
    CHECK(map.shards().size() == 24);
    std::map<ShardId, int> sizes;
    for (int number = 0; number < 800; ++number) {
        ++sizes[map.shardOf(east, WorkerId("worker-" + std::to_string(number)))];
    }
    CHECK(sizes.size() == 8);
    for (const auto &[shard, size] : sizes) {
        CHECK(size > 60);
        CHECK(size < 140);
    }
}

TEST_CASE("owners are preferred by failure domain, then by region, then from all instances", "[ownership]")
{
    // Guards against owners that reach their workers over costly network links while a nearer instance is live.
    const ShardMap map(8, OwnershipMode::Sharded, domains);
    const ShardId shard("east/3");
    CHECK(map.preferredOwner(shard, { makeCandidate(1, east), makeCandidate(2, west), makeCandidate(3, far) }) == InstanceId("i1"));
    CHECK(map.preferredOwner(shard, { makeCandidate(2, west), makeCandidate(3, far) }) == InstanceId("i2"));
    CHECK(map.preferredOwner(shard, { makeCandidate(3, far) }) == InstanceId("i3"));
    CHECK(map.preferredOwner(shard, {}).isEmpty());
}

TEST_CASE("in single mode all shards prefer one instance", "[ownership]")
{
    // Guards against a baseline in which more than one instance places work.
    const ShardMap map(8, OwnershipMode::Single, domains);
    std::set<InstanceId> owners;
    for (const auto &shard : map.shards()) {
        owners.insert(map.preferredOwner(shard, { makeCandidate(1, east), makeCandidate(2, west), makeCandidate(3, far) }));
    }
    CHECK(owners.size() == 1);
}

TEST_CASE("the loss of an instance moves only its own shards", "[ownership]")
{
    // Guards against a hash modulo the number of instances, which moves nearly all shards with each restart.
    const bool hasPropertyHeld = rc::check("rendezvous", [] {
        const ShardMap map(8, OwnershipMode::Sharded, domains);
        std::vector<OwnerCandidate> candidates;
        const auto count = *rc::gen::inRange(2, 9);
        const std::vector<FailureDomainId> failureDomains { east, west, far };
        for (int number = 0; number < count; ++number) {
            candidates.push_back(makeCandidate(number, failureDomains[static_cast<std::size_t>(*rc::gen::inRange(0, 3))]));
        }
        auto remainingCandidates = candidates;
        const auto lostCandidate = remainingCandidates.begin() + *rc::gen::inRange(0, count);
        const auto lostId = lostCandidate->id;
        remainingCandidates.erase(lostCandidate);
        for (const auto &shard : map.shards()) {
            const auto before = map.preferredOwner(shard, candidates);
            RC_ASSERT(before == lostId || map.preferredOwner(shard, remainingCandidates) == before);
        }
    });
    CHECK(hasPropertyHeld);
}

TEST_CASE("rows are read back as written, and malformed rows are refused", "[ownership]")
{
    // Guards against a process that ends, or acquires shards, because of a row that it cannot parse.
    const InstanceRow instance { InstanceId("i"), 5, "10.0.0.1:7", east, home, 9, true };
    CHECK(InstanceRow::fromText(instance.id, instance.toText()) == instance);
    const ShardRow shard { InstanceId("i"), 5, 77 };
    CHECK(ShardRow::fromText(shard.toText()) == shard);
    for (const auto *text : { "", "{", "[]", "{}", R"({"owner":1,"incarnation":1,"epoch":1})", R"({"incarnation":"x"})" }) {
        CHECK_FALSE(ShardRow::fromText(text));
        CHECK_FALSE(InstanceRow::fromText(instance.id, text));
    }
}
