#include "configuration/ManagerCluster.h"
#include "core/Failure.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace auburndoor;

TEST_CASE("an accepted file is the next version everywhere, with one logbook entry", "[configuration]")
{
    ManagerCluster cluster(3);
    const auto first = cluster.apply(0, makeFileText(1));
    REQUIRE(first.status == ApplyStatus::Accepted);
    CHECK(first.version == 1);
    CHECK(first.confirmed.size() == 3);
    CHECK(first.unconfirmed.empty());
    const auto second = cluster.apply(1, makeFileText(2), 1);
    REQUIRE(second.status == ApplyStatus::Accepted);
    CHECK(second.version == 2);
    CHECK(toText(second.differences) == "changed services.namedesk.queueLimit: 2 -> 3\n");
    CHECK(cluster.manager(2).current()->version == 2);
    CHECK(cluster.manager(2).current()->text == makeFileText(2));
    const auto entries = cluster.readAllEntries();
    REQUIRE(entries.size() == 2);
    CHECK(entries[1].operatorName == "operator-1");
    CHECK(entries[1].id == second.transaction);
    CHECK(entries[1].digest == second.digest);
    CHECK(entries[1].summary == std::vector<std::string> { "changed services.namedesk.queueLimit: 2 -> 3" });
}

TEST_CASE("an apply that expects an old version reports the version in force and the differences, and writes nothing",
          "[configuration]")
{
    // Guards against an operator overwriting a version that they have not seen.
    ManagerCluster cluster(2);
    cluster.apply(0, makeFileText(1));
    cluster.apply(0, makeFileText(2));
    const auto rejected = cluster.apply(1, makeFileText(3), 1);
    CHECK(rejected.status == ApplyStatus::Conflict);
    CHECK(rejected.version == 2);
    CHECK(rejected.operatorName == "operator-0");
    CHECK(toText(rejected.differences) == "changed services.namedesk.queueLimit: 3 -> 4\n");
    CHECK(cluster.table.commitCount() == 2);
    CHECK(cluster.manager(1).current()->version == 2);
}

TEST_CASE("a head written by another operator between reading and writing the head is a conflict", "[configuration]")
{
    // Guards against an apply without an expected version overwriting a version committed after the head was read.
    ManagerCluster cluster(2);
    cluster.faultInjectingTable.delayNextCommit(1'000'000);
    cluster.faultInjectingTable.afterCommit = [&] {
        cluster.faultInjectingTable.afterCommit = nullptr;
        REQUIRE(cluster.apply(1, makeFileText(2)).status == ApplyStatus::Accepted);
    };
    const auto rejected = cluster.apply(0, makeFileText(1));
    CHECK(rejected.status == ApplyStatus::Conflict);
    CHECK(rejected.version == 1);
    CHECK(rejected.operatorName == "operator-1");
    cluster.faultInjectingTable.stopFaults();
    CHECK(findVersionOrderViolations(cluster.readAllEntries(), 1).empty());
}

TEST_CASE("an invalid file or operator name is reported with its problems and nothing is written", "[configuration]")
{
    ManagerCluster cluster(1);
    const auto result = cluster.manager(0).apply("{\"service\":{}}", {}, "", cluster.deadline(), cluster.failure);
    CHECK(result.status == ApplyStatus::Invalid);
    CHECK(result.problems.size() == 2);
    CHECK(cluster.table.commitCount() == 0);
}

TEST_CASE("a lost answer is resolved by reading the head", "[configuration]")
{
    // Guards against reporting Refused for a file that is in force.
    ManagerCluster cluster(2);
    cluster.table.loseAnswers(1);
    const auto result = cluster.apply(0, makeFileText(1));
    CHECK(result.status == ApplyStatus::Accepted);
    CHECK(result.version == 1);
    CHECK(cluster.table.commitCount() == 1);
}

TEST_CASE("a lost answer is resolved by reading the logbook if another version has followed", "[configuration]")
{
    // Guards against reporting Conflict for a file that was in force until the next version and is in the logbook.
    ManagerCluster cluster(2);
    cluster.table.loseAnswers(1);
    cluster.faultInjectingTable.afterCommit = [&] {
        cluster.faultInjectingTable.afterCommit = nullptr;
        REQUIRE(cluster.apply(1, makeFileText(2), 1).status == ApplyStatus::Accepted);
    };
    const auto result = cluster.apply(0, makeFileText(1));
    CHECK(result.status == ApplyStatus::Accepted);
    CHECK(result.version == 1);
    CHECK(cluster.manager(0).current()->version == 2);
}

TEST_CASE("a commit that is applied late makes only one version", "[configuration]")
{
    // Guards against a retry with another transaction id, which would make a second version of the same file.
    ManagerCluster cluster(1);
    cluster.faultInjectingTable.delayNextCommit(3);
    const auto result = cluster.apply(0, makeFileText(1));
    cluster.faultInjectingTable.stopFaults();
    CHECK(result.status == ApplyStatus::Accepted);
    CHECK(cluster.table.commitCount() == 1);
}

TEST_CASE("an outcome that is not known at the deadline is reported as unknown, not as refused", "[configuration]")
{
    // Guards against an outage right after a lost answer: the retry is not written, but the first commit took effect.
    ManagerCluster cluster(2);
    cluster.table.loseAnswers(1);
    cluster.faultInjectingTable.afterCommit = [&] { cluster.table.setDown(true); };
    const auto result = cluster.apply(0, makeFileText(1));
    CHECK(result.status == ApplyStatus::Unknown);
    CHECK(cluster.failure.reason == FailureReason::OutcomeUnknown);
    CHECK_FALSE(result.transaction.empty());
    cluster.table.setDown(false);
    CHECK(cluster.manager(0).refresh(cluster.deadline()));
    CHECK(cluster.manager(0).current()->version == 1);
}

TEST_CASE("an apply waits for the table and the object store within its deadline", "[configuration]")
{
    ManagerCluster cluster(1);
    SECTION("and is refused, with nothing written, if one of them stays down")
    {
        cluster.table.setDown(true);
        const auto start = cluster.clock.now();
        const auto result = cluster.apply(0, makeFileText(1));
        CHECK(result.status == ApplyStatus::Refused);
        CHECK(cluster.failure.reason == FailureReason::ServiceDown);
        CHECK(cluster.clock.now() - start >= Milliseconds(10'000));
        cluster.table.setDown(false);
        cluster.objects.isDown = true;
        CHECK(cluster.apply(0, makeFileText(1)).status == ApplyStatus::Refused);
        CHECK(cluster.table.commitCount() == 0);
    }
    SECTION("and is accepted if only some calls of the table fail")
    {
        cluster.faultInjectingTable.injectFaults(1, 60);
        CHECK(cluster.apply(0, makeFileText(1)).status == ApplyStatus::Accepted);
        cluster.faultInjectingTable.stopFaults();
        CHECK(cluster.table.commitCount() == 1);
    }
}

TEST_CASE("an apply names the instances that did not confirm", "[configuration]")
{
    ManagerCluster cluster(3);
    cluster.announcers[0]->isDisconnected = true;
    const auto result = cluster.apply(0, makeFileText(1));
    CHECK(result.status == ApplyStatus::Accepted);
    CHECK(result.confirmed == std::vector<InstanceId> { InstanceId("entry-0") });
    CHECK(result.unconfirmed.size() == 2);
}

TEST_CASE("a plan lists the changes of a file and the version that it was compared with", "[configuration]")
{
    ManagerCluster cluster(1);
    cluster.apply(0, makeFileText(1));
    const auto plan = cluster.manager(0).plan(makeFileText(4));
    CHECK(plan.version == 1);
    CHECK(plan.differences.size() == 1);
    CHECK(httpStatus(cluster.manager(0).plan("{")) == 422);
    CHECK(cluster.table.commitCount() == 1);
}

TEST_CASE("the logbook returns the latest entries, newest first, however far apart in time they are", "[configuration]")
{
    // Guards against entries that are missed or returned twice where the growing time ranges of the reads meet.
    ManagerCluster cluster(1);
    const auto advance = [&](Milliseconds step) {
        std::mutex mutex;
        std::condition_variable condition;
        std::unique_lock lock(mutex);
        cluster.clock.waitUntil(lock, condition, cluster.clock.now() + step, [] { return false; });
    };
    constexpr int count = 12;
    for (int index = 0; index < count; ++index) {
        REQUIRE(cluster.apply(0, makeFileText(index)).status == ApplyStatus::Accepted);
        advance(Milliseconds(1000LL << (2 * index)));
    }
    for (std::size_t limit = 1; limit <= count + 1; ++limit) {
        const auto entries = cluster.manager(0).logbook(limit, cluster.deadline(), cluster.failure);
        REQUIRE(entries);
        REQUIRE(entries->size() == std::min<std::size_t>(limit, count));
        for (std::size_t index = 0; index < entries->size(); ++index) {
            CHECK((*entries)[index].version == count - static_cast<long long>(index));
        }
    }
}

TEST_CASE("the latest logbook entries are read without reading the whole month", "[configuration]")
{
    // Guards against reading all rows, whose number grows without limit at 2,100 changes a day.
    ManagerCluster cluster(1);
    constexpr int rowsPerDay = 2100;
    constexpr int days = 30;
    const auto step = Milliseconds(std::chrono::hours(24)) / rowsPerDay;
    // 10 minutes and 5 days after a time at which the last nine digits of the milliseconds roll over to zero.
    const auto sinceRollover = GENERATE(Milliseconds(600'000), Milliseconds(432'000'000));
    const auto rollover = std::chrono::milliseconds(1'767'000'000'000);
    const auto now = WallTime(rollover + sinceRollover);
    cluster.clock.setWallNow(now);
    for (int index = 0; index < rowsPerDay * days; ++index) {
        const LogbookEntry entry { now - step * index, std::to_string(index), "apply", "ana", index, {}, {} };
        cluster.table.commit(
            { std::to_string(index), {}, { { entry.rowKey(), entry.rowValue() } } }, cluster.deadline(), cluster.failure);
    }
    const auto entries = cluster.manager(0).logbook(20, cluster.deadline(), cluster.failure);
    REQUIRE(entries);
    CHECK(entries->size() == 20);
    CHECK(entries->front().id == "0");
    CHECK(cluster.faultInjectingTable.rowsRead <= 500);
    WARN("rows read for the latest 20 of " << rowsPerDay * days << ", " << sinceRollover.count()
                                           << " ms after a rollover: " << cluster.faultInjectingTable.rowsRead);
}

TEST_CASE("the replies have the fields of docs/protocols/operators.md", "[configuration]")
{
    // Guards against a reply that the command line or an operator's script cannot parse.
    ManagerCluster cluster(2);
    const auto first = nlohmann::json::parse(toJson(cluster.apply(0, makeFileText(1)), {}));
    CHECK(first.at("status") == "accepted");
    CHECK(first.at("version") == 1);
    CHECK(first.at("confirmed") == nlohmann::json { "entry-0", "entry-1" });
    CHECK(first.at("unconfirmed").empty());
    CHECK(first.at("differences").at(0).at("text") == "added services.namedesk");
    const auto conflict = nlohmann::json::parse(toJson(cluster.apply(0, makeFileText(2), 0), {}));
    CHECK(conflict.at("status") == "conflict");
    CHECK(conflict.at("operator") == "operator-0");
    const Failure failure { FailureStep::Apply, "table", FailureReason::OutcomeUnknown, "lost" };
    ApplyResult unknown;
    unknown.status = ApplyStatus::Unknown;
    CHECK(nlohmann::json::parse(toJson(unknown, failure)).at("error").at("reason") == "outcome-unknown");
    CHECK(nlohmann::json::parse(toJson(cluster.manager(0).plan(makeFileText(3)))).at("version") == 1);
    const auto entries = nlohmann::json::parse(toJson(*cluster.manager(0).logbook(5, cluster.deadline(), cluster.failure)));
    CHECK(entries.at("entries").at(0).at("action") == "apply");
    CHECK(httpStatus(ApplyStatus::Conflict) == 409);
}
