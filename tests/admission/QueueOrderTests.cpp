#include "admission/FairDeadlineOrder.h"
#include "admission/FifoOrder.h"
#include "admission/ShareAccounts.h"
#include "core/ManualClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace auburndoor;

namespace {

const Resources oneSlot { 1000, 1024, 0, 1, 1 };
const Resources capacity { 8000, 65'536, 0, 8, 64 };

/** A queue with entries of its own; time in ms since its start. */
struct Bench
{
    explicit Bench(const FairDeadlineOptions &options = {}) : order(shares, options)
    {
        shares.setCapacity(capacity, capacity);
    }

    const QueueEntry &add(const std::string &team,
                          Priority priority,
                          int arrivalMs = 0,
                          int deadlineMs = 1'000'000,
                          bool isLong = false)
    {
        QueueEntry entry { RequestId(std::to_string(entries.size())), TeamId(team), priority, oneSlot, isLong, {}, {}, {} };
        entry.arrival = start + Milliseconds(arrivalMs);
        entry.deadline = start + Milliseconds(deadlineMs);
        entries.push_back(entry);
        order.add(entries.back());
        return entries.back();
    }

    /** Starts the head. @return its team and number */
    const QueueEntry *startHead(int nowMs)
    {
        const auto heads = order.heads(start + Milliseconds(nowMs), 1);
        if (heads.empty()) {
            return nullptr;
        }
        order.remove(*heads[0]);
        order.started(*heads[0], 0);
        return heads[0];
    }

    const TimePoint start = ManualClock().now();
    ShareAccounts shares;
    FairDeadlineOrder order;
    std::deque<QueueEntry> entries;
};

FairDeadlineOptions withoutOverdueTurns()
{
    FairDeadlineOptions options;
    options.overduePeriod = 1'000'000;
    return options;
}

/** Urgent work arrives as fast as it starts. @return starts until the Background entry starts; 2,000 if it does not */
int startsUntilBackground(const FairDeadlineOptions &options)
{
    Bench bench(options);
    const auto &background = bench.add("patient", Priority::Background);
    constexpr int startLimit = 2000;
    constexpr int stepMs = 10;
    for (int start = 0; start < startLimit; ++start) {
        bench.add("busy", Priority::Urgent, start * stepMs);
        bench.add("busy", Priority::Urgent, start * stepMs);
        if (bench.startHead(start * stepMs) == &background) {
            return start;
        }
    }
    return startLimit;
}

} // namespace

TEST_CASE("urgent work is first, then the team with the lowest weighted share, then the earliest deadline", "[admission]")
{
    // Guards against an order in which one of the three rules masks another.
    Bench bench;
    bench.shares.setTeams(
        { { TeamId("heavy"), { TeamId("heavy"), {}, 4, {} } }, { TeamId("light"), { TeamId("light"), {}, 1, {} } } });
    bench.shares.setUse({ { TeamId("heavy"), oneSlot + oneSlot }, { TeamId("light"), oneSlot } });
    const auto &light = bench.add("light", Priority::Normal, 0, 100'000);
    const auto &heavyLate = bench.add("heavy", Priority::Normal, 0, 900'000);
    const auto &heavyEarly = bench.add("heavy", Priority::Normal, 0, 800'000);
    const auto &background = bench.add("idle", Priority::Background, 0, 50'000);
    const auto &urgent = bench.add("light", Priority::Urgent, 0, 950'000);
    CHECK(bench.startHead(1) == &urgent);
    CHECK(bench.startHead(1) == &heavyEarly);
    CHECK(bench.startHead(1) == &heavyLate);
    CHECK(bench.startHead(1) == &light);
    CHECK(bench.startHead(1) == &background);
}

TEST_CASE("starts follow the weights of teams that all have work waiting", "[admission]")
{
    // Guards against shares that are read once and not charged for each start, so that one team takes a whole round.
    Bench bench;
    bench.shares.setTeams({ { TeamId("two"), { TeamId("two"), {}, 2, {} } } });
    for (int index = 0; index < 40; ++index) {
        bench.add("one", Priority::Normal);
        bench.add("two", Priority::Normal);
    }
    int startsOfTwo = 0;
    for (int start = 0; start < 30; ++start) {
        startsOfTwo += bench.startHead(1)->team == TeamId("two") ? 1 : 0;
    }
    CHECK(startsOfTwo == 20);
}

TEST_CASE("Background work starts under an endless stream of urgent work", "[admission]")
{
    // Guards against starvation. Bound: 10 s of patience are 1,000 starts here, then one of eight starts. Negative control: the
    // same order without turns for overdue entries.
    CHECK(startsUntilBackground({}) <= 1000 + 8);
    CHECK(startsUntilBackground(withoutOverdueTurns()) == 2000);
}

TEST_CASE("every entry starts within the bound, whatever the classes and teams", "[admission]")
{
    // Guards against any mix that starves an entry: after its patience at most overduePeriod starts pass for each overdue entry
    // that arrived before it.
    const bool holds = rc::check([] {
        Bench bench;
        bench.shares.setUse({ { TeamId("0"), oneSlot + oneSlot } });
        const auto count = *rc::gen::inRange(1, 30);
        for (int index = 0; index < count; ++index) {
            bench.add(std::to_string(*rc::gen::inRange(0, 3)), static_cast<Priority>(*rc::gen::inRange(0, 3)), index);
        }
        std::set<const QueueEntry *> left;
        for (const auto &entry : bench.entries) {
            left.insert(&entry);
        }
        // All patience has passed; fresh urgent work of an idle team arrives with each start.
        constexpr int nowMs = 20'000;
        const auto bound = 8 * (count + 1);
        for (int start = 0; start < bound; ++start) {
            bench.add("fresh", Priority::Urgent, nowMs);
            left.erase(bench.startHead(nowMs));
        }
        RC_ASSERT(left.empty());
    });
    CHECK(holds);
}

TEST_CASE("heads list each waiting entry once, and none after its removal", "[admission]")
{
    // Guards against entries that are lost, listed twice, or dangling, in both orders.
    const bool holds = rc::check([] {
        Bench bench;
        FifoOrder fifo;
        const auto count = *rc::gen::inRange(0, 40);
        std::set<const QueueEntry *> expected;
        for (int index = 0; index < count; ++index) {
            const auto &entry = bench.add(std::to_string(*rc::gen::inRange(0, 4)),
                                          static_cast<Priority>(*rc::gen::inRange(0, 3)),
                                          *rc::gen::inRange(0, 5),
                                          *rc::gen::inRange(100'000, 100'005),
                                          *rc::gen::arbitrary<bool>());
            fifo.add(entry);
            expected.insert(&entry);
        }
        for (const auto &entry : bench.entries) {
            if (*rc::gen::arbitrary<bool>()) {
                bench.order.remove(entry);
                fifo.remove(entry);
                expected.erase(&entry);
            }
        }
        for (const QueueOrder *order : std::initializer_list<const QueueOrder *> { &bench.order, &fifo }) {
            const auto heads = order->heads(bench.start, 1000);
            RC_ASSERT(heads.size() == expected.size());
            RC_ASSERT(std::set<const QueueEntry *>(heads.begin(), heads.end()) == expected);
        }
    });
    CHECK(holds);
}

TEST_CASE("long work of one team does not fill the part of the queue that is looked at", "[admission]")
{
    // Guards against short work hidden behind long work that may not start now. Negative control: FIFO shows only long work.
    Bench bench;
    FifoOrder fifo;
    for (int index = 0; index < 10; ++index) {
        fifo.add(bench.add("studio", Priority::Normal, 0, 100'000, true));
    }
    const auto &quotation = bench.add("studio", Priority::Normal, 1, 200'000, false);
    fifo.add(quotation);
    const auto contains = [&quotation](const std::vector<const QueueEntry *> &heads) {
        return std::find(heads.begin(), heads.end(), &quotation) != heads.end();
    };
    CHECK(contains(bench.order.heads(bench.start, 4)));
    CHECK_FALSE(contains(fifo.heads(bench.start, 4)));
}

TEST_CASE("a team at its quota is passed over until its use falls", "[admission]")
{
    // Guards against a quota that counts the whole cell for each instance, and against one that rounds to nothing.
    Bench bench;
    bench.shares.setCapacity(capacity, capacity + capacity);
    bench.shares.setTeams({ { TeamId("capped"), { TeamId("capped"), {}, 1, { 0, 0, 0, 3, 0 } } } });
    bench.shares.setUse({ { TeamId("capped"), oneSlot } });
    const auto &first = bench.add("capped", Priority::Urgent, 0, 100'000);
    const auto &second = bench.add("capped", Priority::Urgent, 0, 200'000);
    const auto &other = bench.add("free", Priority::Background);
    CHECK(bench.startHead(1) == &first);
    CHECK(bench.startHead(20'000) == &other);
    CHECK(bench.startHead(1) == nullptr);
    bench.shares.setUse({});
    CHECK(bench.startHead(1) == &second);
}

TEST_CASE("the number of entries ahead takes the order into account", "[admission]")
{
    // Guards against refusals of a team with little work because another team has a long queue.
    Bench bench;
    for (int index = 0; index < 50; ++index) {
        bench.add("flood", Priority::Normal);
    }
    bench.add("flood", Priority::Urgent);
    QueueEntry entry = bench.entries.front();
    entry.team = TeamId("quiet");
    CHECK(bench.order.countAhead(entry) == 2);
    entry.team = TeamId("flood");
    entry.deadline += Milliseconds(1);
    CHECK(bench.order.countAhead(entry) == 51);
    entry.isLong = true;
    CHECK(bench.order.countAhead(entry) == 0);
}
