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

/** A FairDeadlineOrder and the entries in it. Times are in ms since the start of the fixture. */
struct OrderFixture
{
    explicit OrderFixture(const FairDeadlineOptions &options = {}) : order(shares, options)
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

    /** Removes and starts the first head. @return its entry; null if there is no head */
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

FairDeadlineOptions makeOptionsWithoutOverdueStarts()
{
    FairDeadlineOptions options;
    options.overdueStartInterval = 1'000'000;
    return options;
}

/**
    Starts an entry every 10 ms while two Urgent ones arrive.

    @return the number of starts before the Background entry starts; 2000 if it does not start
*/
int countStartsUntilBackground(const FairDeadlineOptions &options)
{
    OrderFixture fixture(options);
    const auto &background = fixture.add("patient", Priority::Background);
    constexpr int startLimit = 2000;
    constexpr int startPeriodMs = 10;
    for (int start = 0; start < startLimit; ++start) {
        fixture.add("busy", Priority::Urgent, start * startPeriodMs);
        fixture.add("busy", Priority::Urgent, start * startPeriodMs);
        if (fixture.startHead(start * startPeriodMs) == &background) {
            return start;
        }
    }
    return startLimit;
}

} // namespace

TEST_CASE("urgent work is first, then the team with the lowest weighted share, then the earliest deadline", "[admission]")
{
    // Guards against an order in which one of the three rules has no effect because of another.
    OrderFixture fixture;
    fixture.shares.setTeams(
        { { TeamId("heavy"), { TeamId("heavy"), {}, 4, {} } }, { TeamId("light"), { TeamId("light"), {}, 1, {} } } });
    fixture.shares.setUse({ { TeamId("heavy"), oneSlot + oneSlot }, { TeamId("light"), oneSlot } });
    const auto &light = fixture.add("light", Priority::Normal, 0, 100'000);
    const auto &heavyLate = fixture.add("heavy", Priority::Normal, 0, 900'000);
    const auto &heavyEarly = fixture.add("heavy", Priority::Normal, 0, 800'000);
    const auto &background = fixture.add("idle", Priority::Background, 0, 50'000);
    const auto &urgent = fixture.add("light", Priority::Urgent, 0, 950'000);
    CHECK(fixture.startHead(1) == &urgent);
    CHECK(fixture.startHead(1) == &heavyEarly);
    CHECK(fixture.startHead(1) == &heavyLate);
    CHECK(fixture.startHead(1) == &light);
    CHECK(fixture.startHead(1) == &background);
}

TEST_CASE("starts follow the weights of teams that all have work waiting", "[admission]")
{
    // Guards against shares that are not charged for each start, so that a single team gets many starts in a row.
    OrderFixture fixture;
    fixture.shares.setTeams({ { TeamId("two"), { TeamId("two"), {}, 2, {} } } });
    for (int index = 0; index < 40; ++index) {
        fixture.add("one", Priority::Normal);
        fixture.add("two", Priority::Normal);
    }
    int startsOfTwo = 0;
    for (int start = 0; start < 30; ++start) {
        startsOfTwo += fixture.startHead(1)->team == TeamId("two") ? 1 : 0;
    }
    CHECK(startsOfTwo == 20);
}

TEST_CASE("Background work starts although urgent work keeps arriving", "[admission]")
{
    // Guards against starvation. Bound: the entry is overdue after 10 s, which are 1000 starts here, and one start in eight goes to
    // overdue entries. Negative control: the same order without starts for overdue entries.
    CHECK(countStartsUntilBackground({}) <= 1000 + 8);
    CHECK(countStartsUntilBackground(makeOptionsWithoutOverdueStarts()) == 2000);
}

TEST_CASE("every entry starts within the bound, whatever its priority and team", "[admission]")
{
    // Guards against any mix that starves an entry. Bound: once it is overdue, at most overdueStartInterval starts for each overdue
    // entry that arrived before it, and as many for itself.
    const bool holds = rc::check([] {
        OrderFixture fixture;
        fixture.shares.setUse({ { TeamId("0"), oneSlot + oneSlot } });
        const auto count = *rc::gen::inRange(1, 30);
        for (int index = 0; index < count; ++index) {
            fixture.add(std::to_string(*rc::gen::inRange(0, 3)), static_cast<Priority>(*rc::gen::inRange(0, 3)), index);
        }
        std::set<const QueueEntry *> notStarted;
        for (const auto &entry : fixture.entries) {
            notStarted.insert(&entry);
        }
        // All entries are overdue; new urgent work of an idle team arrives with each start.
        constexpr int nowMs = 20'000;
        const auto bound = 8 * (count + 1);
        for (int start = 0; start < bound; ++start) {
            fixture.add("fresh", Priority::Urgent, nowMs);
            notStarted.erase(fixture.startHead(nowMs));
        }
        RC_ASSERT(notStarted.empty());
    });
    CHECK(holds);
}

TEST_CASE("heads list each waiting entry once, and none after its removal", "[admission]")
{
    // Guards against entries that are lost, listed twice, or listed after their removal, in both orders.
    const bool holds = rc::check([] {
        OrderFixture fixture;
        FifoOrder fifo;
        const auto count = *rc::gen::inRange(0, 40);
        std::set<const QueueEntry *> expected;
        for (int index = 0; index < count; ++index) {
            const auto &entry = fixture.add(std::to_string(*rc::gen::inRange(0, 4)),
                                            static_cast<Priority>(*rc::gen::inRange(0, 3)),
                                            *rc::gen::inRange(0, 5),
                                            *rc::gen::inRange(100'000, 100'005),
                                            *rc::gen::arbitrary<bool>());
            fifo.add(entry);
            expected.insert(&entry);
        }
        for (const auto &entry : fixture.entries) {
            if (*rc::gen::arbitrary<bool>()) {
                fixture.order.remove(entry);
                fifo.remove(entry);
                expected.erase(&entry);
            }
        }
        for (const QueueOrder *order : std::initializer_list<const QueueOrder *> { &fixture.order, &fifo }) {
            const auto heads = order->heads(fixture.start, 1000);
            RC_ASSERT(heads.size() == expected.size());
            RC_ASSERT(std::set<const QueueEntry *>(heads.begin(), heads.end()) == expected);
        }
    });
    CHECK(holds);
}

TEST_CASE("long work of one team does not use up the limit of heads()", "[admission]")
{
    // Guards against short work that is not listed because of long work that cannot start now. Negative control: FIFO lists only
    // long work.
    OrderFixture fixture;
    FifoOrder fifo;
    for (int index = 0; index < 10; ++index) {
        fifo.add(fixture.add("studio", Priority::Normal, 0, 100'000, true));
    }
    const auto &quotation = fixture.add("studio", Priority::Normal, 1, 200'000, false);
    fifo.add(quotation);
    const auto contains = [&quotation](const std::vector<const QueueEntry *> &heads) {
        return std::find(heads.begin(), heads.end(), &quotation) != heads.end();
    };
    CHECK(contains(fixture.order.heads(fixture.start, 4)));
    CHECK_FALSE(contains(fifo.heads(fixture.start, 4)));
}

TEST_CASE("a team at its quota is skipped until its use falls", "[admission]")
{
    // Guards against enforcing the quota of the whole cell on each instance, and against rounding it down to zero.
    OrderFixture fixture;
    fixture.shares.setCapacity(capacity, capacity + capacity);
    fixture.shares.setTeams({ { TeamId("capped"), { TeamId("capped"), {}, 1, { 0, 0, 0, 3, 0 } } } });
    fixture.shares.setUse({ { TeamId("capped"), oneSlot } });
    const auto &first = fixture.add("capped", Priority::Urgent, 0, 100'000);
    const auto &second = fixture.add("capped", Priority::Urgent, 0, 200'000);
    const auto &other = fixture.add("free", Priority::Background);
    CHECK(fixture.startHead(1) == &first);
    CHECK(fixture.startHead(20'000) == &other);
    CHECK(fixture.startHead(1) == nullptr);
    fixture.shares.setUse({});
    CHECK(fixture.startHead(1) == &second);
}

TEST_CASE("countAhead() takes the order into account", "[admission]")
{
    // Guards against refusing requests of a team with little work because another team has a long queue.
    OrderFixture fixture;
    for (int index = 0; index < 50; ++index) {
        fixture.add("flood", Priority::Normal);
    }
    fixture.add("flood", Priority::Urgent);
    QueueEntry entry = fixture.entries.front();
    entry.team = TeamId("quiet");
    CHECK(fixture.order.countAhead(entry) == 2);
    entry.team = TeamId("flood");
    entry.deadline += Milliseconds(1);
    CHECK(fixture.order.countAhead(entry) == 51);
    entry.isLong = true;
    CHECK(fixture.order.countAhead(entry) == 0);
}
