#include "dispatch/CommitQueue.h"
#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against a process that was suspended while it was the owner, and that answers NoSuchJob for a job of its successor when it
// goes on.
TEST_CASE("an owner that does not know that it was replaced does not answer that a job of its successor does not exist")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    auto *formerOwner = cell.owner.get();
    cell.takeOver(false);
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    const auto callAndWait = [&](Owner &owner, ClientCall::Kind kind, const std::string &job) {
        ClientCall call;
        call.kind = kind;
        call.job = job;
        std::optional<ClientResult::Outcome> outcome;
        owner.call(call, [&outcome](const ClientResult &result) { outcome = result.outcome; });
        cell.timers.advance(Milliseconds(100));
        return outcome;
    };
    CHECK(callAndWait(*cell.owner, ClientCall::Kind::Query, "00000000000000bb") == ClientResult::Outcome::NoSuchJob);
    CHECK(callAndWait(*cell.owner, ClientCall::Kind::Cancel, "00000000000000bb") == ClientResult::Outcome::NoSuchJob);
    CHECK(callAndWait(*formerOwner, ClientCall::Kind::Query, "00000000000000aa") == ClientResult::Outcome::OwnerChanged);
}

// Guards against a process that was suspended while it was the owner, and that shows outdated state when it goes on, after its
// successor has changed it.
TEST_CASE("an owner that was suspended checks in the store that it still is the owner before it answers or starts anything")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    auto *formerOwner = cell.owner.get();
    const auto callAndWait = [&](Owner &owner) {
        ClientCall call;
        call.kind = ClientCall::Kind::Query;
        call.job = "00000000000000aa";
        std::optional<ClientResult::Outcome> outcome;
        owner.call(call, [&outcome](const ClientResult &result) { outcome = result.outcome; });
        cell.timers.advance(Milliseconds(100));
        return outcome;
    };
    cell.timers.suspend(Milliseconds(1000));
    CHECK(callAndWait(*formerOwner) == ClientResult::Outcome::Answered);
    cell.takeOver(false);
    cell.timers.suspend(Milliseconds(1000));
    CHECK(callAndWait(*formerOwner) == ClientResult::Outcome::OwnerChanged);
    CHECK(callAndWait(*cell.owner) == ClientResult::Outcome::Answered);
}

// Guards against a process that was suspended for less than a heartbeat's period and the time after which its followers replace it:
// a heartbeat that was due when the suspension began is lost after 350 ms.
TEST_CASE("an owner that was replaced during a suspension of less than half a second does not answer any more")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    auto *formerOwner = cell.owner.get();
    cell.timers.advance(Milliseconds(100));
    cell.store.write(FencingRows::table, FencingRows::epochKey, "token 2");
    cell.timers.suspend(Milliseconds(420));
    ClientCall call;
    call.kind = ClientCall::Kind::Query;
    call.job = "00000000000000aa";
    std::optional<ClientResult::Outcome> outcome;
    formerOwner->call(call, [&outcome](const ClientResult &result) { outcome = result.outcome; });
    cell.timers.advance(Milliseconds(100));
    CHECK(outcome == ClientResult::Outcome::OwnerChanged);
}

// Guards against an owner that does not know that it was replaced, has nothing to write, and counts the jobs of its own time only.
TEST_CASE("an owner that was replaced without its knowledge does not answer how many jobs are pending")
{
    OwnerFixture cell;
    cell.takeOver();
    auto *formerOwner = cell.owner.get();
    cell.timers.advance(Milliseconds(2000));
    cell.takeOver(false);
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(2000));
    const auto count = [&cell](Owner &owner) {
        ClientCall call;
        call.kind = ClientCall::Kind::CountPending;
        call.queue = "normal";
        ClientResult answer;
        owner.call(call, [&answer](const ClientResult &result) { answer = result; });
        cell.timers.advance(Milliseconds(100));
        return answer;
    };
    CHECK(count(*cell.owner).pending == 1);
    CHECK(count(*formerOwner).outcome == ClientResult::Outcome::OwnerChanged);
}
