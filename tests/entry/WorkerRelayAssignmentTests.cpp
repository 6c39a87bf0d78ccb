#include "entry/WorkerRelayAssignment.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace auburndoor;

namespace {

std::vector<WorkerRelayAssignment::Relay> makeRelays(int large, int small)
{
    std::vector<WorkerRelayAssignment::Relay> relays;
    for (int number = 0; number < large + small; ++number) {
        WorkerRelayAssignment::Relay relay;
        relay.address = { "10.0.0." + std::to_string(number), 7000 };
        relay.failureDomain = number % 2 == 0 ? "a" : "b";
        relay.processorShare = number < large ? 0.5 : 0.12;
        relays.push_back(relay);
    }
    return relays;
}

std::vector<WorkerRelayAssignment::Worker> makeWorkers(int count)
{
    std::vector<WorkerRelayAssignment::Worker> workers;
    for (int number = 0; number < count; ++number) {
        workers.push_back({ "w" + std::to_string(number), number % 2 == 0 ? "a" : "b" });
    }
    return workers;
}

} // namespace

// Guards against workers that all change their relay, and so their connections, whenever a member comes or goes.
TEST_CASE("few workers change their relay when relays come and go")
{
    auto relays = makeRelays(8, 20);
    const auto workers = makeWorkers(600);
    const auto before = WorkerRelayAssignment::assign(relays, workers);
    for (const auto &position : before) {
        REQUIRE(position);
        relays[*position].isInUse = true;
    }
    // Of the same share as the largest, but not in use yet.
    relays.push_back({ { "10.0.1.1", 7000 }, "a", 0.5, false });
    CHECK(WorkerRelayAssignment::assign(relays, workers) == before);
    relays.pop_back();
    const auto lost = *before.front();
    auto fewer = relays;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(lost));
    const auto after = WorkerRelayAssignment::assign(fewer, workers);
    std::size_t moved = 0;
    std::size_t orphaned = 0;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        REQUIRE(after[index]);
        orphaned += *before[index] == lost ? 1 : 0;
        moved += fewer[*after[index]].address != relays[*before[index]].address ? 1 : 0;
    }
    CHECK(moved <= orphaned + workers.size() / 10);
}

// Guards against a small process that gets the work of a large one, and against traffic between failure domains.
TEST_CASE("no relay gets more workers than its share of a processor carries, and those of its failure domain first")
{
    const auto relays = makeRelays(3, 20);
    const auto workers = makeWorkers(700);
    const auto assigned = WorkerRelayAssignment::assign(relays, workers);
    std::vector<std::size_t> counts(relays.size());
    for (std::size_t index = 0; index < workers.size(); ++index) {
        REQUIRE(assigned[index]);
        ++counts[*assigned[index]];
        CHECK(relays[*assigned[index]].failureDomain == workers[index].failureDomain);
    }
    for (std::size_t position = 0; position < relays.size(); ++position) {
        CHECK(counts[position] <= WorkerRelayAssignment::capacity(relays[position].processorShare));
    }
    const auto tooMany = makeWorkers(5000);
    const auto rest = WorkerRelayAssignment::assign(relays, tooMany);
    CHECK(std::count(rest.begin(), rest.end(), std::nullopt) > 0);
}

// Guards against an owner whose commands fill its link: a burst of starts then delays its heartbeats and polls, and all followers
// lose it.
TEST_CASE("an owner on a slow link sends the commands to fewer workers itself")
{
    CHECK(WorkerRelayAssignment::directCapacity(2.0) < 120);
    CHECK(WorkerRelayAssignment::directCapacity(20.0) > 200);
    CHECK(WorkerRelayAssignment::directCapacity(0.0) == 0);
}
