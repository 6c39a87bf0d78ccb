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
