#include "pipeline/IdempotencyTestInstance.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <thread>

using namespace auburndoor;

namespace {

const Resources capacity { 32'000, 131'072, 0, 64, 64 };

struct Cell
{
    int startedTasks()
    {
        int count = 0;
        for (const auto &event : worker.history()) {
            count += event.kind == WorkerEvent::Kind::Start ? 1 : 0;
        }
        return count;
    }

    /** Runs a function on another thread while the manual clock advances. */
    template<typename Work>
    void runWhileTimeAdvances(Work work)
    {
        std::atomic<bool> isDone = false;
        std::thread thread([&] {
            work();
            isDone = true;
        });
        while (!isDone) {
            clock.advance(Milliseconds(10));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        thread.join();
    }

    /**
        Advances the clock until the row of the team's record holds the answer, which the instance writes on a thread of its own.

        @return false if the row does not hold it after 30 s of real time
    */
    bool waitForStoredAnswer(const std::string &idempotencyKey)
    {
        const auto rowKey = RequestRecord::rowKey(TeamId("team"), idempotencyKey);
        const auto giveUpTime = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        bool isStored = false;
        runWhileTimeAdvances([&] {
            while (!isStored && std::chrono::steady_clock::now() < giveUpTime) {
                Failure failure;
                const auto row = table.read(rowKey, clock.now() + Milliseconds(1000), failure);
                const auto record = row ? RequestRecord::fromText(row->value) : std::nullopt;
                isStored = record && record->state == RecordState::Answered;
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        });
        return isStored;
    }

    ManualClock clock;
    FakeTableService table;
    FakeWorker worker { WorkerId("worker"), capacity, clock };
};

} // namespace

TEST_CASE("one non-repeatable request through many instances at the same moment runs once, and all callers get its answer",
          "[pipeline]")
{
    // Guards against a vetting run that is billed twice because its caller tried again through another instance.
    Cell cell;
    constexpr int instanceCount = 8;
    std::vector<std::unique_ptr<IdempotencyTestInstance>> instances;
    for (int index = 0; index < instanceCount; ++index) {
        instances.push_back(std::make_unique<IdempotencyTestInstance>(cell.clock, cell.table, cell.worker));
    }
    std::vector<Outcome> outcomes(instanceCount);
    cell.runWhileTimeAdvances([&] {
        std::vector<std::thread> callers;
        for (int index = 0; index < instanceCount; ++index) {
            callers.emplace_back([&, index] {
                auto context = instances[index]->makeContext("request-" + std::to_string(index), "key", "vet this name");
                outcomes[index] = instances[index]->run(context);
            });
        }
        for (auto &caller : callers) {
            caller.join();
        }
    });
    CHECK(cell.startedTasks() == 1);
    for (const auto &outcome : outcomes) {
        CHECK(outcome.status == OutcomeStatus::Answered);
        CHECK(outcome.answer == outcomes.front().answer);
    }
}

TEST_CASE("negative control: without a claimed record every instance runs the request", "[pipeline]")
{
    // Shows that the test above can fail.
    Cell cell;
    IdempotencyTestInstance first(cell.clock, cell.table, cell.worker);
    IdempotencyTestInstance second(cell.clock, cell.table, cell.worker);
    auto firstContext = first.makeContext("request-1", "key", "vet this name");
    auto secondContext = second.makeContext("request-2", "key", "vet this name");
    firstContext.attempt = 1;
    secondContext.attempt = 1;
    first.start(firstContext);
    second.start(secondContext);
    CHECK(cell.startedTasks() == 2);
}

TEST_CASE("after an instance is killed between the claim and the start, a retry runs the request exactly once", "[pipeline]")
{
    // Guards against a record that blocks every retry, and against a delayed start that runs in addition to the retry.
    Cell cell;
    IdempotencyTestInstance killed(cell.clock, cell.table, cell.worker);
    auto interrupted = killed.makeContext("lost", "key", "vet this name");
    REQUIRE_FALSE(killed.record(interrupted));

    IdempotencyTestInstance successor(cell.clock, cell.table, cell.worker);
    auto retry = successor.makeContext("retry", "key", "vet this name");
    Outcome outcome;
    cell.runWhileTimeAdvances([&] { outcome = successor.run(retry); });
    CHECK(outcome.status == OutcomeStatus::Answered);
    CHECK(killed.start(interrupted).status == CallStatus::NotRun);
    CHECK(cell.startedTasks() == 1);
}

TEST_CASE("after an instance is killed between the start and the answer, a retry gets the answer", "[pipeline]")
{
    Cell cell;
    IdempotencyTestInstance killed(cell.clock, cell.table, cell.worker);
    auto interrupted = killed.makeContext("lost", "key", "vet this name");
    REQUIRE_FALSE(killed.record(interrupted));
    const auto lostResult = killed.start(interrupted);
    IdempotencyTestInstance successor(cell.clock, cell.table, cell.worker);
    auto retry = successor.makeContext("retry", "key", "vet this name");
    Outcome outcome;
    cell.runWhileTimeAdvances([&] { outcome = successor.run(retry); });
    CHECK(outcome.status == OutcomeStatus::Answered);
    CHECK(outcome.answer == lostResult.answer);
    CHECK(cell.startedTasks() == 1);
}

TEST_CASE("after a claim whose answer is lost no task is started, and the retry runs the request once", "[pipeline]")
{
    // Guards against a task that is started although the claim may not have been written.
    Cell cell;
    IdempotencyTestInstance instance(cell.clock, cell.table, cell.worker);
    cell.table.loseAnswers(1);
    auto context = instance.makeContext("request-1", "key", "vet this name");
    const auto refused = instance.record(context);
    REQUIRE(refused);
    CHECK(refused->status == OutcomeStatus::NotRun);
    CHECK(cell.startedTasks() == 0);
    auto retry = instance.makeContext("request-2", "key", "vet this name");
    Outcome outcome;
    cell.runWhileTimeAdvances([&] { outcome = instance.run(retry); });
    CHECK(outcome.status == OutcomeStatus::Answered);
    CHECK(cell.startedTasks() == 1);
}

TEST_CASE("while the table is down a non-repeatable request is not run", "[pipeline]")
{
    Cell cell;
    IdempotencyTestInstance instance(cell.clock, cell.table, cell.worker);
    cell.table.setDown(true);
    auto context = instance.makeContext("request", "key", "vet this name");
    const auto refused = instance.record(context);
    REQUIRE(refused);
    CHECK(refused->status == OutcomeStatus::NotRun);
    CHECK(refused->failure.step == FailureStep::Record);
    CHECK(cell.startedTasks() == 0);
}

namespace {

/** A table whose commits take the given time on the manual clock. */
class DelayedTable : public FakeTableService
{
public:
    DelayedTable(ManualClock &clock, Milliseconds delay) : clock_(clock), delay_(delay)
    {
    }

    CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) override
    {
        clock_.advance(delay_);
        return FakeTableService::commit(transaction, deadline, failure);
    }

private:
    ManualClock &clock_;
    const Milliseconds delay_;
};

} // namespace

TEST_CASE("no task is started if its record is written just before the deadline", "[pipeline]")
{
    // Guards against a task that starts at its deadline, such as after an outage of the table, so that its outcome is Unknown.
    Cell cell;
    DelayedTable table(cell.clock, Milliseconds(59'950));
    IdempotencyTestInstance instance(cell.clock, table, cell.worker);
    auto context = instance.makeContext("request", "key", "vet this name");
    const auto refused = instance.record(context);
    REQUIRE(refused);
    CHECK(refused->status == OutcomeStatus::NotRun);
    CHECK(refused->failure.reason == FailureReason::DeadlinePassed);
}

TEST_CASE("a key that is used again for another request is refused", "[pipeline]")
{
    // Guards against a caller that gets the answer of a different request.
    Cell cell;
    IdempotencyTestInstance instance(cell.clock, cell.table, cell.worker);
    auto context = instance.makeContext("request-1", "key", "vet this name");
    cell.runWhileTimeAdvances([&] { instance.run(context); });
    auto other = instance.makeContext("request-2", "key", "vet that name");
    const auto refused = instance.record(other);
    REQUIRE(refused);
    CHECK(refused->failure.reason == FailureReason::DuplicateKey);
    CHECK(cell.startedTasks() == 1);
}

TEST_CASE("after NotRun the same request claims its record again", "[pipeline]")
{
    // Guards against a request whose second attempt is refused because of the record of its first.
    Cell cell;
    IdempotencyTestInstance instance(cell.clock, cell.table, cell.worker);
    auto context = instance.makeContext("request", "key", "vet this name");
    REQUIRE_FALSE(instance.record(context));
    Failure failure;
    REQUIRE(cell.worker.cancel(context.task(), 1, cell.clock.now() + Milliseconds(100), failure));
    CHECK(instance.start(context).status == CallStatus::NotRun);
    REQUIRE_FALSE(instance.record(context));
    CHECK(instance.start(context).status == CallStatus::Answered);
    CHECK(cell.startedTasks() == 1);
}

TEST_CASE("records are removed a day after their claim, not earlier", "[pipeline]")
{
    // Guards against a table that grows without end, and against a retry within the day that runs its request again.
    Cell cell;
    IdempotencyTestInstance instance(cell.clock, cell.table, cell.worker);
    auto context = instance.makeContext("request-1", "key", "vet this name");
    cell.runWhileTimeAdvances([&] { instance.run(context); });
    // The worker remembers the ended task for 10 minutes only; after 23 hours the answer must come from the table.
    REQUIRE(cell.waitForStoredAnswer("key"));
    cell.clock.advance(std::chrono::hours(23));
    CHECK(instance.removeExpired() == 0);
    auto retry = instance.makeContext("request-2", "key", "vet this name");
    // The clock advances so that a retry that asks the worker instead of reading the record ends, rather than blocks the test.
    std::optional<Outcome> answered;
    cell.runWhileTimeAdvances([&] { answered = instance.record(retry); });
    REQUIRE(answered);
    CHECK(answered->status == OutcomeStatus::Answered);
    cell.clock.advance(std::chrono::hours(3));
    CHECK(instance.removeExpired() == 1);
    CHECK(instance.removeExpired() == 0);
    auto later = instance.makeContext("request-3", "key", "vet this name");
    CHECK_FALSE(instance.record(later));
}
