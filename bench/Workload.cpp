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

constexpr double microsPerMs = 1000;

/** The kinds in use are the first ones. */
std::size_t kindCount(const WorkloadOptions &options)
{
    return options.hasStragglers ? kinds.size() : kinds.size() - 1;
}

double shareSum(const WorkloadOptions &options)
{
    double sum = 0;
    for (std::size_t kind = 0; kind < kindCount(options); ++kind) {
        sum += kinds.at(kind).share;
    }
    return sum;
}

double meanRunTimeMs(const WorkloadOptions &options)
{
    double mean = 0;
    for (std::size_t kind = 0; kind < kindCount(options); ++kind) {
        mean += kinds.at(kind).share * kinds.at(kind).runTimeMs;
    }
    return mean / shareSum(options);
}

class Generator
{
public:
    explicit Generator(const WorkloadOptions &options) : options_(options), engine_(options.seed)
    {
        std::uniform_real_distribution<double> exponent(-1, 1);
        for (auto &factor : declaredFactors_) {
            factor = std::pow(10, exponent(engine_));
        }
    }

    WorkItem makeItem(std::size_t kind, double arrivalMs)
    {
        // "About": run times vary by a fifth around the kind's own.
        std::uniform_real_distribution<double> variation(0.8, 1.2);
        WorkItem item;
        item.arrival = std::chrono::microseconds(std::llround(arrivalMs * microsPerMs));
        item.runTime = std::chrono::microseconds(std::llround(kinds.at(kind).runTimeMs * variation(engine_) * microsPerMs));
        item.deadline = item.arrival + std::chrono::microseconds(std::llround(kinds.at(kind).deadlineMs * microsPerMs));
        item.declaredRunTime = Milliseconds(std::llround(kinds.at(kind).runTimeMs * declaredFactors_.at(kind)));
        item.kind = kinds.at(kind).name;
        item.team = drawTeam();
        return item;
    }

    std::size_t drawKind()
    {
        const auto draw = unit_(engine_) * shareSum(options_);
        return draw < kinds[0].share ? 0 : (draw < kinds[0].share + kinds[1].share ? 1 : 2);
    }

    double drawGapMs(double atMs)
    {
        const double crestStart = std::chrono::duration<double, std::milli>(options_.crestStart).count();
        const double crestEnd = crestStart + std::chrono::duration<double, std::milli>(options_.crestLength).count();
        const double factor = atMs >= crestStart && atMs < crestEnd ? options_.crestFactor : 1;
        const double ratePerMs = factor * options_.load * options_.slots / meanRunTimeMs(options_);
        return std::exponential_distribution<double>(ratePerMs)(engine_);
    }

private:
    int drawTeam()
    {
        if (options_.floodShare > 0 && unit_(engine_) < options_.floodShare) {
            return 0;
        }
        const int first = options_.floodShare > 0 ? 1 : 0;
        return std::uniform_int_distribution<int>(first, options_.teams - 1)(engine_);
    }

    const WorkloadOptions options_;
    std::mt19937_64 engine_;
    std::uniform_real_distribution<double> unit_ { 0, 1 };
    std::array<double, kinds.size()> declaredFactors_ {};
};

} // namespace

std::vector<WorkItem> makeWorkload(const WorkloadOptions &options)
{
    Generator generator(options);
    std::vector<WorkItem> items;
    const double endMs = std::chrono::duration<double, std::milli>(options.duration).count();
    for (double atMs = generator.drawGapMs(0); atMs < endMs; atMs += generator.drawGapMs(atMs)) {
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
