#include "entry/DesiredStateRefresh.h"

#include "entry/DesiredStateFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

/** A refresh of the row "t/k", and the text of that row as it was last read. */
struct RefreshFixture
{
    explicit RefreshFixture(RefreshLimits limits = {})
        : refresh(
            timers,
            link,
            { "t", "k" },
            [this] { return knownVersion; },
            [this](const StoreResult &result) {
                for (const auto &row : result.rows) {
                    text = row.value;
                    knownVersion = isFollowed ? row.version : 0;
                }
            },
            limits)
    {
        store.setAnswerTime(Milliseconds(4));
        store.write("t", "k", "old");
    }

    /** Starts an action that notes the text that it finds in seen, and when it ran. */
    void start(std::size_t bytes = 1)
    {
        refresh.runWhenFresh(bytes, [this, startedAt = timers.now()] {
            seen = text;
            ++runCount;
            longestWait = std::max(longestWait, std::chrono::duration_cast<Milliseconds>(timers.now() - startedAt));
        });
    }

    ManualTimers timers;
    RowCountingStore store { timers };
    PartitionedStore link { timers, store };
    /** The version after which changes are asked for; 0 reads the row itself. */
    std::int64_t knownVersion = 0;
    bool isFollowed = false;
    std::string text;
    std::string seen;
    int runCount = 0;
    Milliseconds longestWait { 0 };
    DesiredStateRefresh refresh;
};

} // namespace

// Guards against a reading for each of many calls with unknown keys, and against calls that are decided before the reply.
TEST_CASE("actions that arrive together share one reading of the row", "[refresh]")
{
    RefreshFixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.start();
    }
    CHECK(fixture.runCount == 0);
    fixture.timers.advance(Milliseconds(5));
    CHECK(fixture.runCount == 100);
    CHECK(fixture.seen == "old");
    CHECK(fixture.store.readCount == 1);

    // A reading that is less than 100 ms old serves later actions at once.
    fixture.timers.advance(Milliseconds(90));
    fixture.start();
    CHECK(fixture.runCount == 101);
    CHECK(fixture.store.readCount == 1);
}

// Guards against a store that a flood of unknown keys keeps busy, and against calls that wait for longer than two readings take.
TEST_CASE("a flood of actions causes at most 5 readings a second", "[refresh]")
{
    RefreshFixture fixture;
    for (int i = 0; i < 10000; ++i) {
        fixture.start();
        fixture.timers.advance(Milliseconds(1));
    }
    fixture.timers.advance(Milliseconds(400));
    CHECK(fixture.store.readCount <= 51);
    CHECK(fixture.store.readCount >= 40);
    CHECK(fixture.runCount == 10000);
    CHECK(fixture.longestWait <= Milliseconds(210));
}

// Guards against a reply that was requested long before an action arrived: a newer row may have been written in between.
TEST_CASE("a reading that is older than the limit does not serve an action", "[refresh]")
{
    RefreshFixture fixture;
    fixture.store.setAnswerTime(Milliseconds(180));
    fixture.start();
    fixture.timers.advance(Milliseconds(150));
    fixture.store.write("t", "k", "new");
    fixture.start();
    fixture.timers.advance(Milliseconds(40));
    CHECK(fixture.runCount == 1);
    CHECK(fixture.seen == "old");
    fixture.timers.advance(Milliseconds(200));
    CHECK(fixture.runCount == 2);
    CHECK(fixture.seen == "new");
}

// Guards against calls that hang while the store is silent, and against requests that take all connections to it.
TEST_CASE("without an answer of the store an action runs after the timeout", "[refresh]")
{
    RefreshFixture fixture;
    fixture.link.isCut = true;
    fixture.start();
    fixture.timers.advance(Milliseconds(399));
    CHECK(fixture.runCount == 0);
    fixture.timers.advance(Milliseconds(1));
    CHECK(fixture.runCount == 1);
    CHECK(fixture.seen.empty());

    // Once the store answers again, its row is read.
    fixture.link.isCut = false;
    fixture.timers.advance(Milliseconds(2000));
    fixture.start();
    fixture.timers.advance(Milliseconds(10));
    CHECK(fixture.seen == "old");
}

// Guards against a call that is refused since one reading has failed, although the store answers the next one.
TEST_CASE("a reading that fails is repeated while actions wait", "[refresh]")
{
    RefreshFixture fixture;
    fixture.link.refusesReads = true;
    fixture.start();
    fixture.timers.advance(Milliseconds(100));
    CHECK(fixture.runCount == 0);
    fixture.link.refusesReads = false;
    fixture.timers.advance(Milliseconds(110));
    CHECK(fixture.runCount == 1);
    CHECK(fixture.seen == "old");
    CHECK(fixture.store.readCount == 1);
}

// Guards against waiting calls that take the memory of a small machine.
TEST_CASE("the number and the bytes of waiting actions are bounded", "[refresh]")
{
    RefreshFixture fixture({ .maxWaiting = 3, .maxWaitingBytes = 100 });
    fixture.link.isCut = true;
    SECTION("number")
    {
        for (int i = 0; i < 5; ++i) {
            fixture.start();
        }
        CHECK(fixture.runCount == 2);
    }
    SECTION("bytes")
    {
        fixture.start(60);
        fixture.start(60);
        CHECK(fixture.runCount == 1);
    }
    fixture.timers.advance(Milliseconds(400));
    const auto before = fixture.runCount;
    fixture.start(100);
    CHECK(fixture.runCount == before);
    fixture.timers.advance(Milliseconds(400));
    CHECK(fixture.runCount == before + 1);
}
