#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace auburndoor;

namespace {

constexpr Milliseconds timeStep { 20 };
// "Within seconds": the platform counts a task of a service as lost 6 s after its last run; half of that leaves room for its start.
constexpr Milliseconds maxRepairTime { 3000 };
const std::string serviceId = "00000000000000aa";

/**
    A cell of four workers of four cores with a service of four tasks, and a backlog that keeps the cell full: each job is one task
    of one core and half a second.
*/
class FullCell
{
public:
    /** @param serviceQueue the queue of the service @param backlogQueue the queue of the jobs of the backlog */
    FullCell(const std::string &serviceQueue, std::string backlogQueue) : backlogQueue_(std::move(backlogQueue))
    {
        cell.fleet.onStarted = {};
        for (const auto &id : workers) {
            cell.addWorker(id, 4);
        }
        cell.plan = [this](const TaskName &task, std::int64_t attempt) {
            if (task.job != serviceId) {
                return SimulatedWork {};
            }
            const bool isFailing = task.index == 0 && attempt == 1;
            firstTaskStarts += task.index == 0 ? 1 : 0;
            return isFailing ? SimulatedWork { firstRunDuration, RunOutcome::Failed }
                             : SimulatedWork { std::chrono::hours(1), RunOutcome::Done };
        };
        cell.takeOver();
        REQUIRE(cell.submit(serviceId, jobBody(serviceTasks, 1000, R"(,"longRunning":true)"), serviceQueue)
                == ClientResult::Outcome::Accepted);
    }

    /** Advances the time without new jobs. */
    void advance(Milliseconds duration)
    {
        cell.timers.advance(duration);
    }

    /** Advances the time; the backlog grows by two jobs a step, three times what the cell can carry. */
    void advanceUnderLoad(Milliseconds duration)
    {
        for (Milliseconds elapsed { 0 }; elapsed < duration; elapsed += timeStep) {
            for (int job = 0; job < 2; ++job) {
                ClientCall call;
                call.kind = ClientCall::Kind::Submit;
                call.queue = backlogQueue_;
                call.job = jobIdOf(nextJob_++);
                call.body = jobBody(1, 1000);
                cell.owner->call(call, [](const ClientResult &) {});
            }
            cell.timers.advance(timeStep);
        }
    }

    /** The tasks of the service that are at work on some worker. */
    int countRunningTasks()
    {
        int count = 0;
        for (const auto &id : workers) {
            cell.fleet.worker(id).settle();
            count += countRunningTasks(id);
        }
        return count;
    }

    /** Restarts a worker that runs tasks of the service: its runs are gone, and it is there again at once. */
    void crashWorkerOfService()
    {
        const auto crashed = std::find_if(
            workers.begin(), workers.end(), [this](const auto &id) { return countRunningTasks(id) > 0; });
        REQUIRE(crashed != workers.end());
        cell.fleet.worker(*crashed).restart();
        cell.list(*crashed);
    }

    /** Stops the owner in order, so that it stores what ends but starts nothing more; the next one takes over after the delay. */
    void replaceOwner(Milliseconds delay)
    {
        cell.owner->flush(std::chrono::hours(1), [](const Ownership &) {});
        advance(delay);
        cell.takeOver();
    }

    /** The longest time within the duration in which the service was not whole, under load. */
    Milliseconds measureLongestAbsence(Milliseconds duration)
    {
        Milliseconds longest { 0 };
        Milliseconds current { 0 };
        for (Milliseconds elapsed { 0 }; elapsed < duration; elapsed += timeStep) {
            advanceUnderLoad(timeStep);
            current = countRunningTasks() < serviceTasks ? current + timeStep : Milliseconds(0);
            longest = std::max(longest, current);
        }
        return longest;
    }

    const std::vector<std::string> workers { "w1", "w2", "w3", "w4" };
    /** The first run of the service's first task fails after this time. */
    static constexpr Milliseconds firstRunDuration { 65000 };
    static constexpr int serviceTasks = 4;
    /** How often the service's first task was started. */
    int firstTaskStarts = 0;
    OwnerFixture cell;

private:
    int countRunningTasks(const std::string &worker)
    {
        const auto &runs = cell.fleet.worker(worker).runs();
        return static_cast<int>(
            std::count_if(runs.begin(), runs.end(), [](const auto &run) { return run.first.first.job == serviceId; }));
    }

    std::string backlogQueue_;
    int nextJob_ = 1;
};

/**
    The time from the end of the job that fills the only sound worker to the start of a task of a service that waits for room.

    @param age  how long the service has run before its worker drains
    @param wait how long its task has waited by then
*/
Milliseconds measureRepairOnFreedWorker(Milliseconds age, Milliseconds wait)
{
    OwnerFixture cell;
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { std::chrono::hours(1), RunOutcome::Done }; };
    cell.addWorker("w1", 4);
    cell.takeOver();
    REQUIRE(cell.submit(serviceId, jobBody(1, 1000, R"(,"longRunning":true)"), "advised") == ClientResult::Outcome::Accepted);
    cell.addWorker("w2", 4);
    cell.timers.advance(Milliseconds(2000));
    REQUIRE(cell.submit(jobIdOf(1), jobBody(1, 4000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(age);
    REQUIRE(cell.starts.size() == 2);
    cell.list("w1", true);
    cell.timers.advance(wait);
    cell.cancel(jobIdOf(1));
    const auto cancelledAt = cell.timers.now();
    while (cell.starts.size() < 3 && cell.timers.now() - cancelledAt < std::chrono::minutes(1)) {
        cell.timers.advance(Milliseconds(10));
    }
    return std::chrono::duration_cast<Milliseconds>(cell.timers.now() - cancelledAt);
}

} // namespace

// Guards against a failed task of a service that waits behind all other work because its job was accepted long ago.
TEST_CASE("a service whose task fails is whole again within seconds in a cell that a backlog keeps full")
{
    const std::string queue = GENERATE("normal", "advised", "urgent");
    CAPTURE(queue);
    FullCell full(queue, queue);
    full.advance(Milliseconds(60000));
    REQUIRE(full.countRunningTasks() == FullCell::serviceTasks);
    const auto absence = full.measureLongestAbsence(Milliseconds(20000));
    CHECK(full.firstTaskStarts == 2);
    CHECK(absence.count() <= maxRepairTime.count());
}

// Guards against tasks of a service that wait behind all other work after the crash of their worker.
TEST_CASE("a service whose worker crashes is whole again within seconds in a cell that a backlog keeps full")
{
    const std::string queue = GENERATE("normal", "advised", "urgent");
    CAPTURE(queue);
    FullCell full(queue, queue);
    full.advance(Milliseconds(50000));
    full.advanceUnderLoad(Milliseconds(3000));
    REQUIRE(full.countRunningTasks() == FullCell::serviceTasks);
    full.crashWorkerOfService();
    CHECK(full.measureLongestAbsence(Milliseconds(10000)).count() <= maxRepairTime.count());
}

// Guards against more urgent work that keeps a service from being repaired for as long as its backlog lasts.
TEST_CASE("a service whose worker crashes is whole again within seconds though more urgent work waits")
{
    FullCell full("normal", "urgent");
    full.advance(Milliseconds(50000));
    full.advanceUnderLoad(Milliseconds(3000));
    REQUIRE(full.countRunningTasks() == FullCell::serviceTasks);
    full.crashWorkerOfService();
    CHECK(full.measureLongestAbsence(Milliseconds(10000)).count() <= maxRepairTime.count());
}

// Guards against more urgent work that takes the room of a repair each time while its advice is asked for: the request names the
// one worker for which it has planned, and the next one is answered as late.
TEST_CASE("a service whose worker crashes is whole again within seconds though its advice takes long and more urgent work waits")
{
    FullCell full("advised", "urgent");
    full.cell.advisor.responseTime = Milliseconds(740);
    full.advance(Milliseconds(50000));
    full.advanceUnderLoad(Milliseconds(3000));
    REQUIRE(full.countRunningTasks() == FullCell::serviceTasks);
    full.crashWorkerOfService();
    CHECK(full.measureLongestAbsence(Milliseconds(10000)).count() <= maxRepairTime.count());
}

// Guards against a failed task of a service that a new owner takes for one that has never run, since nothing but the former owner
// knew that it had: it waits behind all more urgent work, at each takeover anew.
TEST_CASE("a service whose task fails while its owner stops is whole again within seconds of the takeover")
{
    FullCell full("advised", "urgent");
    full.cell.advisor.responseTime = Milliseconds(740);
    full.advance(FullCell::firstRunDuration - Milliseconds(3000));
    full.advanceUnderLoad(Milliseconds(2000));
    REQUIRE(full.countRunningTasks() == FullCell::serviceTasks);
    full.replaceOwner(Milliseconds(2000));
    // The answer to a request for advice cannot be there.
    REQUIRE(full.countRunningTasks() == FullCell::serviceTasks - 1);
    const auto absence = full.measureLongestAbsence(Milliseconds(10000));
    CHECK(absence.count() <= maxRepairTime.count());
}

// Guards against a task of a service that no record names as begun: its run is gone with its worker before the next owner reads it.
TEST_CASE("a service whose worker crashes while there is no owner is whole again within seconds of the takeover")
{
    FullCell full("normal", "urgent");
    full.advance(Milliseconds(50000));
    full.advanceUnderLoad(Milliseconds(2000));
    REQUIRE(full.countRunningTasks() == FullCell::serviceTasks);
    full.cell.killOwner();
    full.crashWorkerOfService();
    REQUIRE(full.countRunningTasks() < FullCell::serviceTasks);
    full.cell.takeOver();
    CHECK(full.measureLongestAbsence(Milliseconds(10000)).count() <= maxRepairTime.count());
}

// Guards against runs that an owner has adopted and that no record names, as those started by an earlier release: the owner after
// it takes a lost task for one that has never run, however long the adopting owner has had it.
TEST_CASE("a service whose runs were adopted is whole again within seconds of the next takeover")
{
    FullCell full("normal", "urgent");
    while (full.countRunningTasks() < FullCell::serviceTasks) {
        full.advance(Milliseconds(1));
    }
    // Before the record of the start is stored.
    full.cell.killOwner();
    full.cell.takeOver();
    full.advance(Milliseconds(50000));
    full.advanceUnderLoad(Milliseconds(2000));
    REQUIRE(full.countRunningTasks() == FullCell::serviceTasks);
    full.cell.killOwner();
    full.crashWorkerOfService();
    full.cell.takeOver();
    CHECK(full.measureLongestAbsence(Milliseconds(10000)).count() <= maxRepairTime.count());
}

// Guards against a service of which a new owner knows only that its run has ended: no record names the run, and none is left to
// adopt, so that the service waits behind all more urgent work as one that has never run.
TEST_CASE("a service whose only run ends before the next owner reads it is whole again within seconds")
{
    OwnerFixture cell;
    // The check of the starts knows only jobs of OwnerFixture::submit().
    cell.fleet.onStarted = {};
    constexpr Milliseconds firstRunDuration { 300 };
    cell.plan = [&](const TaskName &task, std::int64_t attempt) {
        if (task.job != serviceId) {
            return SimulatedWork {};
        }
        return attempt == 1 ? SimulatedWork { firstRunDuration, RunOutcome::Failed }
                            : SimulatedWork { std::chrono::hours(1), RunOutcome::Done };
    };
    auto &worker = cell.addWorker("w1", 4);
    cell.takeOver();
    REQUIRE(cell.submit(serviceId, jobBody(1, 1000, R"(,"longRunning":true)")) == ClientResult::Outcome::Accepted);
    while (worker.runs().empty()) {
        cell.timers.advance(Milliseconds(1));
    }
    // Before the record of the start is stored.
    cell.killOwner();
    cell.timers.advance(firstRunDuration * 2);
    // The backlog is there before the worker is read.
    worker.isCutOff = true;
    cell.takeOver();
    for (int number = 1; number <= 100; ++number) {
        ClientCall call;
        call.kind = ClientCall::Kind::Submit;
        call.queue = "urgent";
        call.job = jobIdOf(number);
        call.body = jobBody(1, 1000);
        cell.owner->call(call, [](const ClientResult &) {});
    }
    cell.timers.advance(Milliseconds(200));
    worker.isCutOff = false;
    const auto readableAt = cell.timers.now();
    std::optional<TimePoint> startedAt;
    cell.fleet.onStarted = [&](SimulatedWorker &, const StartCommand &command) {
        if (command.task.job == serviceId && !startedAt) {
            startedAt = cell.timers.now();
        }
    };
    cell.timers.advance(Milliseconds(30000));
    REQUIRE(startedAt);
    CHECK(std::chrono::duration_cast<Milliseconds>(*startedAt - readableAt).count() <= maxRepairTime.count());
}

// Guards against searches that become rare with the age of the service: only the time for which a task has waited counts, and a
// search may be delayed by an eighth of it.
TEST_CASE("a service that has run for long is repaired soon after there is room")
{
    constexpr int delayDivisor = 8;
    constexpr Milliseconds answerAndStart { 200 };
    const Milliseconds age = GENERATE(Milliseconds(4000), Milliseconds(120000));
    const Milliseconds wait = GENERATE(Milliseconds(1500), Milliseconds(1750), Milliseconds(2000), Milliseconds(2250));
    CAPTURE(age.count(), wait.count());
    CHECK(measureRepairOnFreedWorker(age, wait).count() <= (wait / delayDivisor + answerAndStart).count());
}

// Guards against lost tasks that are asked about one after the other: while one of them can be placed on a worker that an earlier
// answer has allowed, no other workers are asked about for the rest.
TEST_CASE("lost tasks of a service for which the allowed workers have no room are asked about together with the others")
{
    constexpr Milliseconds answerTime { 740 };
    constexpr std::size_t tasks = 4;
    OwnerFixture cell;
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { std::chrono::hours(1), RunOutcome::Done }; };
    cell.addWorker("w1", 16);
    cell.advisor.responseTime = answerTime;
    cell.takeOver();
    REQUIRE(cell.submit(serviceId, jobBody(tasks, 4000, R"(,"longRunning":true)"), "advised") == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(10000));
    REQUIRE(cell.starts.size() == tasks);
    for (const auto *id : { "x1", "x2", "x3", "x4" }) {
        cell.addWorker(id, 4);
    }
    cell.timers.advance(Milliseconds(2000));
    // Of its four tasks, w1 has room for one when it is back.
    auto &crashed = cell.fleet.worker("w1");
    crashed.restart();
    crashed.setCapacity({ 4000, 1 << 20, 0, 0, 0 });
    cell.list("w1");
    std::vector<TimePoint> startedAt;
    cell.fleet.onStarted = [&](SimulatedWorker &, const StartCommand &) { startedAt.push_back(cell.timers.now()); };
    cell.timers.advance(Milliseconds(10000));
    REQUIRE(startedAt.size() == tasks);
    CHECK(std::chrono::duration_cast<Milliseconds>(startedAt.back() - startedAt.front()).count() < answerTime.count() / 2);
}

// Guards against an occurrence that counts as lost by the age of its job, and waits behind less urgent work: its deadlines are
// counted from the time it is due.
TEST_CASE("an occurrence that is due late in the life of its job keeps its rank")
{
    constexpr int occurrences = 6;
    constexpr Milliseconds interval { 5000 };
    // Three times its work and the allowance of its queue, as for a job without a schedule.
    constexpr Milliseconds objective { 2000 };
    FullCell full("normal", "normal");
    std::map<int, TimePoint> startedAt;
    const std::string scheduledId = "00000000000000bb";
    full.cell.fleet.onStarted = [&](SimulatedWorker &, const StartCommand &command) {
        if (command.task.job == scheduledId) {
            startedAt.try_emplace(command.task.occurrence, full.cell.timers.now());
        }
    };
    const auto firstDueAt = full.cell.timers.now() + interval;
    auto body = jobBody(1, 1000);
    body.insert(body.size() - 1,
                R"(,"repeatCount":)" + std::to_string(occurrences) + R"(,"intervalMs":)" + std::to_string(interval.count())
                    + R"(,"startAtMs":)" + std::to_string((full.cell.timers.wallNow() + interval).count()));
    REQUIRE(full.cell.submit(scheduledId, body, "urgent") == ClientResult::Outcome::Accepted);
    full.advanceUnderLoad(interval * (occurrences + 1));
    for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
        CAPTURE(occurrence);
        REQUIRE(startedAt.contains(occurrence));
        const auto wait = std::chrono::duration_cast<Milliseconds>(startedAt[occurrence] - firstDueAt - interval * occurrence);
        CHECK(wait.count() <= objective.count());
    }
}
