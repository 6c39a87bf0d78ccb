#include "dispatch/CommitQueue.h"
#include "entry/LeadershipFixture.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <vector>

using namespace auburndoor;

namespace {

/** A local address at which connections neither open nor are refused, as at a process with a full listen queue. */
class UnresponsiveAddress
{
public:
    UnresponsiveAddress()
    {
        constexpr int connections = 8;
        sockets_.push_back(socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        REQUIRE(bind(sockets_.front(), generic, length) == 0);
        REQUIRE(listen(sockets_.front(), 0) == 0);
        REQUIRE(getsockname(sockets_.front(), generic, &length) == 0);
        port_ = ntohs(address.sin_port);
        for (int number = 0; number < connections; ++number) {
            sockets_.push_back(socket(AF_INET, SOCK_STREAM, 0));
            fcntl(sockets_.back(), F_SETFL, O_NONBLOCK);
            static_cast<void>(connect(sockets_.back(), generic, length));
        }
    }
    ~UnresponsiveAddress()
    {
        for (const int descriptor : sockets_) {
            close(descriptor);
        }
    }
    UnresponsiveAddress(const UnresponsiveAddress &) = delete;
    UnresponsiveAddress &operator=(const UnresponsiveAddress &) = delete;

    Address address() const
    {
        return { "127.0.0.1", port_ };
    }

private:
    std::vector<int> sockets_;
    std::uint16_t port_ = 0;
};

} // namespace

TEST_CASE("of several processes that start together one becomes the owner, and the others get its heartbeats")
{
    LeadershipFixture fixture { 1.0, 1.0, 1.0 };
    auto *owner = fixture.waitForOwner(1);
    REQUIRE(owner != nullptr);
    fixture.runFor(Milliseconds(800));
    for (const auto &process : fixture.processes) {
        CHECK(process->ownership.has_value() == (process.get() == owner));
        CHECK(process->leadership().ownerAddress().has_value() == (process.get() != owner));
    }
    CHECK(owner->leadership().members().size() == 2);
}

// The pattern is metastable failure: an owner that is late because it reads the reports of a large cell is replaced, and its
// successor has to read them as well and is replaced in turn.
TEST_CASE("an owner that is late with its heartbeats and has announced it is not replaced, and a silent one is")
{
    LeadershipFixture fixture { 1.0, 1.0, 1.0, 1.0 };
    auto *owner = fixture.waitForOwner(1);
    REQUIRE(owner != nullptr);
    fixture.runFor(Milliseconds(300));
    const auto token = fixture.highestToken();
    owner->heartbeatLateness = Milliseconds(500);
    fixture.runFor(Milliseconds(2000));
    CHECK(fixture.highestToken() == token);
    owner->heartbeatLateness = Milliseconds(60000);
    CHECK(fixture.waitForOwner(token + 1, Milliseconds(10000)) != nullptr);
}

// The pattern is a judge without evidence: a process that has just started knows neither the owner's pace nor other processes that
// it could ask, and replaces an owner that is busy with the requests of many such processes.
TEST_CASE("a process that has just started does not replace an owner whose first heartbeat is late")
{
    LeadershipFixture fixture { 1.0 };
    auto *owner = fixture.waitForOwner(1);
    REQUIRE(owner != nullptr);
    const auto token = fixture.highestToken();
    owner->heartbeatLateness = Milliseconds(1200);
    for (int number = 1; number <= 3; ++number) {
        fixture.processes.push_back(
            std::make_unique<LeadershipProcess>(fixture.loop, fixture.store, "n" + std::to_string(number), 1.0));
    }
    fixture.runFor(Milliseconds(4000));
    CHECK(fixture.highestToken() == token);
    // An owner that does not answer at all is replaced by them nevertheless.
    owner->heartbeatLateness = Milliseconds(60000);
    CHECK(fixture.waitForOwner(token + 1, Milliseconds(10000)) != nullptr);
}

// The pattern is a judge without evidence: a connection that does not open in time, since its first packet is lost or the owner's
// listen queue is full, is no sign of a failed owner.
TEST_CASE(
    "a process that has just started does not replace an owner to which it cannot connect while that owner writes to the store")
{
    LeadershipFixture fixture {};
    const UnresponsiveAddress unresponsive;
    fixture.writeOwner(7, unresponsive.address());
    bool isOwnerWriting = true;
    int sequence = 0;
    std::function<void()> writeSequence = [&] {
        if (isOwnerWriting) {
            fixture.store.write(FencingRows::table, FencingRows::sequenceKey, std::to_string(++sequence));
            fixture.loop.after(Milliseconds(300), writeSequence);
        }
    };
    writeSequence();
    fixture.addProcesses(3);
    fixture.runFor(Milliseconds(6000));
    CHECK(fixture.highestToken() == 0);
    // An owner that has stopped writing is replaced by them nevertheless.
    isOwnerWriting = false;
    CHECK(fixture.waitForOwner(8, Milliseconds(4500)) != nullptr);
}

// Guards against a cold start that waits for an owner whose machine is lost: both bounds are small beside the 12 s in which the
// cell has to serve again.
TEST_CASE("processes that start together replace an owner that is gone")
{
    LeadershipFixture refused {};
    refused.writeOwner(7, { "127.0.0.1", 9 });
    refused.addProcesses(3);
    CHECK(refused.waitForOwner(8, Milliseconds(600)) != nullptr);
    LeadershipFixture silent {};
    const UnresponsiveAddress unresponsive;
    silent.writeOwner(7, unresponsive.address());
    silent.addProcesses(3);
    CHECK(silent.waitForOwner(8, Milliseconds(3200)) != nullptr);
}

// Guards against a cell that stays without an owner after a kill.
TEST_CASE("a killed owner is replaced by another process with a higher token")
{
    LeadershipFixture fixture { 1.0, 1.0, 1.0 };
    auto *first = fixture.waitForOwner(1);
    REQUIRE(first != nullptr);
    fixture.runFor(Milliseconds(600));
    const auto token = first->ownership->token;
    first->kill();
    auto *second = fixture.waitForOwner(token + 1);
    REQUIRE(second != nullptr);
    CHECK(second != first);
}

TEST_CASE("an owner that alone cannot write to the store is replaced, and one whose writes are accepted is not")
{
    LeadershipFixture fixture { 1.0, 1.0, 1.0 };
    auto *first = fixture.waitForOwner(1);
    REQUIRE(first != nullptr);
    fixture.runFor(Milliseconds(1500));
    const auto token = first->ownership->token;
    CHECK(fixture.highestToken() == token);
    first->storeStallDuration = Milliseconds(1000);
    auto *second = fixture.waitForOwner(token + 1);
    REQUIRE(second != nullptr);
    CHECK(second != first);
    first->depose();
    fixture.runFor(Milliseconds(800));
    CHECK(first->leadership().ownerAddress());
}

// Guards against a takeover at the moment at which the store becomes available again to all.
TEST_CASE("an owner keeps the ownership while the store answers nobody")
{
    LeadershipFixture fixture { 1.0, 1.0, 1.0 };
    auto *first = fixture.waitForOwner(1);
    REQUIRE(first != nullptr);
    fixture.runFor(Milliseconds(600));
    const auto token = first->ownership->token;
    fixture.store.setDown(true);
    first->storeStallDuration = Milliseconds(1000);
    fixture.runFor(Milliseconds(1500));
    first->storeStallDuration = Milliseconds(0);
    fixture.store.setDown(false);
    fixture.runFor(Milliseconds(800));
    CHECK(fixture.highestToken() == token);
}

// Guards against a takeover while the store is slow for all: the next owner has to read all tables, which takes longer than the
// writes that the former owner waits for.
TEST_CASE("an owner keeps the ownership while the store is slow for all")
{
    LeadershipFixture fixture { 1.0, 1.0, 1.0 };
    auto *first = fixture.waitForOwner(1);
    REQUIRE(first != nullptr);
    fixture.runFor(Milliseconds(600));
    const auto token = first->ownership->token;
    fixture.store.setAnswerTime(Milliseconds(240));
    first->storeStallDuration = Milliseconds(550);
    fixture.runFor(Milliseconds(2500));
    CHECK(fixture.highestToken() == token);
    // The store is as slow as before, and the owner's writes stall much longer than reads of the others take.
    first->storeStallDuration = Milliseconds(1500);
    auto *second = fixture.waitForOwner(token + 1);
    REQUIRE(second != nullptr);
    CHECK(second != first);
}

TEST_CASE("a released ownership is taken over by another process")
{
    LeadershipFixture fixture { 1.0, 1.0 };
    auto *first = fixture.waitForOwner(1);
    REQUIRE(first != nullptr);
    fixture.runFor(Milliseconds(600));
    const auto ownership = *first->ownership;
    first->leadership().release(ownership, [first] { first->ownership.reset(); });
    auto *second = fixture.waitForOwner(ownership.token + 1);
    REQUIRE(second != nullptr);
    CHECK(second != first);
}

TEST_CASE("a process on a large machine takes the ownership over from one on a small machine")
{
    LeadershipFixture fixture { 0.12 };
    auto *small = fixture.waitForOwner(1);
    REQUIRE(small != nullptr);
    fixture.processes.push_back(std::make_unique<LeadershipProcess>(fixture.loop, fixture.store, "large", 0.5));
    auto *large = fixture.waitForOwner(small->ownership->token + 1);
    REQUIRE(large != nullptr);
    CHECK(large != small);
}

// Guards against an owner that needs a second to read its tables, and whose starts wait on its link, while machines with fast links
// follow it.
TEST_CASE("a process with a fast link takes the ownership over from one with a slow link and as much of a processor")
{
    LeadershipFixture fixture {};
    fixture.processes.push_back(std::make_unique<LeadershipProcess>(fixture.loop, fixture.store, "slow", 0.3, 10.0));
    auto *slow = fixture.waitForOwner(1);
    REQUIRE(slow != nullptr);
    fixture.processes.push_back(std::make_unique<LeadershipProcess>(fixture.loop, fixture.store, "fast", 0.3, 200.0));
    auto *fast = fixture.waitForOwner(slow->ownership->token + 1);
    REQUIRE(fast != nullptr);
    CHECK(fast != slow);
}
