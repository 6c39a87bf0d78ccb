#include "Cases.h"

namespace auburndoor {

namespace {

const std::string prefix = "/jobs/";
constexpr int rackCount = 8;
constexpr int workersPerRack = 3;
constexpr Milliseconds outage { 1000 };

/** 24 workers in 8 racks. @return the workers of the first rack */
std::vector<std::string> buildDeployment(ReviewCell &cell)
{
    std::vector<std::string> firstRack;
    cell.writeDesiredState(
        R"([{"name":"jobs","host":"shop.example","pathPrefix":"/jobs/","kind":"non_idempotent","timeoutMs":3000,)"
        R"("targetLatencyMs":2500,"priority":1,"service":"desk","maxAttempts":3,"slackFactor":4.0}])",
        R"([{"name":"desk","enforceCapacity":false}])");
    for (int rack = 1; rack <= rackCount; ++rack) {
        for (int number = 1; number <= workersPerRack; ++number) {
            const auto rackName = "r" + std::to_string(rack);
            const auto id = "w" + std::to_string(rack) + std::to_string(number);
            cell.addWorker({ id, "desk", "a", rackName });
            if (rack == 1) {
                firstRack.push_back(id);
            }
        }
    }
    cell.addEntries(3);
    cell.startEntries();
    return firstRack;
}

bool areAllRunning(const ReviewCell &cell, const std::vector<std::string> &tasks)
{
    return std::all_of(tasks.begin(), tasks.end(), [&cell](const std::string &task) {
        const auto found = cell.tasks.find(task);
        return found != cell.tasks.end() && found->second.runs == 1;
    });
}

} // namespace

int playGivenUpJobs(ReviewCell &cell, bool hasTrouble)
{
    constexpr int maxCrashes = 4;
    constexpr Milliseconds workTime { 9000 };
    const std::string finite = "00000000000000a1";
    const std::string lasting = "00000000000000a2";
    const std::vector<std::string> tasks { finite + ".0.0.0", lasting + ".0.0.0" };
    cell.plan = [&](const std::string &task) { return task.starts_with(finite) ? ReviewWork { workTime, "done" } : ReviewWork {}; };
    const auto rack = buildDeployment(cell);
    if (!cell.waitUntilReady(Milliseconds(15000))) {
        return 2;
    }
    cell.submit(
        prefix, finite, R"({"spec":"a","taskGroups":[{"count":1,"cpu":6600,"memMb":256,"estimateMs":9000,"constraints":"r1"}]})");
    cell.submit(
        prefix,
        lasting,
        R"({"spec":"b","taskGroups":[{"count":1,"cpu":3000,"memMb":256,"estimateMs":500,"constraints":"r1","longRunning":true}]})");
    if (!cell.runUntil([&] { return cell.accepted.size() == 2 && areAllRunning(cell, tasks); }, Milliseconds(10000))) {
        return 2;
    }
    const auto hasFailed = [&] { return cell.states[finite] == "failed" || cell.states[lasting] == "failed"; };
    const auto ask = [&] {
        cell.query(prefix, finite);
        cell.query(prefix, lasting);
        cell.runFor(Milliseconds(300));
    };
    for (int number = 0; hasTrouble && number < maxCrashes && !hasFailed(); ++number) {
        cell.runFor(Milliseconds(1500));
        cell.crash(rack);
        cell.runFor(outage);
        cell.restart(rack);
        const auto restarted = [&] {
            ask();
            return hasFailed() || areAllRunning(cell, tasks);
        };
        if (!cell.runUntil(restarted, Milliseconds(15000))) {
            return 2;
        }
    }
    cell.runUntil(
        [&] {
            ask();
            return cell.states[finite] == "completed" || hasFailed();
        },
        Milliseconds(30000));
    ask();
    bool isBroken = false;
    for (const auto &id : { finite, lasting }) {
        const auto &task = cell.tasks[id + ".0.0.0"];
        cell.record("job " + id + " is shown as " + cell.states[id] + "; its task: " + std::to_string(task.starts) + " starts, "
                    + std::to_string(task.failedEnds) + " ends failed, " + std::to_string(task.crashes)
                    + " lost with their worker");
        isBroken = isBroken || (cell.states[id] == "failed" && task.failedEnds == 0);
    }
    return isBroken ? 1 : 0;
}

int playIsolatedTasks(ReviewCell &cell, bool hasTrouble)
{
    constexpr int jobCount = 4;
    // From RULES.md, LOST: from 6 s after a lasting task's last run, for 3 s; these and the 4 s before them are calm. A moment
    // counts as calm here once nothing has been disturbed for contactMs.
    constexpr Milliseconds contact { 3000 };
    constexpr Milliseconds afterLastRun { 6000 };
    constexpr Milliseconds idleTime { 3000 };
    constexpr Milliseconds calmBefore { 4000 };
    constexpr Milliseconds watchTime { 25000 };
    std::vector<std::string> ids;
    std::vector<std::string> tasks;
    for (int number = 1; number <= jobCount; ++number) {
        ids.push_back("00000000000000b" + std::to_string(number));
        tasks.push_back(ids.back() + ".0.0.0");
    }
    cell.plan = [](const std::string &) { return ReviewWork {}; };
    const auto rack = buildDeployment(cell);
    if (!cell.waitUntilReady(Milliseconds(15000))) {
        return 2;
    }
    for (const auto &id : ids) {
        cell.submit(
            prefix,
            id,
            R"({"spec":"c","taskGroups":[{"count":1,"cpu":3000,"memMb":256,"estimateMs":500,"constraints":"r1","longRunning":true}]})");
    }
    if (!cell.runUntil([&] { return cell.accepted.size() == ids.size() && areAllRunning(cell, tasks); }, Milliseconds(10000))) {
        return 2;
    }
    auto calmSince = cell.loop.now();
    for (int number = 0; hasTrouble && number < 2; ++number) {
        cell.runFor(Milliseconds(1500));
        cell.crash(rack);
        cell.runFor(outage);
        cell.restart(rack);
        calmSince = cell.loop.now();
        if (number == 0 && !cell.runUntil([&] { return areAllRunning(cell, tasks); }, Milliseconds(15000))) {
            return 2;
        }
    }
    bool isBroken = false;
    const auto watched = [&] {
        const auto now = cell.loop.now();
        for (const auto &task : tasks) {
            const auto &seen = cell.tasks[task];
            const bool isIdle = seen.runs == 0 && now - seen.lastOverAt >= afterLastRun + idleTime;
            if (isIdle && now - calmSince >= contact + calmBefore + idleTime) {
                int runs = 0;
                for (const auto &id : rack) {
                    runs += static_cast<int>(cell.workers.at(id)->runs().size());
                }
                cell.record("task " + task + " has had no run for "
                            + std::to_string(std::chrono::duration_cast<Milliseconds>(now - seen.lastOverAt).count())
                            + " ms, calm for " + std::to_string(std::chrono::duration_cast<Milliseconds>(now - calmSince).count())
                            + " ms; the three workers of its rack have " + std::to_string(runs)
                            + " runs of 3 cores each, and 32 cores each");
                isBroken = true;
            }
        }
        return isBroken;
    };
    cell.runUntil(watched, watchTime);
    cell.runUntil([&] { return areAllRunning(cell, tasks); }, Milliseconds(15000));
    for (const auto &task : tasks) {
        cell.record("task " + task + ": " + std::to_string(cell.tasks[task].starts) + " starts, "
                    + std::to_string(cell.tasks[task].runs) + " runs now");
    }
    return isBroken ? 1 : 0;
}

int playLostAfterRestart(ReviewCell &cell, bool hasTrouble)
{
    // From RULES.md, LOST, as in playIsolatedTasks().
    constexpr Milliseconds afterLastRun { 6000 };
    constexpr Milliseconds idleTime { 3000 };
    constexpr Milliseconds calmBefore { 4000 };
    constexpr Milliseconds shortOutage { 300 };
    // From the restart of the tasks until one of their workers is lost.
    constexpr Milliseconds timeUntilLoss { 500 };
    // One task on each worker of the rack, so that each has a lease.
    const std::vector<std::string> ids { "00000000000000c1", "00000000000000c2", "00000000000000c3" };
    std::vector<std::string> tasks;
    for (const auto &id : ids) {
        tasks.push_back(id + ".0.0.0");
    }
    // Of the deployment with the longest leases.
    cell.maxHold = Milliseconds(10000);
    cell.killGrace = Milliseconds(400);
    cell.plan = [](const std::string &) { return ReviewWork {}; };
    const auto rack = buildDeployment(cell);
    if (!cell.waitUntilReady(Milliseconds(15000))) {
        return 2;
    }
    const std::string body = R"({"spec":"d","taskGroups":[{"count":1,"cpu":20000,"memMb":256,"estimateMs":500,)"
                             R"("affinity":"r1","longRunning":true}]})";
    for (const auto &id : ids) {
        cell.submit(prefix, id, body);
    }
    if (!cell.runUntil([&] { return areAllRunning(cell, tasks); }, Milliseconds(10000))) {
        return 2;
    }
    cell.runFor(Milliseconds(2000));
    bool isBroken = false;
    if (hasTrouble) {
        cell.crash(rack);
        cell.runFor(shortOutage);
        cell.restart(rack);
        if (!cell.runUntil([&] { return areAllRunning(cell, tasks); }, Milliseconds(10000))) {
            return 2;
        }
        cell.runFor(timeUntilLoss);
        const auto host = std::find_if(
            rack.begin(), rack.end(), [&cell](const std::string &worker) { return !cell.workers.at(worker)->runs().empty(); });
        if (host == rack.end()) {
            return 2;
        }
        cell.lose(*host);
    }
    const auto calmSince = cell.loop.now();
    cell.runUntil(
        [&] {
            const auto now = cell.loop.now();
            for (const auto &task : tasks) {
                const auto &seen = cell.tasks[task];
                const bool isIdle = seen.runs == 0 && now - seen.lastOverAt >= afterLastRun + idleTime;
                if (!isBroken && isIdle && now - calmSince >= calmBefore + idleTime) {
                    cell.record("task " + task + " has had no run for "
                                + std::to_string(std::chrono::duration_cast<Milliseconds>(now - seen.lastOverAt).count())
                                + " ms; two other tasks run on 23 workers of 32 cores");
                    isBroken = true;
                }
            }
            return isBroken && areAllRunning(cell, tasks);
        },
        Milliseconds(16000));
    for (const auto &task : tasks) {
        cell.record("task " + task + ": " + std::to_string(cell.tasks[task].starts) + " starts, "
                    + std::to_string(cell.tasks[task].runs) + " runs now");
    }
    return isBroken ? 1 : 0;
}

} // namespace auburndoor
