#include "admission/FairDeadlineOrder.h"
#include "admission/FifoOrder.h"
#include "admission/ShareAccounts.h"
#include "admission/WaitQueue.h"
#include "core/Failure.h"
#include "core/ManualClock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <thread>

using namespace auburndoor;

namespace {

const Resources oneSlot { 1000, 1024, 0, 1, 1 };

/** Counts the calls of waitUntil() so far. Unlike a count of the current waiters, it never falls. */
class CountingClock : public ManualClock
{
public:
    bool waitUntil(std::unique_lock<std::mutex> &lock,
                   std::condition_variable &condition,
                   TimePoint deadline,
                   const std::function<bool()> &predicate) override
    {
        ++waitCount_;
        return ManualClock::waitUntil(lock, condition, deadline, predicate);
    }

    int waitCount() const
    {
        return waitCount_;
    }

private:
    std::atomic<int> waitCount_ = 0;
};

/** A number of free places, and the ids of the requests that took them, in order. */
class FakeCapacity
{
public:
    bool take(const std::string &id, int places)
    {
        const std::lock_guard lock(mutex_);
        if (places > free_) {
            return false;
        }
        free_ -= places;
        started_.push_back(id);
        return true;
    }

    void add(int places)
    {
        const std::lock_guard lock(mutex_);
        free_ += places;
    }

    std::vector<std::string> started() const
    {
        const std::lock_guard lock(mutex_);
        return started_;
    }

private:
    mutable std::mutex mutex_;
    int free_ = 0;
    std::vector<std::string> started_;
};

/** Calls WaitQueue::wait() for one request on a thread of its own. */
class Waiter
{
public:
    Waiter(WaitQueue &queue, FakeCapacity &capacity, const QueueEntry &entry, int places = 1)
        : entry_(entry), thread_([this, &queue, &capacity, places] {
            isStarted_ = queue.wait(
                entry_, [&] { return capacity.take(entry_.id.text(), places); }, failure_);
            isDone_ = true;
        })
    {
    }

    ~Waiter()
    {
        thread_.join();
    }

    Waiter(const Waiter &) = delete;
    Waiter &operator=(const Waiter &) = delete;

    /** Blocks until wait() has returned. @return its value */
    bool result()
    {
        while (!isDone_) {
            std::this_thread::yield();
        }
        return isStarted_;
    }

    bool isDone() const
    {
        return isDone_;
    }

    FailureReason reason() const
    {
        return failure_.reason;
    }

private:
    const QueueEntry entry_;
    Failure failure_;
    std::atomic<bool> isStarted_ = false;
    std::atomic<bool> isDone_ = false;
    std::thread thread_;
};

struct Fixture
{
    explicit Fixture(const WaitQueueOptions &options = {}, bool isFair = false)
        : queue(clock,
                isFair ? std::unique_ptr<QueueOrder>(std::make_unique<FairDeadlineOrder>(shares)) : std::make_unique<FifoOrder>(),
                options)
    {
    }

    /** Starts a waiter and returns once it waits in the queue or has ended. */
    Waiter &add(const std::string &id, int places = 1, int deadlineMs = 5000, Priority priority = Priority::Normal)
    {
        QueueEntry entry { RequestId(id), TeamId("guild"), priority, oneSlot, false, {}, {}, {} };
        entry.need.slots = places;
        entry.arrival = clock.now();
        entry.deadline = entry.arrival + Milliseconds(deadlineMs);
        const auto before = clock.waitCount();
        auto &waiter = waiters.emplace_back(queue, capacity, entry, places);
        while (clock.waitCount() == before && !waiter.isDone()) {
            std::this_thread::yield();
        }
        // Distinct arrival times give FifoOrder a defined order.
        clock.advance(Milliseconds(1));
        return waiter;
    }

    void freeCapacity(int places)
    {
        capacity.add(places);
        queue.onCapacityFreed();
    }

    CountingClock clock;
    FakeCapacity capacity;
    ShareAccounts shares;
    WaitQueue queue;
    std::deque<Waiter> waiters;
};

using Ids = std::vector<std::string>;

} // namespace

TEST_CASE("a request starts at once if there is capacity and nothing waits", "[admission]")
{
    // Guards against a queue that starts nothing before onCapacityFreed() is called.
    Fixture fixture;
    fixture.capacity.add(1);
    CHECK(fixture.add("a").result());
    CHECK(fixture.queue.size() == 0);
}

TEST_CASE("requests start in the order of the queue as capacity becomes free", "[admission]")
{
    // Guards against starts in the order in which the threads wake up.
    Fixture fixture({}, true);
    fixture.add("normal-1");
    fixture.add("background", 1, 5000, Priority::Background);
    fixture.add("urgent", 1, 5000, Priority::Urgent);
    fixture.add("normal-2");
    for (int place = 0; place < 4; ++place) {
        fixture.freeCapacity(1);
    }
    for (auto &waiter : fixture.waiters) {
        CHECK(waiter.result());
    }
    CHECK(fixture.capacity.started() == Ids { "urgent", "normal-1", "normal-2", "background" });
}

TEST_CASE("an arrival does not overtake waiting requests that fit", "[admission]")
{
    // Guards against an arrival that bypasses the queue: a freed place belongs to the head.
    Fixture fixture;
    auto &first = fixture.add("first");
    fixture.capacity.add(1);
    // Without backfill the arrival is not tried, and the head is tried once onCapacityFreed() is called.
    WaitQueueOptions strict;
    strict.scanLimit = 1;
    Fixture strictFixture(strict);
    auto &strictFirst = strictFixture.add("first");
    strictFixture.capacity.add(1);
    strictFixture.add("second");
    CHECK(strictFixture.capacity.started().empty());
    strictFixture.queue.onCapacityFreed();
    CHECK(strictFirst.result());
    CHECK(strictFixture.capacity.started() == Ids { "first" });
    strictFixture.queue.shutdown();
    fixture.queue.onCapacityFreed();
    CHECK(first.result());
}

TEST_CASE("small work is tried behind a head that does not fit", "[admission]")
{
    // Guards against head-of-line blocking. Negative control: without backfill the small request stays.
    Fixture fixture;
    fixture.add("large", 4);
    fixture.add("small", 1);
    fixture.freeCapacity(1);
    CHECK(fixture.capacity.started() == Ids { "small" });

    WaitQueueOptions strict;
    strict.scanLimit = 1;
    Fixture strictFixture(strict);
    strictFixture.add("large", 4);
    strictFixture.add("small", 1);
    strictFixture.freeCapacity(1);
    CHECK(strictFixture.capacity.started().empty());
    strictFixture.queue.shutdown();
    fixture.queue.shutdown();
}

TEST_CASE("a large head starts although small work keeps arriving", "[admission]")
{
    // Guards against backfill that starves the head. Negative control: if the head never blocks backfill, it never starts.
    const auto isLargeStarted = [](int bypassLimit) {
        WaitQueueOptions options;
        options.bypassLimit = bypassLimit;
        Fixture fixture(options);
        auto &large = fixture.add("large", 2);
        for (int index = 0; index < 20 && !large.isDone(); ++index) {
            fixture.add("small-" + std::to_string(index));
            fixture.freeCapacity(1);
        }
        const auto started = fixture.capacity.started();
        fixture.queue.shutdown();
        return std::find(started.begin(), started.end(), "large") != started.end();
    };
    CHECK(isLargeStarted(8));
    CHECK_FALSE(isLargeStarted(1000));
}

TEST_CASE("a head that never fits blocks backfill only for a while", "[admission]")
{
    // Guards against a pool that starts nothing until the deadline of a request that fits nowhere.
    WaitQueueOptions options;
    options.bypassLimit = 1;
    Fixture fixture(options);
    fixture.add("impossible", 1000, 60'000);
    fixture.add("passes");
    fixture.freeCapacity(1);
    CHECK(fixture.capacity.started() == Ids { "passes" });
    auto &held = fixture.add("held", 1, 60'000);
    fixture.freeCapacity(1);
    CHECK_FALSE(held.isDone());
    fixture.clock.advance(options.backfillBlockTime);
    fixture.queue.onCapacityFreed();
    CHECK(held.result());
    fixture.queue.shutdown();
}

TEST_CASE("a request that waits past its deadline fails", "[admission]")
{
    // Guards against a start after the caller has stopped waiting, and against a wait that never ends.
    Fixture fixture;
    auto &waiter = fixture.add("late", 1, 1000);
    fixture.clock.advance(Milliseconds(998));
    CHECK_FALSE(waiter.isDone());
    fixture.clock.advance(Milliseconds(1));
    CHECK_FALSE(waiter.result());
    CHECK(waiter.reason() == FailureReason::DeadlinePassed);
    fixture.freeCapacity(1);
    CHECK(fixture.capacity.started().empty());
}

TEST_CASE("the queue limit, duplicate ids, cancellation and shutdown each end a wait with their reason", "[admission]")
{
    // Guards against threads that wait forever and against a wrong reason in the caller's answer.
    WaitQueueOptions options;
    options.limit = 2;
    Fixture fixture(options);
    auto &cancelled = fixture.add("cancelled");
    auto &duplicate = fixture.add("cancelled");
    CHECK_FALSE(duplicate.result());
    CHECK(duplicate.reason() == FailureReason::DuplicateKey);
    auto &stopped = fixture.add("stopped");
    auto &surplus = fixture.add("surplus");
    CHECK_FALSE(surplus.result());
    CHECK(surplus.reason() == FailureReason::QueueFull);
    CHECK(fixture.queue.cancel(RequestId("cancelled")));
    CHECK_FALSE(fixture.queue.cancel(RequestId("unknown")));
    CHECK_FALSE(cancelled.result());
    CHECK(cancelled.reason() == FailureReason::Cancelled);
    fixture.queue.shutdown();
    CHECK_FALSE(stopped.result());
    CHECK(stopped.reason() == FailureReason::ShuttingDown);
    auto &afterwards = fixture.add("afterwards");
    CHECK_FALSE(afterwards.result());
    CHECK(afterwards.reason() == FailureReason::ShuttingDown);
    CHECK(fixture.queue.size() == 0);
}

TEST_CASE("urgent work is accepted by a queue that is full of other work", "[admission]")
{
    // Guards against urgent work that is refused because normal work fills the queue. It may exceed the limit by an eighth only.
    WaitQueueOptions options;
    options.limit = 8;
    Fixture fixture(options, true);
    for (int index = 0; index < 8; ++index) {
        fixture.add("normal-" + std::to_string(index));
    }
    auto &surplus = fixture.add("surplus");
    CHECK_FALSE(surplus.result());
    CHECK(surplus.reason() == FailureReason::QueueFull);
    auto &urgent = fixture.add("urgent", 1, 5000, Priority::Urgent);
    auto &second = fixture.add("second", 1, 5000, Priority::Urgent);
    CHECK_FALSE(second.result());
    fixture.freeCapacity(1);
    CHECK(urgent.result());
    fixture.queue.shutdown();
}

TEST_CASE("work behind a head whose wait ends is tried at once", "[admission]")
{
    // Guards against work that is not tried, although there is capacity, until the next event after the head has left.
    WaitQueueOptions strict;
    strict.scanLimit = 1;
    Fixture fixture(strict);
    auto &large = fixture.add("large", 4, 1000);
    auto &small = fixture.add("small", 1, 5000);
    fixture.freeCapacity(1);
    CHECK(fixture.capacity.started().empty());
    fixture.clock.advance(Milliseconds(1000));
    CHECK_FALSE(large.result());
    CHECK(small.result());
}

TEST_CASE("a cancellation while tryStart runs ends the wait without a second try", "[admission]")
{
    // Guards against a queue that removes an entry while its tryStart runs.
    Fixture fixture;
    QueueEntry entry { RequestId("a"), TeamId("guild"), Priority::Normal, oneSlot, false, fixture.clock.now(), {}, {} };
    entry.deadline = entry.arrival + Milliseconds(1000);
    int tries = 0;
    Failure failure;
    const auto tryStart = [&] {
        ++tries;
        CHECK(fixture.queue.cancel(RequestId("a")));
        fixture.queue.onCapacityFreed();
        return false;
    };
    CHECK_FALSE(fixture.queue.wait(entry, tryStart, failure));
    CHECK(failure.reason == FailureReason::Cancelled);
    CHECK(tries == 1);
}

TEST_CASE("many threads share few places without a lost wake-up", "[admission]")
{
    // Guards against a wake-up that is lost between a failed try and the wait; the test would then not end.
    Fixture fixture;
    constexpr int threadCount = 8;
    constexpr int requests = 200;
    fixture.capacity.add(2);
    std::atomic<int> started = 0;
    std::vector<std::thread> threads;
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&, thread] {
            for (int index = 0; index < requests; ++index) {
                const auto id = std::to_string(thread) + "/" + std::to_string(index);
                QueueEntry entry { RequestId(id), TeamId(id), Priority::Normal, oneSlot, false, fixture.clock.now(), {}, {} };
                entry.deadline = entry.arrival + Milliseconds(1000);
                Failure failure;
                started += fixture.queue.wait(
                               entry, [&] { return fixture.capacity.take(id, 1); }, failure)
                               ? 1
                               : 0;
                fixture.freeCapacity(1);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(started == threadCount * requests);
}
