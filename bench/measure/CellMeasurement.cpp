#include "measure/CellMeasurement.h"

#include <algorithm>
#include <iostream>
#include <numeric>
#include <thread>

namespace auburndoor {

namespace {

using WindowRates = std::vector<InstanceRates>;
using RateMember = double InstanceRates::*;

const auto programStart = std::chrono::steady_clock::now();

WindowRates measureWindow(Cell &cell, std::chrono::milliseconds windowDuration)
{
    std::vector<InstanceSample> before;
    for (const auto &id : cell.instances()) {
        before.push_back(InstanceProbe::sample(cell, id));
    }
    std::this_thread::sleep_for(windowDuration);
    WindowRates window;
    for (const auto &id : cell.instances()) {
        window.push_back(InstanceProbe::rates(before[window.size()], InstanceProbe::sample(cell, id)));
    }
    return window;
}

double computeMean(const WindowRates &window, RateMember field)
{
    const auto sum = std::accumulate(
        window.begin(), window.end(), 0.0, [field](double total, const InstanceRates &rates) { return total + rates.*field; });
    return sum / static_cast<double>(window.size());
}

double findHighest(const WindowRates &window, RateMember field)
{
    const auto highest = std::max_element(
        window.begin(), window.end(), [field](const auto &left, const auto &right) { return left.*field < right.*field; });
    return (*highest).*field;
}

Spread computeSpread(const std::vector<WindowRates> &windows, RateMember field, double (*combine)(const WindowRates &, RateMember))
{
    std::vector<double> values;
    std::transform(windows.begin(), windows.end(), std::back_inserter(values), [&](const WindowRates &window) {
        return combine(window, field);
    });
    return Spread::of(std::move(values));
}

std::map<std::string, double> computeMeanByLabel(const std::vector<WindowRates> &windows,
                                                 std::map<std::string, double> InstanceRates::*field)
{
    std::map<std::string, double> result;
    for (const auto &window : windows) {
        for (const auto &rates : window) {
            for (const auto &[label, value] : rates.*field) {
                result[label] += value / static_cast<double>(windows.size() * window.size());
            }
        }
    }
    return result;
}

} // namespace

Spread Spread::of(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    return { values[values.size() / 2], values.front(), values.back() };
}

MeasuredLoad measureCell(Cell &cell, const CellLoad &load, const MeasurementPlan &plan)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - programStart);
    std::cerr << "after " << seconds.count() << " s: measuring " << load.name << '\n';
    std::vector<WindowRates> windows;
    for (int index = 0; index < plan.windows; ++index) {
        windows.push_back(measureWindow(cell, plan.windowDuration));
    }
    MeasuredLoad result;
    result.load = load;
    result.cpuPercent = computeSpread(windows, &InstanceRates::cpuPercent, computeMean);
    result.highestCpuPercent = computeSpread(windows, &InstanceRates::cpuPercent, findHighest);
    result.residentMiB = computeSpread(windows, &InstanceRates::residentMiB, computeMean);
    result.anonymousMiB = computeSpread(windows, &InstanceRates::anonymousMiB, computeMean);
    result.threads = computeSpread(windows, &InstanceRates::threads, computeMean);
    result.controlBytes = computeSpread(windows, &InstanceRates::controlBytes, computeMean);
    result.highestControlBytes = computeSpread(windows, &InstanceRates::controlBytes, findHighest);
    result.controlMessages = computeSpread(windows, &InstanceRates::controlMessages, computeMean);
    result.requestBytes = computeSpread(windows, &InstanceRates::requestBytes, computeMean);
    result.requestMessages = computeSpread(windows, &InstanceRates::requestMessages, computeMean);
    result.tableReads = computeSpread(windows, &InstanceRates::tableReads, computeMean);
    result.tableWrites = computeSpread(windows, &InstanceRates::tableWrites, computeMean);
    result.bytes = computeMeanByLabel(windows, &InstanceRates::bytes);
    result.messages = computeMeanByLabel(windows, &InstanceRates::messages);
    return result;
}

} // namespace auburndoor
