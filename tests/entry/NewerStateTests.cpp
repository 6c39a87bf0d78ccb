#include "entry/LeadershipFixture.h"

using namespace auburndoor;

// Guards against a process, also the owner, that keeps an old desired state while the store is silent for it.
TEST_CASE("owner and followers tell each other of a newer desired state", "[newer-state]")
{
    LeadershipFixture fixture({ 1.0, 1.0 });
    auto *owner = fixture.waitForOwner(1);
    REQUIRE(owner != nullptr);
    auto *follower = fixture.processes[owner == fixture.processes[0].get() ? 1 : 0].get();
    fixture.runFor(Milliseconds(1000));
    CHECK_FALSE(owner->leadership().holderOfNewerState(1));
    CHECK_FALSE(follower->leadership().holderOfNewerState(1));

    follower->desiredStateVersion = 2;
    fixture.runFor(Milliseconds(1000));
    REQUIRE(owner->leadership().holderOfNewerState(1));
    CHECK(owner->leadership().holderOfNewerState(1)->text() == follower->address().text());
    CHECK_FALSE(owner->leadership().holderOfNewerState(2));

    owner->desiredStateVersion = 3;
    fixture.runFor(Milliseconds(1000));
    REQUIRE(follower->leadership().holderOfNewerState(2));
    CHECK(follower->leadership().holderOfNewerState(2)->text() == owner->address().text());

    // A follower that has ended cannot supply its version.
    follower->kill();
    fixture.runFor(Milliseconds(2500));
    CHECK_FALSE(owner->leadership().holderOfNewerState(1));
}
