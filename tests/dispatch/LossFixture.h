#pragma once

#include "dispatch/OwnerFixture.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

namespace auburndoor {

/** A cell whose workers go on with their runs after the end of their leases, and whose events are counted. */
struct LossFixture : OwnerFixture
{
    static constexpr const char *job = "00000000000000aa";
    /** A lease of 5 s on a clock that is 2% slow, the time to end what runs, and the poll that notices the end. */
    static constexpr Milliseconds leaseTime { 6500 };
    /** The next poll of a worker that is back, the stop, and the report of the end. */
    static constexpr Milliseconds reactionTime { 1200 };

    explicit LossFixture(Milliseconds clockStart = std::chrono::hours(1)) : OwnerFixture(clockStart)
    {
        EventLog::setMetrics(&metrics);
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(20000), RunOutcome::Done }; };
        addWorker("w1", 4);
        // More than half of the roster stays within reach.
        addWorker("s1", 4, "studio");
        addWorker("s2", 4, "studio");
        for (const auto &[id, worker] : fleet.workers()) {
            worker->killTime = Milliseconds(60000);
        }
        takeOver();
    }
    LossFixture(const LossFixture &) = delete;
    LossFixture &operator=(const LossFixture &) = delete;
    ~LossFixture()
    {
        EventLog::setMetrics(nullptr);
    }

    /** Submits a job and waits until this many of its runs have been started. */
    void begin(int runs, const std::string &body)
    {
        REQUIRE(submit(job, body) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(500));
        REQUIRE(static_cast<int>(starts.size()) == runs);
    }
    /** Cuts w1 off until the owner has given its runs up. */
    void loseFirstWorker()
    {
        fleet.worker("w1").isCutOff = true;
        timers.advance(leaseTime);
    }
    /** w1 is within reach again. */
    void regainFirstWorker()
    {
        fleet.worker("w1").isCutOff = false;
    }
    /** The first attempt of the first task under the first owner. */
    static std::pair<TaskName, std::int64_t> firstRun()
    {
        return { { job, 0, 0, 0 }, 1 };
    }
    long long contradictions(const std::string &reason) const
    {
        return metrics.counter("events_total", "event=run.loss_contradicted,reason=" + reason);
    }
    /** The attempts of the task that run on the worker. */
    std::vector<std::int64_t> attemptsOn(const std::string &worker, int index = 0)
    {
        std::vector<std::int64_t> attempts;
        for (const auto &[key, run] : fleet.worker(worker).runs()) {
            if (key.first.job == job && key.first.index == index) {
                attempts.push_back(key.second);
            }
        }
        return attempts;
    }

    /** The attempts of the first task that run on any worker, in order. */
    std::vector<std::int64_t> attempts()
    {
        std::vector<std::int64_t> all;
        for (const auto &[id, worker] : fleet.workers()) {
            const auto some = attemptsOn(id);
            all.insert(all.end(), some.begin(), some.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    Metrics metrics;
};

} // namespace auburndoor
