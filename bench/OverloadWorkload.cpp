#include "OverloadWorkload.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

using namespace auburndoor;

namespace {

constexpr double measuredWorkers = 350;
constexpr double wavePeriodSeconds = 15;
constexpr double waveHeight = 0.5;
constexpr int accounts = 10;
constexpr double burstPeriodSeconds = 11;
constexpr double burstSeconds = 3;
constexpr double burstFactor = 5;
// The sizes of jobs have a logarithmic normal distribution with a mean of 1: one of a hundred is four times the mean or larger.
constexpr double sizeSpread = 0.8;

/** The factor by which the arrival rate of an account differs from the mean over time. */
double rateFactor(double seconds, int account)
{
    const auto burst = static_cast<int>(seconds / burstPeriodSeconds);
    const bool isBursting = burst > 0 && burst % accounts == account && std::fmod(seconds, burstPeriodSeconds) < burstSeconds;
    const auto wave = 1 + waveHeight * std::sin(2 * std::numbers::pi * seconds / wavePeriodSeconds);
    return wave * (isBursting ? burstFactor : 1);
}

} // namespace

std::vector<CallerKind> overloadKinds()
{
    return { { "urgent", 0, 88, 1, 3, Milliseconds(1000), 2500, 1.5, Milliseconds(300), false, 0.42 },
             { "second", 1, 4.7, 1.2, 20, Milliseconds(5000), 4500, 2.2, Milliseconds(500), true, 9.1 },
             { "third", 2, 12.3, 1.5, 25, Milliseconds(2200), 1700, 4, Milliseconds(500), true, 2.2 } };
}

std::vector<OverloadJob> makeOverload(const OverloadOptions &options)
{
    std::mt19937_64 random(options.seed);
    std::uniform_real_distribution<double> unit(0, 1);
    std::normal_distribution<double> normal(-sizeSpread * sizeSpread / 2, sizeSpread);
    std::vector<OverloadJob> jobs;
    const auto kinds = overloadKinds();
    const auto endSeconds = std::chrono::duration<double>(options.duration).count();
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        const auto &shape = kinds[kind];
        // Arrivals at the highest rate, of which those are kept that the rate at their time makes likely.
        const auto highest = (1 + waveHeight) * burstFactor;
        const auto rate = shape.jobsPerSecond * options.load * options.workers / measuredWorkers;
        std::exponential_distribution<double> gap(rate * highest);
        for (double at = gap(random); at < endSeconds; at += gap(random)) {
            const auto account = static_cast<int>(unit(random) * accounts);
            if (unit(random) * highest > rateFactor(at, account)) {
                continue;
            }
            OverloadJob job;
            job.arrival = Milliseconds(static_cast<long long>(at * 1000));
            job.kind = kind;
            job.account = "account-" + std::to_string(account);
            job.steps = unit(random) < shape.steps - 1 ? 2 : 1;
            job.tasks = std::max(1, static_cast<int>(std::lround(shape.tasks * std::exp(normal(random)))));
            const auto meanTime = static_cast<double>(shape.runTime.count()) * (0.7 + 0.6 * unit(random));
            job.estimate = Milliseconds(static_cast<long long>(meanTime * (0.67 + 0.83 * unit(random))));
            for (int task = 0; task < job.steps * job.tasks; ++task) {
                job.runTimes.emplace_back(static_cast<long long>(meanTime * (0.9 + 0.2 * unit(random))));
            }
            jobs.push_back(std::move(job));
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto &left, const auto &right) { return left.arrival < right.arrival; });
    return jobs;
}
