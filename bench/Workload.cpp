#include "Workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

using namespace auburndoor;

namespace {

struct Kind
{
    const char *name;
    double share;
    double runTimeMs;
    double deadlineMs;
};

constexpr std::array<Kind, 3> kinds {
    Kind { "short", 0.9, 50, 5000 },
    Kind { "medium", 0.09, 300, 5000 },
    Kind { "straggler", 0.01, 5000, 30'000 },
};

constexpr double microsecondsPerMillisecond = 1000;

/** The number of entries of the kinds array that the workload uses; the stragglers are the last one. */
std::size_t countKinds(const WorkloadOptions &options)
{
    return options.hasStragglers ? kinds.size() : kinds.size() - 1;
}

double computeShareSum(const WorkloadOptions &options)
{
    double sum = 0;
    for (std::size_t kind = 0; kind < countKinds(options); ++kind) {
        sum += kinds.at(kind).share;
    }
    return sum;
}

double computeMeanRunTimeMs(const WorkloadOptions &options)
{
    double mean = 0;
    for (std::size_t kind = 0; kind < countKinds(options); ++kind) {
        mean += kinds.at(kind).share * kinds.at(kind).runTimeMs;
    }
    return mean / computeShareSum(options);
}

class WorkItemGenerator
{
public:
    explicit WorkItemGenerator(const WorkloadOptions &options) : options_(options), randomEngine_(options.seed)
    {
        std::uniform_real_distribution<double> exponent(-1, 1);
        for (auto &factor : declaredRunTimeFactors_) {
            factor = std::pow(10, exponent(randomEngine_));
        }
    }

    WorkItem makeItem(std::size_t kind, double arrivalMs)
    {
        // Run times vary evenly by up to 20% around the nominal run time of the kind.
        std::uniform_real_distribution<double> variation(0.8, 1.2);
        WorkItem item;
        item.arrival = std::chrono::microseconds(std::llround(arrivalMs * microsecondsPerMillisecond));
        item.runTime = std::chrono::microseconds(
            std::llround(kinds.at(kind).runTimeMs * variation(randomEngine_) * microsecondsPerMillisecond));
        item.deadline = item.arrival
                        + std::chrono::microseconds(std::llround(kinds.at(kind).deadlineMs * microsecondsPerMillisecond));
        item.declaredRunTime = Milliseconds(std::llround(kinds.at(kind).runTimeMs * declaredRunTimeFactors_.at(kind)));
        item.kind = kinds.at(kind).name;
        item.team = drawTeam();
        return item;
    }

    std::size_t drawKind()
    {
        const auto draw = unitDistribution_(randomEngine_) * computeShareSum(options_);
        return draw < kinds[0].share ? 0 : (draw < kinds[0].share + kinds[1].share ? 1 : 2);
    }

    double drawInterarrivalTimeMs(double atMs)
    {
        const double peakStart = std::chrono::duration<double, std::milli>(options_.peakStart).count();
        const double peakEnd = peakStart + std::chrono::duration<double, std::milli>(options_.peakDuration).count();
        const double factor = atMs >= peakStart && atMs < peakEnd ? options_.peakFactor : 1;
        const double ratePerMs = factor * options_.load * options_.slots / computeMeanRunTimeMs(options_);
        return std::exponential_distribution<double>(ratePerMs)(randomEngine_);
    }

private:
    int drawTeam()
    {
        if (options_.floodShare > 0 && unitDistribution_(randomEngine_) < options_.floodShare) {
            return 0;
        }
        const int first = options_.floodShare > 0 ? 1 : 0;
        return std::uniform_int_distribution<int>(first, options_.teams - 1)(randomEngine_);
    }

    const WorkloadOptions options_;
    std::mt19937_64 randomEngine_;
    std::uniform_real_distribution<double> unitDistribution_ { 0, 1 };
    std::array<double, kinds.size()> declaredRunTimeFactors_ {};
};

} // namespace

std::vector<WorkItem> makeWorkload(const WorkloadOptions &options)
{
    WorkItemGenerator generator(options);
    std::vector<WorkItem> items;
    const double endMs = std::chrono::duration<double, std::milli>(options.duration).count();
    for (double atMs = generator.drawInterarrivalTimeMs(0); atMs < endMs; atMs += generator.drawInterarrivalTimeMs(atMs)) {
        items.push_back(generator.makeItem(generator.drawKind(), atMs));
    }
    for (const auto burst : options.bursts) {
        for (int index = 0; index < options.slots; ++index) {
            items.push_back(generator.makeItem(2, std::chrono::duration<double, std::milli>(burst).count()));
            items.back().team = options.teams - 1;
        }
    }
    std::stable_sort(
        items.begin(), items.end(), [](const WorkItem &left, const WorkItem &right) { return left.arrival < right.arrival; });
    return items;
}
