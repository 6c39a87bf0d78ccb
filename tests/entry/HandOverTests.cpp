#include "dispatch/CommitQueue.h"
#include "entry/EpochRow.h"
#include "entry/LeadershipFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace auburndoor;

namespace {

/** A process that is too busy to accept connections: its queue of connections is full, so that further ones wait. */
class BusyListener
{
public:
    BusyListener()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
        REQUIRE(::listen(listener_, 0) == 0);
        socklen_t length = sizeof(address);
        REQUIRE(::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length) == 0);
        port_ = ntohs(address.sin_port);
        // One connection more than the queue of a listener without a backlog holds.
        for (auto &client : clients_) {
            client = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            const int result = ::connect(client, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
            REQUIRE((result == 0 || errno == EINPROGRESS));
        }
    }

    BusyListener(const BusyListener &) = delete;
    BusyListener &operator=(const BusyListener &) = delete;

    ~BusyListener()
    {
        std::for_each(clients_.begin(), clients_.end(), [](int client) { ::close(client); });
        ::close(listener_);
    }

    Address address() const
    {
        return { "127.0.0.1", port_ };
    }

private:
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::array<int, 3> clients_ {};
};

} // namespace

// Guards against a takeover without evidence: all processes of a large cell restart together, their connections wait in the owner's
// queue, and one whose connect times out replaces the owner while it reads the reports of the workers.
TEST_CASE("a process that has just started does not replace an owner that is slow to accept its connection")
{
    const double processorShare = GENERATE(0.12, 0.5);
    CAPTURE(processorShare);
    BusyListener busyOwner;
    EventLoop loop;
    FakeStore store(loop);
    store.write(FencingRows::table,
                FencingRows::epochKey,
                R"({"token":1,"owner":"busy","address":")" + busyOwner.address().text() + R"("})");
    EntrySettings settings;
    settings.nodeName = "started";
    settings.processorShare = processorShare;
    settings.peers = { "127.0.0.1", 1 };
    std::optional<Ownership> won;
    Leadership leadership(
        loop,
        store,
        settings,
        LeadershipTiming(),
        Leadership::Hooks { [&won](const Ownership &ownership) { won = ownership; }, [] { return std::nullopt; } });
    leadership.start();
    const auto runFor = [&loop](Milliseconds duration) {
        loop.after(duration, [&loop] { loop.stop(); });
        loop.run();
    };
    // Until its first heartbeat an owner has 2 s.
    runFor(Milliseconds(1800));
    CHECK_FALSE(won.has_value());
    // An owner that accepts no connection for longer is replaced nevertheless.
    runFor(Milliseconds(4000));
    CHECK(won.has_value());
}

// Guards against a takeover that waits for the next heartbeat and for chance, and against a successor that is the next to be
// stopped where processes are restarted in turn.
TEST_CASE("the process that was started last succeeds an owner that stops")
{
    constexpr Milliseconds settleTime { 800 };
    for (int round = 0; round < 3; ++round) {
        LeadershipFixture cell { 0.5, 0.5, 0.5, 0.1 };
        auto *former = cell.waitForOwner(1);
        REQUIRE(former != nullptr);
        cell.runFor(settleTime);
        cell.addProcesses(1);
        const auto &started = *cell.processes.back();
        cell.runFor(settleTime);
        former->release();
        REQUIRE(cell.waitForOwner(2) == &started);
        cell.runFor(settleTime);
        CHECK(cell.highestToken() == 2);
    }
}

// Guards against a stopping owner that names a process which is stopping as well, and would not take over.
TEST_CASE("a process that is stopping does not succeed an owner that stops")
{
    constexpr Milliseconds settleTime { 800 };
    LeadershipFixture cell { 0.5, 0.5 };
    auto *former = cell.waitForOwner(1);
    REQUIRE(former != nullptr);
    cell.addProcesses(1);
    cell.runFor(settleTime);
    auto &stopping = *cell.processes.back();
    stopping.leadership().disableTakeover();
    cell.runFor(settleTime);
    former->release();
    std::string namedSuccessor;
    for (Milliseconds passed { 0 }; passed < settleTime && namedSuccessor.empty(); passed += Milliseconds(1)) {
        cell.runFor(Milliseconds(1));
        const auto row = EpochRow::read(*cell.store.row(FencingRows::table, FencingRows::epochKey));
        namedSuccessor = row.owner.empty() ? row.address : std::string();
    }
    auto *successor = cell.waitForOwner(2);
    REQUIRE(successor != nullptr);
    CHECK(successor != &stopping);
    CHECK(successor != former);
    // The row that the former owner left named it, so that it had not to wait for a stopping process to pass the takeover by.
    CHECK(namedSuccessor == successor->address().text());
}

// Guards against a cell without an owner: the process that was named the successor is gone.
TEST_CASE("a successor that does not take over is replaced")
{
    LeadershipFixture cell { 0.5, 0.5 };
    REQUIRE(cell.waitForOwner(1) != nullptr);
    cell.store.write(FencingRows::table, FencingRows::epochKey, R"({"token":5,"owner":"","address":"127.0.0.1:1"})");
    for (const auto &process : cell.processes) {
        if (process->ownership) {
            process->depose();
        }
    }
    CHECK(cell.waitForOwner(6, Milliseconds(5000)) != nullptr);
}
