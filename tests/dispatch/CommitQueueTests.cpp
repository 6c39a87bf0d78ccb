#include "dispatch/CommitQueue.h"
#include "fakes/FakeStore.h"
#include "fakes/ManualTimers.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace auburndoor;

namespace {

struct LogFixture
{
    LogFixture() : store(timers)
    {
        store.write(FencingRows::table, FencingRows::epochKey, "1");
        commitQueue = std::make_unique<CommitQueue>(
            timers, store, "node#1", store.row(FencingRows::table, FencingRows::epochKey)->version, 0, [this] { ++deposed; });
    }

    void put(const std::string &key,
             const std::string &value,
             CommitQueue::Urgency urgency = CommitQueue::Urgency::Urgent,
             std::function<void()> done = {})
    {
        const auto count = [this, done = std::move(done)] {
            ++durable;
            if (done) {
                done();
            }
        };
        commitQueue->put(
            "jobs", key, [value] { return std::optional(value); }, count, urgency);
    }

    ManualTimers timers;
    FakeStore store;
    std::unique_ptr<CommitQueue> commitQueue;
    int durable = 0;
    int deposed = 0;
};

} // namespace

TEST_CASE("rows that are put within a moment share one transaction")
{
    LogFixture fixture;
    const int before = fixture.store.commitCount();
    fixture.put("a", "1");
    fixture.put("b", "2");
    fixture.put("a", "3");
    fixture.timers.advance(Milliseconds(200));
    CHECK(fixture.store.commitCount() == before + 1);
    CHECK(fixture.store.row("jobs", "a")->value == "3");
    CHECK(fixture.durable == 3);
}

// Guards against an older value that overwrites a newer one when the store carries a transaction out late.
TEST_CASE("a transaction whose answer was lost takes effect once, whenever it is carried out")
{
    const auto applyAfter = GENERATE(Milliseconds(4), Milliseconds(900), Milliseconds(3000));
    LogFixture fixture;
    fixture.store.loseAnswers(1, applyAfter);
    fixture.put("a", "old");
    fixture.timers.advance(Milliseconds(700));
    fixture.put("a", "new");
    fixture.timers.advance(Milliseconds(6000));
    CHECK(fixture.store.row("jobs", "a")->value == "new");
    CHECK(fixture.durable == 2);
    CHECK(fixture.deposed == 0);
}

// Guards against writes of an owner that was frozen while another took over.
TEST_CASE("a deposed owner writes nothing and learns of it")
{
    LogFixture fixture;
    fixture.store.write(FencingRows::table, FencingRows::epochKey, "2");
    fixture.put("a", "1");
    fixture.timers.advance(Milliseconds(200));
    CHECK(fixture.store.row("jobs", "a") == nullptr);
    CHECK(fixture.deposed == 1);
    CHECK(fixture.durable == 0);
}

TEST_CASE("a transaction carried out late does nothing after a takeover")
{
    LogFixture fixture;
    fixture.store.loseAnswers(5, Milliseconds(2000));
    fixture.put("a", "1");
    fixture.timers.advance(Milliseconds(100));
    fixture.store.write(FencingRows::table, FencingRows::epochKey, "2");
    fixture.timers.advance(Milliseconds(9000));
    CHECK(fixture.store.row("jobs", "a") == nullptr);
}

// Guards against refusals that are not true: a row that a transaction may have carried cannot be taken back.
TEST_CASE("a row can be withdrawn only while no transaction has carried it")
{
    LogFixture fixture;
    fixture.store.setDown(true);
    fixture.put("a", "1");
    fixture.timers.advance(Milliseconds(100));
    CHECK_FALSE(fixture.commitQueue->withdraw("jobs", "a"));
    fixture.put("b", "1");
    CHECK(fixture.commitQueue->withdraw("jobs", "b"));
    fixture.store.setDown(false);
    fixture.timers.advance(Milliseconds(2000));
    CHECK(fixture.store.row("jobs", "a") != nullptr);
    CHECK(fixture.store.row("jobs", "b") == nullptr);
}

TEST_CASE("the log reports how long the store has been away")
{
    LogFixture fixture;
    fixture.store.setDown(true);
    fixture.put("a", "1");
    fixture.timers.advance(Milliseconds(1500));
    CHECK(fixture.commitQueue->isStalled());
    CHECK(fixture.commitQueue->stallDuration() >= Milliseconds(1400));
    fixture.store.setDown(false);
    fixture.timers.advance(Milliseconds(1500));
    CHECK_FALSE(fixture.commitQueue->isStalled());
    CHECK(fixture.commitQueue->isIdle());
}

// Guards against a takeover from an owner whose rows wait for each other while the store takes them.
TEST_CASE("a queue at a slow store is no silence of the store")
{
    LogFixture fixture;
    fixture.store.setAnswerTime(Milliseconds(200));
    constexpr int rows = 1500;
    for (int row = 0; row < rows; ++row) {
        fixture.put(std::to_string(row), "v");
    }
    for (int slice = 0; slice < 60; ++slice) {
        fixture.timers.advance(Milliseconds(20));
        CHECK(fixture.commitQueue->stallDuration() <= Milliseconds(260));
        CHECK_FALSE(fixture.commitQueue->isStalled());
    }
    CHECK(fixture.durable < rows);
}

// Guards against callers that wait behind records of progress while the store is slow, and against records that are never stored.
TEST_CASE("what somebody waits for is stored before records of progress, and those are not put off for ever")
{
    LogFixture fixture;
    fixture.store.setAnswerTime(Milliseconds(200));
    constexpr int rows = 300;
    for (int row = 0; row < rows; ++row) {
        fixture.put("progress" + std::to_string(row), "v", CommitQueue::Urgency::Routine);
    }
    bool isStored = false;
    fixture.put("handed in", "v", CommitQueue::Urgency::Urgent, [&isStored] { isStored = true; });
    // A record that becomes an end moves up.
    bool isEndStored = false;
    fixture.put("progress299", "end", CommitQueue::Urgency::Urgent, [&isEndStored] { isEndStored = true; });
    fixture.timers.advance(Milliseconds(260));
    CHECK(isStored);
    CHECK(isEndStored);
    const int before = fixture.durable;
    for (int row = 0; row < 10 * rows; ++row) {
        fixture.put("urgent" + std::to_string(row), "v");
    }
    fixture.timers.advance(Milliseconds(440));
    CHECK(fixture.store.row("jobs", "progress100") != nullptr);
    CHECK(fixture.durable > before);
}
