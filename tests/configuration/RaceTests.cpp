#include "configuration/ManagerCluster.h"
#include "core/Failure.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <barrier>
#include <thread>

using namespace auburndoor;

namespace {

constexpr int managerCount = 4;
constexpr int appliesPerManager = 6;

/** Applies files from one thread for each manager, with outages of the object store and disconnected peers in between. */
std::vector<ApplyResult> applyConcurrently(ManagerCluster &cluster, Milliseconds applyTimeout)
{
    std::vector<std::vector<ApplyResult>> results(managerCount);
    std::barrier start(managerCount);
    std::vector<std::thread> threads;
    for (int index = 0; index < managerCount; ++index) {
        threads.emplace_back([&, index] {
            start.arrive_and_wait();
            for (int count = 0; count < appliesPerManager; ++count) {
                Failure failure;
                cluster.announcers[index]->isDisconnected = count % 3 == 1;
                cluster.objects.isDown = count % 4 == 2 && index == 0;
                const auto name = "operator-" + std::to_string(index);
                const auto text = makeFileText(index * appliesPerManager + count);
                const auto deadline = cluster.clock.now() + applyTimeout;
                results[index].push_back(cluster.manager(index).apply(text, {}, name, deadline, failure));
                cluster.manager((index + 1) % managerCount).refresh(cluster.deadline());
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::vector<ApplyResult> all;
    for (const auto &list : results) {
        all.insert(all.end(), list.begin(), list.end());
    }
    return all;
}

bool hasEntry(const std::vector<LogbookEntry> &entries, const std::string &transaction, long long version)
{
    return std::any_of(entries.begin(), entries.end(), [&](const auto &entry) {
        return entry.id == transaction && (version == 0 || entry.version == version);
    });
}

/** True if the logbook has an entry for an accepted file, and none for a file reported as not written. */
bool isConsistentWithLogbook(const ApplyResult &result, const std::vector<LogbookEntry> &entries)
{
    switch (result.status) {
    case ApplyStatus::Accepted:
        return hasEntry(entries, result.transaction, result.version);
    case ApplyStatus::Unknown:
        return true;
    default:
        return result.transaction.empty() || !hasEntry(entries, result.transaction, 0);
    }
}

/** Reads the head and writes the next one without checking that the head is unchanged: the last write wins. */
void applyWithoutVersionCheck(FakeTableService &table, Clock &clock, const std::string &name, std::barrier<> &afterRead)
{
    Failure failure;
    const auto row = table.read(ConfigurationHead::key, clock.now(), failure);
    auto head = ConfigurationHead::parse(*row, failure).value_or(ConfigurationHead {});
    afterRead.arrive_and_wait();
    ++head.version;
    head.operatorName = name;
    const LogbookEntry entry { clock.wallNow(), name, "apply", name, head.version, {}, {} };
    table.commit(
        { name, {}, { { ConfigurationHead::key, head.rowValue() }, { entry.rowKey(), entry.rowValue() } } }, clock.now(), failure);
}

} // namespace

TEST_CASE("concurrent applies give each version to exactly one file, with any faults of the table", "[configuration]")
{
    // Guards against two files with the same version, a version that decreases at a manager, and a wrong reply to an operator.
    rc::prop("one file for each version, no version decreases, replies match the logbook", [] {
        ManagerCluster cluster(managerCount);
        const auto percent = *rc::gen::element(0, 10, 30, 60, 90);
        cluster.faultInjectingTable.injectFaults(*rc::gen::arbitrary<unsigned>(), percent);
        std::vector<std::vector<long long>> seen(managerCount);
        for (int index = 0; index < managerCount; ++index) {
            cluster.manager(index).addListener([&seen, index](const auto &taken) { seen[index].push_back(taken->version); });
        }
        const auto results = applyConcurrently(cluster, Milliseconds(*rc::gen::element(100, 1000, 60'000)));
        cluster.faultInjectingTable.stopFaults();
        cluster.objects.isDown = false;
        Failure failure;
        const auto head = ConfigurationStore(cluster.table, cluster.objects, cluster.clock).readHead(cluster.deadline(), failure);
        RC_ASSERT(head.has_value());
        const auto entries = cluster.readAllEntries();
        RC_ASSERT(findVersionOrderViolations(entries, head->version) == std::vector<std::string> {});
        for (const auto &result : results) {
            RC_ASSERT(isConsistentWithLogbook(result, entries));
        }
        for (int index = 0; index < managerCount; ++index) {
            RC_ASSERT(std::adjacent_find(seen[index].begin(), seen[index].end(), std::greater_equal<>()) == seen[index].end());
            RC_ASSERT(cluster.manager(index).refresh(cluster.deadline()));
            RC_ASSERT(cluster.manager(index).current()->version == head->version);
            RC_ASSERT(cluster.manager(index).current()->digest == head->digest);
        }
        const auto accepted = std::count_if(
            results.begin(), results.end(), [](const auto &result) { return result.status == ApplyStatus::Accepted; });
        RC_CLASSIFY(accepted < head->version, "a version whose apply was reported as unknown");
        RC_CLASSIFY(accepted > managerCount, "more accepted than managers");
        RC_CLASSIFY(percent > 0, "with faults");
    });
}

TEST_CASE("the check of version order fails if the last write wins", "[configuration]")
{
    // Negative control: without the check of the head's version, the files of two concurrent operators both become version 1.
    FakeTableService table;
    AutoAdvancingClock clock;
    std::barrier<> afterRead(2);
    std::thread otherThread([&] { applyWithoutVersionCheck(table, clock, "operator-a", afterRead); });
    applyWithoutVersionCheck(table, clock, "operator-b", afterRead);
    otherThread.join();
    Failure failure;
    auto entries = Logbook(table, clock).latest(10, clock.now(), failure);
    REQUIRE(entries);
    CHECK(findVersionOrderViolations(*entries, 1) == std::vector<std::string> { "version 1 has 2 logbook entries" });
}

TEST_CASE("the check of replies against the logbook fails if a lost answer is reported as refused", "[configuration]")
{
    // Negative control: Refused would be reported for the file in force.
    ManagerCluster cluster(1);
    cluster.table.loseAnswers(1);
    auto result = cluster.apply(0, makeFileText(1));
    REQUIRE(isConsistentWithLogbook(result, cluster.readAllEntries()));
    result.status = ApplyStatus::Refused;
    CHECK_FALSE(isConsistentWithLogbook(result, cluster.readAllEntries()));
}
