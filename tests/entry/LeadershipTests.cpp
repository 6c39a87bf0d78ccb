#include "dispatch/CommitQueue.h"
#include "entry/Leadership.h"
#include "fakes/FakeStore.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>

using namespace auburndoor;

namespace {

/** One process as far as leadership is concerned: its listener for peers and what it would say as the owner. */
class Process
{
public:
    Process(EventLoop &loop, StateStore &store, const std::string &name, double processorShare)
        : store_(store)
        , listener_(std::make_unique<HttpListener>(loop,
                                                   HttpListenerLimits(),
                                                   [this](const WebRequest &request, const HttpResponderPointer &responder) {
                                                       if (!leadership_) {
                                                           responder->abandon();
                                                       } else if (request.target.starts_with(PeerCodec::heartbeatPath)) {
                                                           leadership_->answerHeartbeat(request, responder);
                                                       } else {
                                                           leadership_->answerOwnerView(responder);
                                                       }
                                                   }))
    {
        settings_.nodeName = name;
        settings_.processorShare = processorShare;
        std::string error;
        REQUIRE(listener_->listen({ "127.0.0.1", 0 }, error));
        settings_.peers = { "127.0.0.1", listener_->port() };
        LeadershipTiming timing;
        timing.isolationWait = Milliseconds(300);
        leadership_ = std::make_unique<Leadership>(
            loop,
            store_,
            settings_,
            timing,
            Leadership::Hooks { [this](const Ownership &won) { ownership = won; }, [this] { return ownHeartbeat(); } });
        leadership_->start();
    }

    /** Ends as a killed process does. */
    void kill()
    {
        ownership.reset();
        leadership_.reset();
        listener_.reset();
    }

    /** What an owner does when a write of its is refused. */
    void depose()
    {
        ownership.reset();
        leadership_->stepDown();
    }

    Leadership &leadership()
    {
        return *leadership_;
    }

    std::optional<Ownership> ownership;
    Milliseconds storeStallDuration { 0 };

private:
    std::optional<OwnerHeartbeat> ownHeartbeat()
    {
        if (!ownership) {
            return std::nullopt;
        }
        OwnerHeartbeat heartbeat { settings_.nodeName,       ownership->token,      storeStallDuration, true, 1,
                                   settings_.processorShare, leadership_->members() };
        return heartbeat;
    }

    StateStore &store_;
    EntrySettings settings_;
    std::unique_ptr<HttpListener> listener_;
    std::unique_ptr<Leadership> leadership_;
};

struct Cell
{
    explicit Cell(std::initializer_list<double> shares) : store(loop)
    {
        for (const double share : shares) {
            processes.push_back(std::make_unique<Process>(loop, store, "n" + std::to_string(processes.size()), share));
        }
    }

    void runFor(Milliseconds time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    /** Runs until one process owns the cell with at least this token. @return null if none does within the limit */
    Process *waitForOwner(std::int64_t token, Milliseconds limit = Milliseconds(20000))
    {
        for (Milliseconds passed { 0 }; passed < limit; passed += Milliseconds(20)) {
            runFor(Milliseconds(20));
            for (const auto &process : processes) {
                if (process->ownership && process->ownership->token >= token) {
                    return process.get();
                }
            }
        }
        return nullptr;
    }

    /** The owners whose token the store names; an earlier owner may not know yet that it is deposed. */
    std::int64_t highestToken() const
    {
        std::int64_t highest = 0;
        for (const auto &process : processes) {
            highest = std::max(highest, process->ownership ? process->ownership->token : 0);
        }
        return highest;
    }

    EventLoop loop;
    FakeStore store;
    std::vector<std::unique_ptr<Process>> processes;
};

} // namespace

TEST_CASE("of several processes that start together one owns the cell, and the others hear it")
{
    Cell cell { 1.0, 1.0, 1.0 };
    auto *owner = cell.waitForOwner(1);
    REQUIRE(owner != nullptr);
    cell.runFor(Milliseconds(800));
    for (const auto &process : cell.processes) {
        CHECK(process->ownership.has_value() == (process.get() == owner));
        CHECK(process->leadership().ownerAddress().has_value() == (process.get() != owner));
    }
    CHECK(owner->leadership().members().size() == 2);
}

// Guards against a cell that stays without an owner.
TEST_CASE("a killed owner is followed by another one with a higher token")
{
    Cell cell { 1.0, 1.0, 1.0 };
    auto *first = cell.waitForOwner(1);
    REQUIRE(first != nullptr);
    cell.runFor(Milliseconds(600));
    const auto token = first->ownership->token;
    first->kill();
    auto *second = cell.waitForOwner(token + 1);
    REQUIRE(second != nullptr);
    CHECK(second != first);
}

TEST_CASE("an owner that has lost the store alone is replaced, and one that is heard is not")
{
    Cell cell { 1.0, 1.0, 1.0 };
    auto *first = cell.waitForOwner(1);
    REQUIRE(first != nullptr);
    cell.runFor(Milliseconds(1500));
    const auto token = first->ownership->token;
    CHECK(cell.highestToken() == token);
    first->storeStallDuration = Milliseconds(1000);
    auto *second = cell.waitForOwner(token + 1);
    REQUIRE(second != nullptr);
    CHECK(second != first);
    first->depose();
    cell.runFor(Milliseconds(800));
    CHECK(first->leadership().ownerAddress());
}

// Guards against a takeover at the moment at which the store returns for all.
TEST_CASE("an owner keeps the cell while the store answers nobody")
{
    Cell cell { 1.0, 1.0, 1.0 };
    auto *first = cell.waitForOwner(1);
    REQUIRE(first != nullptr);
    cell.runFor(Milliseconds(600));
    const auto token = first->ownership->token;
    cell.store.setDown(true);
    first->storeStallDuration = Milliseconds(1000);
    cell.runFor(Milliseconds(1500));
    first->storeStallDuration = Milliseconds(0);
    cell.store.setDown(false);
    cell.runFor(Milliseconds(800));
    CHECK(cell.highestToken() == token);
}

// Guards against a takeover while the store is slow: the next owner reads everything again, slower than the writes that it waits
// for.
TEST_CASE("an owner keeps the cell while the store is slow for all")
{
    Cell cell { 1.0, 1.0, 1.0 };
    auto *first = cell.waitForOwner(1);
    REQUIRE(first != nullptr);
    cell.runFor(Milliseconds(600));
    const auto token = first->ownership->token;
    cell.store.setAnswerTime(Milliseconds(240));
    first->storeStallDuration = Milliseconds(550);
    cell.runFor(Milliseconds(2500));
    CHECK(cell.highestToken() == token);
    // The store is as slow, and the owner alone does not reach it.
    first->storeStallDuration = Milliseconds(1500);
    auto *second = cell.waitForOwner(token + 1);
    REQUIRE(second != nullptr);
    CHECK(second != first);
}

TEST_CASE("a released cell is taken over at once by another process")
{
    Cell cell { 1.0, 1.0 };
    auto *first = cell.waitForOwner(1);
    REQUIRE(first != nullptr);
    cell.runFor(Milliseconds(600));
    const auto ownership = *first->ownership;
    first->leadership().release(ownership, [first] { first->ownership.reset(); });
    auto *second = cell.waitForOwner(ownership.token + 1);
    REQUIRE(second != nullptr);
    CHECK(second != first);
}

TEST_CASE("a larger process takes the cell over from a small one")
{
    Cell cell { 0.12 };
    auto *small = cell.waitForOwner(1);
    REQUIRE(small != nullptr);
    cell.processes.push_back(std::make_unique<Process>(cell.loop, cell.store, "large", 0.5));
    auto *large = cell.waitForOwner(small->ownership->token + 1);
    REQUIRE(large != nullptr);
    CHECK(large != small);
}
