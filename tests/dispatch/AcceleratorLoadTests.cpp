#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numbers>
#include <random>

using namespace auburndoor;

namespace {

constexpr Milliseconds timeStep { 20 };

QueueSpec makeAdvisedQueue(const std::string &name, int priority, double slackFactor, double decisionMs, double workerMs)
{
    QueueSpec queue;
    queue.name = name;
    queue.host = "host";
    queue.pathPrefix = "/" + name + "/";
    queue.service = "desk";
    queue.priority = priority;
    queue.maxAttempts = 2;
    queue.slackFactor = slackFactor;
    queue.latencyAllowance = Milliseconds(500);
    queue.advice = AdvicePolicy { std::chrono::duration<double, std::milli>(decisionMs),
                                  std::chrono::duration<double, std::milli>(workerMs),
                                  Milliseconds(2000) };
    return queue;
}

/** What was seen of one job. */
struct JobTimes
{
    bool isGang = false;
    int accelerators = 1;
    Milliseconds allowed { 0 };
    TimePoint submittedAt;
    TimePoint completedAt;
};

/**
    98 workers of 8 accelerators under gangs (4 members of 2 to 8 accelerators, 30% of the workers allowed) and jobs of 16 tasks of
   one accelerator (45% allowed), at a demand that rises by 55% every 15 s. Advice is asked by 31 processes, one request at a time
   each.
*/
struct AcceleratorSite : OwnerFixture
{
    static constexpr int workerCount = 98;
    static constexpr double gangsPerSecond = 3.9;
    static constexpr double singlesPerSecond = 4.4;

    explicit AcceleratorSite(unsigned seed) : random(seed), workRandom(seed), salt(std::to_string(seed))
    {
        plan = [this](const TaskName &task, std::int64_t) { return SimulatedWork { drawTime(jobs[task.job]), RunOutcome::Done }; };
        addQueue(makeAdvisedQueue("gangs", 1, 2.2, 715, 10));
        addQueue(makeAdvisedQueue("singles", 2, 4, 195, 2.7));
        for (int number = 0; number < workerCount; ++number) {
            const auto id = "w" + std::to_string(100 + number);
            addWorker(id, 32).setCapacity({ 32000, 65536, 8, 0, 0 });
            list(id);
        }
        advisor.takesExpectedTime = true;
        advisor.maxPending = 31;
        advisor.reservedForShort = 8;
        advisor.validity = Milliseconds(2000);
        advisor.mayUse = [this](const AdviceRequest &request, const std::string &worker) {
            const auto &job = jobs[request.step.job];
            const auto draw = std::hash<std::string>()(salt + request.step.job + worker) % 1000;
            return draw < (job.isGang ? 300U : 450U);
        };
        takeOver();
    }

    Milliseconds drawTime(const JobTimes &job)
    {
        std::lognormal_distribution<double> noise(0, 0.15);
        return Milliseconds(std::llround((job.isGang ? 3800 : 2600) * (job.isGang ? 1 : noise(workRandom))));
    }

    void submitJob(bool isGang)
    {
        const auto id = jobIdOf(static_cast<int>(jobs.size()));
        auto &job = jobs[id];
        constexpr std::array sizes { 2, 4, 8 };
        job.isGang = isGang;
        job.accelerators = isGang ? sizes[std::uniform_int_distribution<std::size_t>(0, sizes.size() - 1)(random)] : 1;
        job.allowed = Milliseconds(isGang ? 3800 * 22 / 10 + 500 : 2600 * 4 + 500);
        job.submittedAt = timers.now();
        const auto fields = R"(,"gpu":)" + std::to_string(job.accelerators) + R"(,"estimateMs":)" + (isGang ? "3800" : "2600")
                            + (isGang ? R"(,"gang":true)" : "");
        auto body = jobBody(isGang ? 4 : 16, isGang ? 15000 : 1000, fields);
        body.replace(body.find(R"(,"estimateMs":500)"), 17, "");
        submitWithoutWaiting(id, body, isGang ? "gangs" : "singles", [](const ClientResult &) {});
    }

    void run(Milliseconds duration)
    {
        const auto begin = timers.now();
        const auto arrives = [&](double perSecond) {
            const double elapsed = std::chrono::duration<double>(timers.now() - begin).count();
            const double rise = 0.55 * std::max(0.0, std::sin(elapsed * 2 * std::numbers::pi / 15));
            const double expected = perSecond * (1 + rise) * std::chrono::duration<double>(timeStep).count();
            return std::poisson_distribution<int>(expected)(random);
        };
        while (timers.now() - begin < duration) {
            for (const bool isGang : { true, false }) {
                for (int count = arrives(isGang ? gangsPerSecond : singlesPerSecond); count > 0; --count) {
                    submitJob(isGang);
                }
            }
            advanceAndNote();
        }
        while (timers.now() - begin < duration + Milliseconds(15000)) {
            advanceAndNote();
        }
    }

    void advanceAndNote()
    {
        timers.advance(timeStep);
        for (auto &[id, job] : jobs) {
            if (job.completedAt == TimePoint() && stage(id) == JobStage::Completed) {
                job.completedAt = timers.now();
            }
        }
    }

    /** The share of the jobs that are in time. @param accelerators of a task; 0 for any */
    double shareInTime(bool isGang, int accelerators = 0) const
    {
        int all = 0;
        int inTime = 0;
        for (const auto &[id, job] : jobs) {
            if (job.isGang == isGang && (accelerators == 0 || job.accelerators == accelerators)) {
                ++all;
                inTime += job.completedAt != TimePoint() && job.completedAt - job.submittedAt <= job.allowed ? 1 : 0;
            }
        }
        return static_cast<double>(inTime) / all;
    }

    /** Draws the arrivals, which do not depend on the placement. */
    std::mt19937 random;
    std::mt19937 workRandom;
    std::string salt;
    std::map<std::string, JobTimes> jobs;
};

} // namespace

// Guards against gangs that wait while there is free capacity: room was reserved for each of them on four workers whose permits
// were still unknown, and as 30% are allowed, nearly none of these plans held, but each kept the other gangs out for a second. In
// this load 0.29 of the gangs with 8 accelerators and 0.75 of all were in time (seeds 1 to 6), with a third of the workers idle.
TEST_CASE("gangs with accelerators are in time beside jobs of single accelerators", "[accelerators]")
{
    constexpr unsigned seeds = 4;
    double gangs = 0;
    double largeGangs = 0;
    double singles = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        AcceleratorSite site(seed);
        site.run(Milliseconds(40000));
        CHECK(site.violations().empty());
        gangs += site.shareInTime(true) / seeds;
        largeGangs += site.shareInTime(true, 8) / seeds;
        singles += site.shareInTime(false) / seeds;
    }
    CHECK(gangs > 0.9);
    CHECK(largeGangs > 0.7);
    CHECK(singles > 0.99);
}
