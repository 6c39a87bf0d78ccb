#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace auburndoor;

// Guards against an owner that is never freed: a call that waits for the store holds the owner, which holds the commit queue with
// the call. It goes on to follow the directory of workers, keeps all jobs, and the caller gets no answer.
TEST_CASE("an owner that has ended lets go of the calls that wait for the store")
{
    const auto kind = GENERATE(ClientCall::Kind::Cancel, ClientCall::Kind::Submit);
    CAPTURE(static_cast<int>(kind));
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { std::chrono::minutes(5), RunOutcome::Done }; };
    cell.takeOver();
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    cell.store.setDown(true);
    auto heldByCall = std::make_shared<int>(0);
    const std::weak_ptr<int> observer = heldByCall;
    ClientCall call;
    call.kind = kind;
    call.queue = "normal";
    call.job = kind == ClientCall::Kind::Cancel ? "00000000000000aa" : "00000000000000bb";
    call.body = jobBody(1, 1000);
    cell.owner->call(call, [heldByCall](const ClientResult &) {});
    heldByCall.reset();
    cell.timers.advance(Milliseconds(100));
    REQUIRE_FALSE(observer.expired());
    cell.killOwner();
    cell.store.setDown(false);
    cell.timers.advance(Milliseconds(10000));
    CHECK(observer.expired());
}
