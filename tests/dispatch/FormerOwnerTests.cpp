#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against a process that was suspended as the owner and says, on its return, that a job of its successor does not exist.
TEST_CASE("an owner that was replaced unnoticed does not say that a job of its successor does not exist")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    auto *former = cell.owner.get();
    cell.takeOver(false);
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    const auto ask = [&](Owner &owner, ClientCall::Kind kind, const std::string &job) {
        ClientCall call;
        call.kind = kind;
        call.job = job;
        std::optional<ClientResult::Outcome> outcome;
        owner.call(call, [&outcome](const ClientResult &result) { outcome = result.outcome; });
        cell.timers.advance(Milliseconds(100));
        return outcome;
    };
    CHECK(ask(*cell.owner, ClientCall::Kind::Query, "00000000000000bb") == ClientResult::Outcome::NoSuchJob);
    CHECK(ask(*cell.owner, ClientCall::Kind::Cancel, "00000000000000bb") == ClientResult::Outcome::NoSuchJob);
    CHECK(ask(*former, ClientCall::Kind::Query, "00000000000000aa") == ClientResult::Outcome::OwnerChanged);
}

// Guards against a process that was suspended as the owner and shows, on its return, what was so before its successor went on.
TEST_CASE("an owner that was suspended asks the store whether it still is the owner before it answers or starts anything")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    auto *former = cell.owner.get();
    const auto ask = [&](Owner &owner) {
        ClientCall call;
        call.kind = ClientCall::Kind::Query;
        call.job = "00000000000000aa";
        std::optional<ClientResult::Outcome> outcome;
        owner.call(call, [&outcome](const ClientResult &result) { outcome = result.outcome; });
        cell.timers.advance(Milliseconds(100));
        return outcome;
    };
    cell.timers.suspend(Milliseconds(1000));
    CHECK(ask(*former) == ClientResult::Outcome::Answered);
    cell.takeOver(false);
    cell.timers.suspend(Milliseconds(1000));
    CHECK(ask(*former) == ClientResult::Outcome::OwnerChanged);
    CHECK(ask(*cell.owner) == ClientResult::Outcome::Answered);
}
