#include "dispatch/LossFixture.h"
#include "fakes/UnconfirmedChannel.h"
#include "workload/WorkerLease.h"

using namespace auburndoor;

namespace {

/** Lets the later clients of the cell send deadlines to any incarnation. */
void sendUnconfirmed(LossFixture &cell)
{
    cell.fleet.createChannel = [](WorkerConnectionFactory &connections, const WorkerEntry &entry, std::int64_t token) {
        return std::make_unique<UnconfirmedChannel>(connections, entry, token);
    };
}

} // namespace

// Guards against a second run beside one on a worker that has restarted just before its start: the deadline of the start is on the
// clock of the former incarnation, so that the worker would grant the longest lease that it knows.
TEST_CASE("a worker that has restarted unknown to its owner gets no start with a deadline of its former clock", "[unknown-restart]")
{
    const bool isAnswered = GENERATE(true, false);
    const bool isConfirmed = GENERATE(true, false);
    CAPTURE(isAnswered, isConfirmed);
    LossFixture cell;
    if (!isConfirmed) {
        sendUnconfirmed(cell);
        cell.takeOver();
    }
    auto &worker = cell.fleet.worker("w1");
    worker.killTime = Milliseconds(0);
    worker.restart();
    bool isListed = false;
    cell.fleet.drawFault = [&] {
        const bool isFirstStart = cell.starts.empty() && isListed == isConfirmed;
        return CommandFault { isFirstStart && !isAnswered ? CommandFault::Kind::AnswerLost : CommandFault::Kind::None };
    };
    cell.fleet.onStarted = [&cell, before = cell.fleet.onStarted](SimulatedWorker &startedOn, const StartCommand &command) {
        before(startedOn, command);
        cell.timers.after(Milliseconds(4), [&startedOn] { startedOn.isCutOff = startedOn.entry().id == "w1"; });
    };
    REQUIRE(cell.submit(LossFixture::job, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(isConfirmed ? 2000 : 500));
    CHECK(worker.runs().size() == (isConfirmed ? 0 : 1));
    // Once its entry has told of the restart, it gets the start with a deadline of its present clock.
    isListed = true;
    if (isConfirmed) {
        cell.list("w1");
        cell.timers.advance(Milliseconds(1000));
    }
    REQUIRE(cell.starts.size() == 1);
    REQUIRE(worker.runs().size() == 1);
    cell.fleet.drawFault = {};
    cell.addWorker("w2", 4);
    cell.timers.advance(worker.maxLease + Milliseconds(2500));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty() == isConfirmed);
}

// Guards against a lease that is longer than known once the restart is: the worker keeps the longest one that it has granted.
TEST_CASE("a restart that is noticed moves the end of the leases to that of the longest one", "[loss]")
{
    constexpr Milliseconds maxLease { 6000 };
    ManualTimers timers;
    WorkerLease lease(timers, maxLease);
    lease.updateClock(Milliseconds(480000));
    lease.grant(Milliseconds(4500));
    timers.advance(Milliseconds(100));
    lease.resetClock();
    CHECK(lease.end() >= timers.now() + maxLease);
    CHECK(lease.end() <= timers.now() + maxLease + Milliseconds(200));
}

// Guards against a start whose deadline counts on a clock that was never read: an entry machine that is up for long would give a
// worker that has just started the longest lease.
TEST_CASE("a lease that is granted before the first reading of the clock counts from the worker's earliest time", "[loss]")
{
    const auto upTime = GENERATE(Milliseconds(0), Milliseconds(20000), Milliseconds(std::chrono::hours(240)));
    CAPTURE(upTime.count());
    ManualTimers timers(upTime);
    WorkerLease lease(timers, Milliseconds(6000));
    timers.advance(Milliseconds(700));
    CHECK(lease.grant(Milliseconds(4500)) == Milliseconds(5200));
    CHECK(lease.end() <= timers.now() + Milliseconds(4500 + 200));
}

// Guards against a successor that waits for the lease that its predecessor has granted, while the worker, which had restarted just
// before the start, grants the longest one.
TEST_CASE("a new owner waits long enough for a worker that has restarted before its last start", "[unknown-restart]")
{
    const bool isConfirmed = GENERATE(true, false);
    CAPTURE(isConfirmed);
    LossFixture cell;
    if (!isConfirmed) {
        sendUnconfirmed(cell);
        cell.takeOver();
    }
    auto &worker = cell.fleet.worker("w1");
    worker.killTime = Milliseconds(0);
    worker.restart();
    REQUIRE(cell.submit(LossFixture::job, jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(isConfirmed ? 2000 : 500));
    CHECK(worker.runs().size() == (isConfirmed ? 0 : 1));
    cell.list("w1");
    cell.timers.advance(Milliseconds(1000));
    REQUIRE(worker.runs().size() == 1);
    worker.isCutOff = true;
    cell.addWorker("w2", 4);
    cell.takeOver();
    cell.timers.advance(worker.maxLease + Milliseconds(1000));
    CHECK(cell.starts.size() == 2);
    CHECK(cell.violations().empty() == isConfirmed);
}

// Guards against a second run beside one that has inherited the longest lease: a renewal whose connection breaks with a restart is
// repeated on a new connection, and its deadline is on the clock of the former incarnation. It applies to all runs on the worker,
// also to those of later owners, who do not know of it.
TEST_CASE("a renewal that meets a restart gives the later incarnation no lease", "[unknown-restart]")
{
    const bool isConfirmed = GENERATE(true, false);
    CAPTURE(isConfirmed);
    LossFixture cell;
    if (!isConfirmed) {
        sendUnconfirmed(cell);
        cell.takeOver();
    }
    cell.begin(1, jobBody(1, 3000));
    auto &worker = cell.fleet.worker("w1");
    worker.killTime = Milliseconds(0);
    worker.restart();
    cell.timers.advance(Milliseconds(100));
    cell.list("w1");
    cell.timers.advance(Milliseconds(200));
    cell.takeOver();
    cell.timers.advance(Milliseconds(1000));
    REQUIRE(cell.attemptsOn("w1").size() == 1);
    worker.isCutOff = true;
    cell.addWorker("w2", 4);
    cell.timers.advance(worker.maxLease - Milliseconds(1500));
    CHECK(cell.attemptsOn("w2").size() == 1);
    CHECK(cell.violations().empty() == isConfirmed);
}
