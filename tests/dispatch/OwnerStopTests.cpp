#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>

using namespace auburndoor;

namespace {

constexpr Milliseconds timeStep { 10 };
constexpr Milliseconds flushTimeout { 600 };

} // namespace

// Guards against a stop that lasts for the whole time allowed for it, in which nothing starts: while many tasks run, some end
// always waits to be stored.
TEST_CASE("an owner that stops while tasks end all the time waits only for what it had to store by then")
{
    OwnerFixture cell;
    // The check of the starts knows only jobs of OwnerFixture::submit().
    cell.fleet.onStarted = {};
    for (const auto *id : { "w1", "w2", "w3", "w4" }) {
        cell.addWorker(id, 16);
    }
    cell.plan = [](const TaskName &task, std::int64_t) {
        const auto spread = std::hash<std::string>()(task.job) % 800;
        return SimulatedWork { Milliseconds(400 + static_cast<int>(spread)), RunOutcome::Done };
    };
    cell.takeOver();
    for (int number = 0; number < 400; ++number) {
        ClientCall call;
        call.kind = ClientCall::Kind::Submit;
        call.queue = "normal";
        call.job = jobIdOf(number);
        call.body = jobBody(1, 1000);
        cell.owner->call(call, [](const ClientResult &) {});
    }
    cell.timers.advance(Milliseconds(2000));
    const auto stoppedAt = cell.timers.now();
    std::optional<TimePoint> flushedAt;
    cell.owner->flush(flushTimeout, [&](const Ownership &) { flushedAt = cell.timers.now(); });
    while (!flushedAt && cell.timers.now() - stoppedAt < flushTimeout * 2) {
        cell.timers.advance(timeStep);
    }
    REQUIRE(flushedAt);
    CHECK(std::chrono::duration_cast<Milliseconds>(*flushedAt - stoppedAt).count() <= flushTimeout.count() / 3);
}

// Guards against calls that an owner still takes while it stops and then drops unanswered: their rows wait behind those that the
// stop waits for. The caller's process repeats such a call only after a second, though the runs of the job were stopped at once.
TEST_CASE("a cancellation that a stopping owner takes is answered by this owner")
{
    OwnerFixture cell;
    // The check of the starts knows only jobs of OwnerFixture::submit().
    cell.fleet.onStarted = {};
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { std::chrono::hours(1), RunOutcome::Done }; };
    cell.addWorker("w1", 4);
    cell.takeOver();
    REQUIRE(cell.submit(jobIdOf(1), jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(1000));
    cell.store.setAnswerTime(Milliseconds(100));
    ClientCall submission;
    submission.kind = ClientCall::Kind::Submit;
    submission.queue = "normal";
    submission.job = jobIdOf(2);
    submission.body = jobBody(1, 1000);
    cell.owner->call(submission, [](const ClientResult &) {});
    cell.timers.advance(timeStep * 2);
    bool isFlushed = false;
    cell.owner->flush(flushTimeout, [&](const Ownership &) { isFlushed = true; });
    cell.timers.advance(timeStep);
    std::optional<ClientResult::Outcome> outcome;
    ClientCall cancellation;
    cancellation.kind = ClientCall::Kind::Cancel;
    cancellation.job = jobIdOf(1);
    cell.owner->call(cancellation, [&](const ClientResult &result) { outcome = result.outcome; });
    while (!isFlushed) {
        cell.timers.advance(timeStep);
    }
    // The next owner's row of the epoch fences off what the former one has not stored.
    cell.takeOver();
    CHECK(outcome.has_value());
}
