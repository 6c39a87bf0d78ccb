#include "ownership/OwnershipCell.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <ostream>

using namespace auburndoor;
using namespace std::chrono_literals;

namespace {

constexpr int instanceCount = 4;

enum class Fault {
    None,
    Pause,
    Wake,
    Restart,
    /** A new process with the same id starts while the earlier one is only paused. */
    Replace,
    Stop,
    TableDown,
    TableReadOnly,
    TableUp,
    LoseAnswers,
    /** Another instance acts between the read and the next commit of some instance. */
    Interleave,
    Last = Interleave,
};

struct Event
{
    Fault fault = Fault::None;
    int instance = 0;
    Milliseconds pauseAfter { 0 };
};

std::ostream &operator<<(std::ostream &stream, const Event &event)
{
    return stream << "fault " << static_cast<int>(event.fault) << " at " << event.instance << ", then " << event.pauseAfter.count()
                  << " ms";
}

rc::Gen<Event> anyEvent()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(Fault::Last) + 1),
                                       rc::gen::inRange(0, instanceCount),
                                       rc::gen::inRange(0, 90)),
                        [](const auto &numbers) {
                            const auto &[fault, instance, pause] = numbers;
                            return Event { static_cast<Fault>(fault), instance, Milliseconds(100 * pause) };
                        });
}

void apply(OwnershipCell &cell, const Event &event)
{
    auto &node = *cell.nodes.at(event.instance);
    switch (event.fault) {
    case Fault::None:
        break;
    case Fault::Pause:
        node.isPaused = true;
        break;
    case Fault::Wake:
        node.isPaused = false;
        break;
    case Fault::Restart:
        cell.start(event.instance);
        break;
    case Fault::Replace:
        node.isPaused = true;
        cell.nodes[instanceCount + static_cast<int>(cell.nodes.size())] = std::move(cell.nodes.at(event.instance));
        cell.start(event.instance);
        break;
    case Fault::Stop:
        node.agent->beginLeaving();
        node.agent->release(cell.clock.now() + 1s);
        cell.start(event.instance);
        break;
    case Fault::TableDown:
        cell.store.setDown(true);
        break;
    case Fault::TableReadOnly:
        cell.table.isReadOnly = true;
        break;
    case Fault::TableUp:
        cell.store.setDown(false);
        cell.table.isReadOnly = false;
        break;
    case Fault::LoseAnswers:
        cell.store.loseAnswers(3);
        break;
    case Fault::Interleave:
        cell.table.beforeCommit = [&cell, number = event.instance](const Transaction &transaction) {
            auto &other = *cell.nodes.at(number);
            const bool isOwnCommit = transaction.writes.front().value
                                     && transaction.writes.front().value->find(other.options.id.text()) != std::string::npos;
            if (!isOwnCommit && !other.isPaused) {
                other.next = other.agent->step();
            }
        };
        break;
    }
}

void endFaults(OwnershipCell &cell)
{
    cell.table.beforeCommit = {};
    cell.store.loseAnswers(0);
    cell.store.setDown(false);
    cell.table.isReadOnly = false;
    for (const auto &[number, node] : cell.nodes) {
        node->isPaused = false;
    }
}

} // namespace

TEST_CASE("under any faults no epoch has two owners, and all shards have owners after them", "[ownership]")
{
    // Guards against split ownership, falling epochs, shards that stay without an owner, and writes that never calm down.
    const bool isHeld = rc::check("ownership", [] {
        const auto events = *rc::gen::container<std::vector<Event>>(anyEvent());
        OwnershipCell cell;
        for (int number = 0; number < instanceCount; ++number) {
            cell.start(number);
        }
        for (const auto &event : events) {
            apply(cell, event);
            cell.run(event.pauseAfter);
        }
        endFaults(cell);
        cell.run(60s);
        RC_ASSERT(cell.violations == std::vector<std::string>());
        RC_ASSERT(cell.isWhole());
        const auto before = cell.store.commitCount();
        cell.run(20s);
        RC_ASSERT(cell.store.commitCount() - before <= instanceCount * 10);
    });
    CHECK(isHeld);
}

TEST_CASE("two instances that act on the same read do not both take a shard", "[ownership]")
{
    // The second round is the negative control: without checks the recorder sees two owners of one epoch, so the property can fail.
    const bool isChecked = GENERATE(true, false);
    OwnershipCell cell;
    if (!isChecked) {
        cell.table.isCheckDropped = [](const RowCheck &) { return true; };
    }
    cell.start(0);
    auto &other = cell.start(1);
    cell.run(1s);
    // The other one stops before its first take, is taken for dead, and wakes between the read and the commit of its shards'
    // takeover.
    other.isPaused = true;
    cell.table.beforeCommit = [&](const Transaction &transaction) {
        if (other.isPaused && transaction.writes.front().key.starts_with("shard/west")) {
            other.isPaused = false;
            other.next = other.agent->step();
        }
    };
    cell.run(20s);
    CHECK_FALSE(other.isPaused);
    CHECK(cell.violations.empty() == isChecked);
}
