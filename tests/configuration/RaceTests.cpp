#include "configuration/Cell.h"
#include "core/Failure.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <barrier>
#include <thread>

using namespace auburndoor;

namespace {

constexpr int managers = 4;
constexpr int appliesEach = 6;

/** Applies from a thread for each manager, with outages of the object store and cut peers thrown in. */
std::vector<ApplyResult> applyConcurrently(Cell &cell, Milliseconds time)
{
    std::vector<std::vector<ApplyResult>> results(managers);
    std::barrier start(managers);
    std::vector<std::thread> threads;
    for (int index = 0; index < managers; ++index) {
        threads.emplace_back([&, index] {
            start.arrive_and_wait();
            for (int count = 0; count < appliesEach; ++count) {
                Failure failure;
                cell.announcers[index]->isCut = count % 3 == 1;
                cell.objects.isDown = count % 4 == 2 && index == 0;
                const auto name = "operator-" + std::to_string(index);
                const auto text = fileOf(index * appliesEach + count);
                const auto deadline = cell.clock.now() + time;
                results[index].push_back(cell.manager(index).apply(text, {}, name, deadline, failure));
                cell.manager((index + 1) % managers).refresh(cell.deadline());
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

/** True if the logbook bears out what the operator was told. */
bool isHonest(const ApplyResult &result, const std::vector<LogbookEntry> &entries)
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

/** Last write wins: reads the head and writes the next one without a check. */
void applyNaively(FakeTableService &table, Clock &clock, const std::string &name, std::barrier<> &afterRead)
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

TEST_CASE("concurrent applies give one order of versions with one winner each, whatever the table does", "[configuration]")
{
    // Guards against two winners of one version, a version that falls at a manager, and an operator who is told something untrue.
    rc::prop("one order, no version falls, honest answers", [] {
        Cell cell(managers);
        const auto percent = *rc::gen::element(0, 10, 30, 60, 90);
        cell.faultyTable.injectFaults(*rc::gen::arbitrary<unsigned>(), percent);
        std::vector<std::vector<long long>> seen(managers);
        for (int index = 0; index < managers; ++index) {
            cell.manager(index).addListener([&seen, index](const auto &taken) { seen[index].push_back(taken->version); });
        }
        const auto results = applyConcurrently(cell, Milliseconds(*rc::gen::element(100, 1000, 60'000)));
        cell.faultyTable.heal();
        cell.objects.isDown = false;
        Failure failure;
        const auto head = ConfigurationStore(cell.table, cell.objects, cell.clock).readHead(cell.deadline(), failure);
        RC_ASSERT(head.has_value());
        const auto entries = cell.allEntries();
        RC_ASSERT(violations(entries, head->version) == std::vector<std::string> {});
        for (const auto &result : results) {
            RC_ASSERT(isHonest(result, entries));
        }
        for (int index = 0; index < managers; ++index) {
            RC_ASSERT(std::adjacent_find(seen[index].begin(), seen[index].end(), std::greater_equal<>()) == seen[index].end());
            RC_ASSERT(cell.manager(index).refresh(cell.deadline()));
            RC_ASSERT(cell.manager(index).current()->version == head->version);
            RC_ASSERT(cell.manager(index).current()->digest == head->digest);
        }
        const auto accepted = std::count_if(
            results.begin(), results.end(), [](const auto &result) { return result.status == ApplyStatus::Accepted; });
        RC_CLASSIFY(accepted < head->version, "a version whose author was told unknown");
        RC_CLASSIFY(accepted > managers, "more accepted than managers");
        RC_CLASSIFY(percent > 0, "with faults");
    });
}

TEST_CASE("the checks of the race test fail for last write wins", "[configuration]")
{
    // Negative control: without the check of the head's version, two racing operators both become version 1.
    FakeTableService table;
    SkippingClock clock;
    std::barrier<> afterRead(2);
    std::thread other([&] { applyNaively(table, clock, "operator-a", afterRead); });
    applyNaively(table, clock, "operator-b", afterRead);
    other.join();
    Failure failure;
    auto entries = Logbook(table, clock).latest(10, clock.now(), failure);
    REQUIRE(entries);
    CHECK(violations(*entries, 1) == std::vector<std::string> { "version 1 has 2 winners" });
}

TEST_CASE("the check of honest answers fails for a lost answer that is taken for a refusal", "[configuration]")
{
    // Negative control: the operator would be told "refused" about the file in force.
    Cell cell(1);
    cell.table.loseAnswers(1);
    auto result = cell.apply(0, fileOf(1));
    REQUIRE(isHonest(result, cell.allEntries()));
    result.status = ApplyStatus::Refused;
    CHECK_FALSE(isHonest(result, cell.allEntries()));
}
