#include "entry/DesiredStateFixture.h"
#include "fakes/CapturedLog.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

/** A store that has lost its history, and with it its newest rows: it answers the next request for changes so. */
class ForgetfulStore : public RowCountingStore
{
public:
    explicit ForgetfulStore(Timers &timers) : RowCountingStore(timers), timers_(timers)
    {
    }

    void changes(const std::string &table, std::int64_t after, Milliseconds wait, Callback callback) override
    {
        if (!std::exchange(hasForgotten, false)) {
            RowCountingStore::changes(table, after, wait, std::move(callback));
            return;
        }
        ++forgottenCount;
        timers_.after(Milliseconds(4), [callback = std::move(callback)] {
            callback({ StoreOutcome::HistoryCompacted, 0, {}, {} });
        });
    }

    bool hasForgotten = false;
    int forgottenCount = 0;

private:
    Timers &timers_;
};

} // namespace

// Guards against a removed key that is valid again: by an older row, by the copy of another process, or by a store that has lost
// its newest rows.
TEST_CASE("the version in force never goes back", "[desired-state]")
{
    ManualTimers timers;
    ForgetfulStore store(timers);
    StoreTimeline timeline;
    platform::PlatformProtocol protocol;
    Metrics metrics;
    DesiredStateHolder holder(
        timers, store, timeline, protocol, [](const DesiredState &) {}, metrics);
    const auto write = [&](int version, const std::string &keys) {
        store.write(protocol.operatorTable(), protocol.desiredStateKey(), desiredStateText(version, keys));
    };
    write(5, R"("kept")");
    holder.start();
    timers.advance(Milliseconds(50));
    REQUIRE(holder.current().version == 5);

    holder.takeCopy(desiredStateText(4, R"("kept","removed")"));
    CHECK(holder.current().version == 5);
    write(4, R"("kept","removed")");
    timers.advance(Milliseconds(1500));
    CHECK(holder.current().version == 5);
    holder.runWhenFresh(0, [] {});
    timers.advance(Milliseconds(50));
    CHECK(holder.current().version == 5);
    store.hasForgotten = true;
    timers.advance(Milliseconds(1500));
    CHECK(store.forgottenCount == 1);
    CHECK(holder.current().version == 5);
    store.remove(protocol.operatorTable(), protocol.desiredStateKey());
    timers.advance(Milliseconds(1500));
    CHECK(holder.current().version == 5);
    CHECK(holder.current().accountOfKey("removed") == nullptr);

    // A store that has forgotten its history is read as a whole, so that a later version is not missed.
    write(6, R"("added")");
    store.hasForgotten = true;
    timers.advance(Milliseconds(1500));
    CHECK(holder.current().version == 6);
    CHECK(holder.current().accountOfKey("kept") == nullptr);
}

// Guards against a process that serves keys which were removed before it started, since the owner lags behind the store.
TEST_CASE("a process that has just started takes no other process's copy while the store may answer", "[desired-state]")
{
    DesiredStateFixture fixture;
    fixture.write(5, R"("kept")");
    fixture.store.setAnswerTime(Milliseconds(700));
    fixture.holder.start();
    fixture.timers.advance(Milliseconds(300));
    fixture.holder.takeCopy(desiredStateText(4, R"("kept","removed")"));
    CHECK(fixture.holder.current().version == 0);
    fixture.timers.advance(Milliseconds(410));
    CHECK(fixture.holder.current().version == 5);
    CHECK(fixture.holder.current().accountOfKey("removed") == nullptr);
}

// Guards against a process that the store does not answer and that therefore never serves, or never returns to the store.
TEST_CASE("without an answer of the store a process takes another one's copy, and then the store's row", "[desired-state]")
{
    DesiredStateFixture fixture;
    fixture.write(5, R"("kept")");
    fixture.link.isCut = GENERATE(false, true);
    fixture.link.refusesReads = !fixture.link.isCut;
    fixture.holder.start();
    fixture.timers.advance(Milliseconds(1000));
    fixture.holder.takeCopy(desiredStateText(4, R"("kept","removed")"));
    CHECK(fixture.holder.current().version == 4);
    fixture.link.isCut = false;
    fixture.link.refusesReads = false;
    fixture.timers.advance(Milliseconds(800));
    CHECK(fixture.holder.current().version == 5);
}

// Guards against a change for deployments without accounts: a copy without accounts cannot hold a removed key.
TEST_CASE("a copy without accounts is taken at once", "[desired-state]")
{
    DesiredStateFixture fixture;
    fixture.link.isCut = true;
    fixture.holder.start();
    fixture.holder.takeCopy(R"({"version":3,"services":[],"routes":[]})");
    CHECK(fixture.holder.current().version == 3);
}

// Guards against keys in the log, also those of a row that cannot be read.
TEST_CASE("no key of the desired state is logged", "[desired-state]")
{
    CapturedLog log;
    DesiredStateFixture fixture;
    fixture.write(1, R"("secret-a")");
    fixture.holder.start();
    fixture.timers.advance(Milliseconds(50));
    auto text = desiredStateText(2, R"("secret-b")");
    text.pop_back();
    fixture.store.write(fixture.protocol.operatorTable(), fixture.protocol.desiredStateKey(), text);
    fixture.timers.advance(Milliseconds(1500));
    fixture.holder.takeCopy(text);
    CHECK(fixture.holder.current().version == 1);
    CHECK(log.lines("desired.taken").size() == 1);
    const auto unreadable = log.lines("desired.unreadable");
    REQUIRE_FALSE(unreadable.empty());
    CHECK(unreadable.front().at("bytes") == text.size());
    CHECK(log.search("secret").empty());
}
