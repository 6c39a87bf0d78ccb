#include "dispatch/CommitQueue.h"
#include "fakes/FakeStore.h"
#include "fakes/ManualTimers.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace auburndoor;

namespace {

struct CommitQueueFixture
{
    CommitQueueFixture() : store(timers)
    {
        store.write(FencingRows::table, FencingRows::epochKey, "1");
        commitQueue = std::make_unique<CommitQueue>(
            timers, store, "node#1", store.row(FencingRows::table, FencingRows::epochKey)->version, 0, [this] { ++deposedCount; });
    }

    void put(const std::string &key,
             const std::string &value,
             CommitQueue::Urgency urgency = CommitQueue::Urgency::Urgent,
             std::function<void()> onStored = {})
    {
        const auto count = [this, onStored = std::move(onStored)] {
            ++durableCount;
            if (onStored) {
                onStored();
            }
        };
        commitQueue->put(
            "jobs", key, [value] { return std::optional(value); }, count, urgency);
    }

    ManualTimers timers;
    FakeStore store;
    std::unique_ptr<CommitQueue> commitQueue;
    int durableCount = 0;
    int deposedCount = 0;
};

} // namespace

TEST_CASE("rows that are put within the batch delay share one transaction")
{
    CommitQueueFixture fixture;
    const int before = fixture.store.commitCount();
    fixture.put("a", "1");
    fixture.put("b", "2");
    fixture.put("a", "3");
    fixture.timers.advance(Milliseconds(200));
    CHECK(fixture.store.commitCount() == before + 1);
    CHECK(fixture.store.row("jobs", "a")->value == "3");
    CHECK(fixture.durableCount == 3);
}

// Guards against an owner that is replaced at the end of each outage of the store, since others notice the end before it does.
TEST_CASE("rows are stored soon after the end of an outage, however long it lasted")
{
    CommitQueueFixture fixture;
    fixture.store.setDown(true);
    fixture.put("a", "1");
    fixture.timers.advance(Milliseconds(GENERATE(500, 1930, 4210)));
    CHECK(fixture.durableCount == 0);
    fixture.store.setDown(false);
    fixture.timers.advance(Milliseconds(200));
    CHECK(fixture.durableCount == 1);
}

// Guards against a record of progress for each single end of a task: the tasks of a step end within some tens of milliseconds, and
// each record holds all tasks of the job.
TEST_CASE("routine rows that are put shortly after each other share one write")
{
    CommitQueueFixture fixture;
    const int before = fixture.store.commitCount();
    constexpr int ends = 6;
    for (int end = 1; end <= ends; ++end) {
        fixture.put("a", std::to_string(end), CommitQueue::Urgency::Routine);
        fixture.timers.advance(Milliseconds(5));
    }
    fixture.timers.advance(Milliseconds(60));
    CHECK(fixture.store.commitCount() == before + 1);
    CHECK(fixture.store.row("jobs", "a")->value == std::to_string(ends));
    CHECK(fixture.durableCount == ends);
}

TEST_CASE("an urgent row does not wait for routine rows")
{
    CommitQueueFixture fixture;
    fixture.put("a", "1", CommitQueue::Urgency::Routine);
    fixture.put("b", "1");
    fixture.timers.advance(Milliseconds(20));
    CHECK(fixture.store.row("jobs", "b") != nullptr);
    CHECK(fixture.store.row("jobs", "a") == nullptr);
}

// Guards against an older value that overwrites a newer one when the store applies a transaction late.
TEST_CASE("a transaction whose answer was lost takes effect once, whenever it is applied")
{
    const auto applyAfter = GENERATE(Milliseconds(4), Milliseconds(900), Milliseconds(3000));
    CommitQueueFixture fixture;
    fixture.store.loseAnswers(1, applyAfter);
    fixture.put("a", "old");
    fixture.timers.advance(Milliseconds(700));
    fixture.put("a", "new");
    fixture.timers.advance(Milliseconds(6000));
    CHECK(fixture.store.row("jobs", "a")->value == "new");
    CHECK(fixture.durableCount == 2);
    CHECK(fixture.deposedCount == 0);
}

// Guards against writes of an owner that was suspended while another took over.
TEST_CASE("a deposed owner writes nothing and is told that it is deposed")
{
    CommitQueueFixture fixture;
    fixture.store.write(FencingRows::table, FencingRows::epochKey, "2");
    fixture.put("a", "1");
    fixture.timers.advance(Milliseconds(200));
    CHECK(fixture.store.row("jobs", "a") == nullptr);
    CHECK(fixture.deposedCount == 1);
    CHECK(fixture.durableCount == 0);
}

TEST_CASE("a transaction that is applied late has no effect after a takeover")
{
    CommitQueueFixture fixture;
    fixture.store.loseAnswers(5, Milliseconds(2000));
    fixture.put("a", "1");
    fixture.timers.advance(Milliseconds(100));
    fixture.store.write(FencingRows::table, FencingRows::epochKey, "2");
    fixture.timers.advance(Milliseconds(9000));
    CHECK(fixture.store.row("jobs", "a") == nullptr);
}

// Guards against a submission that is refused but stored: a row may be in the store once a transaction with it was sent.
TEST_CASE("a row can be withdrawn only until a transaction with it is sent")
{
    CommitQueueFixture fixture;
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

// Guards against an owner that stops before what it had to store is stored, and against one that goes on while new rows come.
TEST_CASE("a mark tells when the rows that were put before it are stored, and those put later do not count")
{
    CommitQueueFixture fixture;
    fixture.put("sent", "v");
    fixture.timers.advance(Milliseconds(14));
    fixture.put("waiting", "v", CommitQueue::Urgency::Routine);
    const auto mark = fixture.commitQueue->mark();
    // A row that waits since before the mark counts, whatever its value is by then.
    fixture.put("waiting", "w", CommitQueue::Urgency::Routine);
    CHECK_FALSE(fixture.commitQueue->isStoredUpTo(mark));
    int later = 0;
    while (!fixture.commitQueue->isStoredUpTo(mark) && later < 1000) {
        fixture.put("later" + std::to_string(later++), "v", CommitQueue::Urgency::Routine);
        fixture.timers.advance(Milliseconds(1));
    }
    CHECK(fixture.commitQueue->isStoredUpTo(mark));
    REQUIRE(fixture.store.row("jobs", "waiting") != nullptr);
    CHECK(fixture.store.row("jobs", "waiting")->value == "w");
    CHECK(fixture.store.row("jobs", "sent") != nullptr);
    CHECK_FALSE(fixture.commitQueue->isIdle());
}

TEST_CASE("the commit queue reports for how long the store has been unavailable")
{
    CommitQueueFixture fixture;
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

// Guards against a takeover from an owner with many waiting rows while the store is slow but accepts transactions.
TEST_CASE("a slow store that accepts transactions does not count as stalled")
{
    CommitQueueFixture fixture;
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
    CHECK(fixture.durableCount < rows);
}

// Guards against clients that wait behind routine rows while the store is slow, and against routine rows that are never stored.
TEST_CASE("urgent rows are stored before routine rows, and routine rows are not starved")
{
    CommitQueueFixture fixture;
    fixture.store.setAnswerTime(Milliseconds(200));
    constexpr int rows = 300;
    for (int row = 0; row < rows; ++row) {
        fixture.put("progress" + std::to_string(row), "v", CommitQueue::Urgency::Routine);
    }
    bool isStored = false;
    fixture.put("handed in", "v", CommitQueue::Urgency::Urgent, [&isStored] { isStored = true; });
    // A routine row that is put again as urgent becomes urgent.
    bool isEndStored = false;
    fixture.put("progress299", "end", CommitQueue::Urgency::Urgent, [&isEndStored] { isEndStored = true; });
    fixture.timers.advance(Milliseconds(260));
    CHECK(isStored);
    CHECK(isEndStored);
    const int before = fixture.durableCount;
    for (int row = 0; row < 10 * rows; ++row) {
        fixture.put("urgent" + std::to_string(row), "v");
    }
    fixture.timers.advance(Milliseconds(440));
    CHECK(fixture.store.row("jobs", "progress100") != nullptr);
    CHECK(fixture.durableCount > before);
}

// Guards against a row that the store never takes and that keeps all others from being stored, for this owner and each successor.
TEST_CASE("a row that the store does not take holds up no other")
{
    CommitQueueFixture fixture;
    constexpr std::size_t limit = 100;
    fixture.store.setMaxRowBytes(limit);
    constexpr int rows = 40;
    for (int row = 0; row < rows; ++row) {
        fixture.put(std::to_string(row), row % 13 == 5 ? std::string(limit + 1, 'x') : "v");
    }
    fixture.timers.advance(Milliseconds(1500));
    for (int row = 0; row < rows; ++row) {
        CHECK((fixture.store.row("jobs", std::to_string(row)) != nullptr) == (row % 13 != 5));
    }
    CHECK(fixture.commitQueue->rejectedRowCount() == 3);
    CHECK(fixture.durableCount == rows - 3);
    CHECK_FALSE(fixture.commitQueue->isStalled());
    CHECK(fixture.commitQueue->isIdle());
    CHECK(fixture.deposedCount == 0);
    // A row that shrinks is stored, and what waited for it is told.
    fixture.put("5", "small");
    fixture.timers.advance(Milliseconds(200));
    CHECK(fixture.store.row("jobs", "5")->value == "small");
    CHECK(fixture.durableCount == rows - 3 + 2);
    CHECK(fixture.commitQueue->withdraw("jobs", "18"));
}

// Guards against a transaction that is sent although one of its rows is known to be too large.
TEST_CASE("a row above the limit of the settings is not sent")
{
    CommitQueueFixture fixture;
    constexpr std::size_t limit = 100;
    fixture.commitQueue = std::make_unique<CommitQueue>(
        fixture.timers,
        fixture.store,
        "node#1",
        fixture.store.row(FencingRows::table, FencingRows::epochKey)->version,
        0,
        [&fixture] { ++fixture.deposedCount; },
        limit);
    fixture.store.setMaxRowBytes(limit);
    std::size_t size = limit + 1;
    fixture.commitQueue->put("jobs", "a", [&size] { return std::string(size, 'x'); });
    fixture.put("b", "v");
    fixture.timers.advance(Milliseconds(200));
    CHECK(fixture.store.row("jobs", "b") != nullptr);
    CHECK(fixture.store.rejectedCount() == 0);
    CHECK(fixture.commitQueue->rejectedRowCount() == 1);
    // It is tried again without another put().
    size = limit;
    fixture.timers.advance(Milliseconds(6000));
    CHECK(fixture.store.row("jobs", "a") != nullptr);
}
