#include "measure/Report.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** @return the least-squares slope of the values over the sizes; 0 if all sizes are equal */
double fitSlope(const std::vector<double> &sizes, const std::vector<double> &values)
{
    double meanSize = 0;
    double meanValue = 0;
    const auto count = static_cast<double>(sizes.size());
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        meanSize += sizes[index] / count;
        meanValue += values[index] / count;
    }
    double covariance = 0;
    double variance = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        covariance += (sizes[index] - meanSize) * (values[index] - meanValue);
        variance += (sizes[index] - meanSize) * (sizes[index] - meanSize);
    }
    return variance > 0 ? covariance / variance : 0;
}

template<typename Size, typename Predicate>
void addSlope(std::vector<Slope> &slopes,
              const std::string &of,
              const std::vector<MeasuredLoad> &loads,
              const Size &sizeOf,
              const Predicate &isIncluded)
{
    std::vector<double> sizes;
    std::vector<MeasuredLoad> includedLoads;
    for (const auto &load : loads) {
        if (isIncluded(load.load)) {
            includedLoads.push_back(load);
            sizes.push_back(sizeOf(load.load));
        }
    }
    if (includedLoads.size() < 2) {
        return;
    }
    const auto computeSlope = [&](const Spread MeasuredLoad::*field) {
        std::vector<double> values;
        std::transform(includedLoads.begin(), includedLoads.end(), std::back_inserter(values), [field](const auto &load) {
            return (load.*field).median;
        });
        return fitSlope(sizes, values);
    };
    constexpr double kibPerMib = 1024;
    slopes.push_back({ of,
                       computeSlope(&MeasuredLoad::cpuPercent),
                       computeSlope(&MeasuredLoad::residentMiB) * kibPerMib,
                       computeSlope(&MeasuredLoad::controlBytes),
                       computeSlope(&MeasuredLoad::controlMessages),
                       computeSlope(&MeasuredLoad::requestBytes) });
}

} // namespace

std::vector<Slope> computeSlopes(const std::vector<MeasuredLoad> &loads)
{
    int maximumWorkers = 0;
    for (const auto &load : loads) {
        maximumWorkers = std::max(maximumWorkers, load.load.instances == 1 ? load.load.workers : 0);
    }
    std::vector<Slope> slopes;
    const auto workers = [](const CellLoad &load) { return static_cast<double>(load.workers) / load.instances; };
    const auto starts = [](const CellLoad &load) { return load.requestsPerSecond / load.instances; };
    const auto tasks = [](const CellLoad &load) { return static_cast<double>(load.tasks) / load.instances; };
    const auto instances = [](const CellLoad &load) { return static_cast<double>(load.instances); };
    addSlope(slopes, "worker owned (1 instance)", loads, workers, [](const CellLoad &load) {
        return load.instances == 1 && load.requestsPerSecond == 0;
    });
    addSlope(slopes, "worker owned (8 instances)", loads, workers, [](const CellLoad &load) {
        return load.instances == 8 && load.requestsPerSecond == 0 && load.tasks == 0;
    });
    addSlope(slopes, "instance of the cell", loads, instances, [](const CellLoad &load) {
        return load.workers == 0 && load.requestsPerSecond == 0;
    });
    addSlope(slopes, "start/s (1 instance)", loads, starts, [maximumWorkers](const CellLoad &load) {
        return load.instances == 1 && load.workers == maximumWorkers;
    });
    addSlope(slopes, "start/s (8 instances)", loads, starts, [](const CellLoad &load) {
        return load.instances == 8 && load.workers > 0 && load.tasks == 0;
    });
    addSlope(slopes, "running task, young (8 instances)", loads, tasks, [](const CellLoad &load) {
        return load.instances == 8 && load.workers > 0 && load.requestsPerSecond == 0 && !load.name.ends_with("old tasks");
    });
    addSlope(slopes, "running task, old (8 instances)", loads, tasks, [](const CellLoad &load) {
        return load.instances == 8 && load.workers > 0 && load.requestsPerSecond == 0
               && (load.tasks == 0 || load.name.ends_with("old tasks"));
    });
    return slopes;
}

} // namespace auburndoor
