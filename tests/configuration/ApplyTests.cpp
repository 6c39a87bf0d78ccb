#include "configuration/Cell.h"
#include "core/Failure.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace auburndoor;

TEST_CASE("an accepted file is the next version everywhere, with one logbook entry", "[configuration]")
{
    Cell cell(3);
    const auto first = cell.apply(0, fileOf(1));
    REQUIRE(first.status == ApplyStatus::Accepted);
    CHECK(first.version == 1);
    CHECK(first.confirmed.size() == 3);
    CHECK(first.unconfirmed.empty());
    const auto second = cell.apply(1, fileOf(2), 1);
    REQUIRE(second.status == ApplyStatus::Accepted);
    CHECK(second.version == 2);
    CHECK(toText(second.differences) == "changed services.namedesk.queueLimit: 2 -> 3\n");
    CHECK(cell.manager(2).current()->version == 2);
    CHECK(cell.manager(2).current()->text == fileOf(2));
    const auto entries = cell.allEntries();
    REQUIRE(entries.size() == 2);
    CHECK(entries[1].operatorName == "operator-1");
    CHECK(entries[1].id == second.transaction);
    CHECK(entries[1].digest == second.digest);
    CHECK(entries[1].summary == std::vector<std::string> { "changed services.namedesk.queueLimit: 2 -> 3" });
}

TEST_CASE("an apply on an old version gets the winner and the differences, and writes nothing", "[configuration]")
{
    // Guards against an operator who overwrites a file that he has not seen.
    Cell cell(2);
    cell.apply(0, fileOf(1));
    cell.apply(0, fileOf(2));
    const auto loser = cell.apply(1, fileOf(3), 1);
    CHECK(loser.status == ApplyStatus::Conflict);
    CHECK(loser.version == 2);
    CHECK(loser.operatorName == "operator-0");
    CHECK(toText(loser.differences) == "changed services.namedesk.queueLimit: 3 -> 4\n");
    CHECK(cell.table.commitCount() == 2);
    CHECK(cell.manager(1).current()->version == 2);
}

TEST_CASE("a race that is lost between reading and writing the head is a conflict", "[configuration]")
{
    // Guards against an apply without expected version that silently overwrites the winner of a race.
    Cell cell(2);
    cell.faultyTable.delayNextCommit(1'000'000);
    cell.faultyTable.afterCommit = [&] {
        cell.faultyTable.afterCommit = nullptr;
        REQUIRE(cell.apply(1, fileOf(2)).status == ApplyStatus::Accepted);
    };
    const auto loser = cell.apply(0, fileOf(1));
    CHECK(loser.status == ApplyStatus::Conflict);
    CHECK(loser.version == 1);
    CHECK(loser.operatorName == "operator-1");
    cell.faultyTable.heal();
    CHECK(violations(cell.allEntries(), 1).empty());
}

TEST_CASE("an invalid file or operator name is refused with problems and without a write", "[configuration]")
{
    Cell cell(1);
    const auto result = cell.manager(0).apply("{\"service\":{}}", {}, "", cell.deadline(), cell.failure);
    CHECK(result.status == ApplyStatus::Invalid);
    CHECK(result.problems.size() == 2);
    CHECK(cell.table.commitCount() == 0);
}

TEST_CASE("a lost answer is resolved by reading the head", "[configuration]")
{
    // Guards against telling the operator "refused" for a file that is in force.
    Cell cell(2);
    cell.table.loseAnswers(1);
    const auto result = cell.apply(0, fileOf(1));
    CHECK(result.status == ApplyStatus::Accepted);
    CHECK(result.version == 1);
    CHECK(cell.table.commitCount() == 1);
}

TEST_CASE("a lost answer is resolved by the logbook when another version has followed", "[configuration]")
{
    // Guards against a conflict that is reported for a file which was in force for a moment and is in the history.
    Cell cell(2);
    cell.table.loseAnswers(1);
    cell.faultyTable.afterCommit = [&] {
        cell.faultyTable.afterCommit = nullptr;
        REQUIRE(cell.apply(1, fileOf(2), 1).status == ApplyStatus::Accepted);
    };
    const auto result = cell.apply(0, fileOf(1));
    CHECK(result.status == ApplyStatus::Accepted);
    CHECK(result.version == 1);
    CHECK(cell.manager(0).current()->version == 2);
}

TEST_CASE("a write that arrives late makes one version only", "[configuration]")
{
    // Guards against a second sending under another transaction id, which would make a version of its own.
    Cell cell(1);
    cell.faultyTable.delayNextCommit(3);
    const auto result = cell.apply(0, fileOf(1));
    cell.faultyTable.heal();
    CHECK(result.status == ApplyStatus::Accepted);
    CHECK(cell.table.commitCount() == 1);
}

TEST_CASE("an outcome that is open at the deadline is unknown, never refused", "[configuration]")
{
    // Guards against an outage right after a lost answer: the repetition is "not written", but the first sending took effect.
    Cell cell(2);
    cell.table.loseAnswers(1);
    cell.faultyTable.afterCommit = [&] { cell.table.setDown(true); };
    const auto result = cell.apply(0, fileOf(1));
    CHECK(result.status == ApplyStatus::Unknown);
    CHECK(cell.failure.reason == FailureReason::OutcomeUnknown);
    CHECK_FALSE(result.transaction.empty());
    cell.table.setDown(false);
    CHECK(cell.manager(0).refresh(cell.deadline()));
    CHECK(cell.manager(0).current()->version == 1);
}

TEST_CASE("an apply waits for the table and the object store within its deadline", "[configuration]")
{
    Cell cell(1);
    SECTION("and is refused, with nothing written, when they stay down")
    {
        cell.table.setDown(true);
        const auto start = cell.clock.now();
        const auto result = cell.apply(0, fileOf(1));
        CHECK(result.status == ApplyStatus::Refused);
        CHECK(cell.failure.reason == FailureReason::ServiceDown);
        CHECK(cell.clock.now() - start >= Milliseconds(10'000));
        cell.table.setDown(false);
        cell.objects.isDown = true;
        CHECK(cell.apply(0, fileOf(1)).status == ApplyStatus::Refused);
        CHECK(cell.table.commitCount() == 0);
    }
    SECTION("and is accepted when writes fail for a while")
    {
        cell.faultyTable.injectFaults(1, 60);
        CHECK(cell.apply(0, fileOf(1)).status == ApplyStatus::Accepted);
        cell.faultyTable.heal();
        CHECK(cell.table.commitCount() == 1);
    }
}

TEST_CASE("an apply names the instances that did not confirm", "[configuration]")
{
    Cell cell(3);
    cell.announcers[0]->isCut = true;
    const auto result = cell.apply(0, fileOf(1));
    CHECK(result.status == ApplyStatus::Accepted);
    CHECK(result.confirmed == std::vector<InstanceId> { InstanceId("entry-0") });
    CHECK(result.unconfirmed.size() == 2);
}

TEST_CASE("a plan shows what a file changes and the version that it starts from", "[configuration]")
{
    Cell cell(1);
    cell.apply(0, fileOf(1));
    const auto plan = cell.manager(0).plan(fileOf(4));
    CHECK(plan.version == 1);
    CHECK(plan.differences.size() == 1);
    CHECK(httpStatus(cell.manager(0).plan("{")) == 422);
    CHECK(cell.table.commitCount() == 1);
}

TEST_CASE("the logbook gives the latest entries, newest first, across any distance of time", "[configuration]")
{
    // Guards against entries that the growing spans of time miss or give twice.
    Cell cell(1);
    const auto advance = [&](Milliseconds step) {
        std::mutex mutex;
        std::condition_variable condition;
        std::unique_lock lock(mutex);
        cell.clock.waitUntil(lock, condition, cell.clock.now() + step, [] { return false; });
    };
    constexpr int count = 12;
    for (int index = 0; index < count; ++index) {
        REQUIRE(cell.apply(0, fileOf(index)).status == ApplyStatus::Accepted);
        advance(Milliseconds(1000LL << (2 * index)));
    }
    for (std::size_t limit = 1; limit <= count + 1; ++limit) {
        const auto entries = cell.manager(0).logbook(limit, cell.deadline(), cell.failure);
        REQUIRE(entries);
        REQUIRE(entries->size() == std::min<std::size_t>(limit, count));
        for (std::size_t index = 0; index < entries->size(); ++index) {
            CHECK((*entries)[index].version == count - static_cast<long long>(index));
        }
    }
}

TEST_CASE("the latest entries of a full month are read without the month", "[configuration]")
{
    // Guards against a read of all rows, which at 2,100 changes a day grows without limit.
    Cell cell(1);
    constexpr int rowsADay = 2100;
    constexpr int days = 30;
    const auto step = Milliseconds(std::chrono::hours(24)) / rowsADay;
    // Minutes after a moment at which nine digits of the time turn over, and far from one.
    const auto sinceTurn = GENERATE(Milliseconds(600'000), Milliseconds(432'000'000));
    const auto turn = std::chrono::milliseconds(1'767'000'000'000);
    const auto now = WallTime(turn + sinceTurn);
    cell.clock.setWallNow(now);
    for (int index = 0; index < rowsADay * days; ++index) {
        const LogbookEntry entry { now - step * index, std::to_string(index), "apply", "ana", index, {}, {} };
        cell.table.commit({ std::to_string(index), {}, { { entry.rowKey(), entry.rowValue() } } }, cell.deadline(), cell.failure);
    }
    const auto entries = cell.manager(0).logbook(20, cell.deadline(), cell.failure);
    REQUIRE(entries);
    CHECK(entries->size() == 20);
    CHECK(entries->front().id == "0");
    CHECK(cell.faultyTable.rowsRead <= 500);
    WARN("rows read for the latest 20 of " << rowsADay * days << ", " << sinceTurn.count()
                                           << " ms after a turn: " << cell.faultyTable.rowsRead);
}

TEST_CASE("the replies have the fields of docs/protocols/operators.md", "[configuration]")
{
    // Guards against a reply that the command line or a script cannot read.
    Cell cell(2);
    const auto first = nlohmann::json::parse(toJson(cell.apply(0, fileOf(1)), {}));
    CHECK(first.at("status") == "accepted");
    CHECK(first.at("version") == 1);
    CHECK(first.at("confirmed") == nlohmann::json { "entry-0", "entry-1" });
    CHECK(first.at("unconfirmed").empty());
    CHECK(first.at("differences").at(0).at("text") == "added services.namedesk");
    const auto conflict = nlohmann::json::parse(toJson(cell.apply(0, fileOf(2), 0), {}));
    CHECK(conflict.at("status") == "conflict");
    CHECK(conflict.at("operator") == "operator-0");
    const Failure failure { FailureStep::Apply, "table", FailureReason::OutcomeUnknown, "lost" };
    ApplyResult unknown;
    unknown.status = ApplyStatus::Unknown;
    CHECK(nlohmann::json::parse(toJson(unknown, failure)).at("error").at("reason") == "outcome-unknown");
    CHECK(nlohmann::json::parse(toJson(cell.manager(0).plan(fileOf(3)))).at("version") == 1);
    const auto entries = nlohmann::json::parse(toJson(*cell.manager(0).logbook(5, cell.deadline(), cell.failure)));
    CHECK(entries.at("entries").at(0).at("action") == "apply");
    CHECK(httpStatus(ApplyStatus::Conflict) == 409);
}
