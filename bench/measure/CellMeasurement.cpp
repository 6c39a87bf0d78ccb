#include "measure/CellMeasurement.h"

#include <algorithm>
#include <iostream>
#include <numeric>
#include <thread>

namespace auburndoor {

namespace {

using Window = std::vector<InstanceRates>;
using Field = double InstanceRates::*;

const auto programStart = std::chrono::steady_clock::now();

Window measureWindow(Cell &cell, std::chrono::milliseconds length)
{
    std::vector<InstanceSample> before;
    for (const auto &id : cell.instances()) {
        before.push_back(InstanceProbe::sample(cell, id));
    }
    std::this_thread::sleep_for(length);
    Window window;
    for (const auto &id : cell.instances()) {
        window.push_back(InstanceProbe::rates(before[window.size()], InstanceProbe::sample(cell, id)));
    }
    return window;
}

double meanOf(const Window &window, Field field)
{
    const auto sum = std::accumulate(
        window.begin(), window.end(), 0.0, [field](double total, const InstanceRates &rates) { return total + rates.*field; });
    return sum / static_cast<double>(window.size());
}

double highestOf(const Window &window, Field field)
{
    const auto highest = std::max_element(
        window.begin(), window.end(), [field](const auto &left, const auto &right) { return left.*field < right.*field; });
    return (*highest).*field;
}

Spread spreadOf(const std::vector<Window> &windows, Field field, double (*combine)(const Window &, Field))
{
    std::vector<double> values;
    std::transform(
        windows.begin(), windows.end(), std::back_inserter(values), [&](const Window &window) { return combine(window, field); });
    return Spread::of(std::move(values));
}

std::map<std::string, double> meanByLabel(const std::vector<Window> &windows, std::map<std::string, double> InstanceRates::*field)
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

MeasuredLoad measureCell(Cell &cell, const CellLoad &load, const MeasuringPlan &plan)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - programStart);
    std::cerr << "after " << seconds.count() << " s: measuring " << load.name << '\n';
    std::vector<Window> windows;
    for (int index = 0; index < plan.windows; ++index) {
        windows.push_back(measureWindow(cell, plan.length));
    }
    MeasuredLoad result;
    result.load = load;
    result.cpuPercent = spreadOf(windows, &InstanceRates::cpuPercent, meanOf);
    result.highestCpuPercent = spreadOf(windows, &InstanceRates::cpuPercent, highestOf);
    result.residentMiB = spreadOf(windows, &InstanceRates::residentMiB, meanOf);
    result.anonymousMiB = spreadOf(windows, &InstanceRates::anonymousMiB, meanOf);
    result.threads = spreadOf(windows, &InstanceRates::threads, meanOf);
    result.controlBytes = spreadOf(windows, &InstanceRates::controlBytes, meanOf);
    result.highestControlBytes = spreadOf(windows, &InstanceRates::controlBytes, highestOf);
    result.controlMessages = spreadOf(windows, &InstanceRates::controlMessages, meanOf);
    result.requestBytes = spreadOf(windows, &InstanceRates::requestBytes, meanOf);
    result.requestMessages = spreadOf(windows, &InstanceRates::requestMessages, meanOf);
    result.tableReads = spreadOf(windows, &InstanceRates::tableReads, meanOf);
    result.tableWrites = spreadOf(windows, &InstanceRates::tableWrites, meanOf);
    result.bytes = meanByLabel(windows, &InstanceRates::bytes);
    result.messages = meanByLabel(windows, &InstanceRates::messages);
    return result;
}

} // namespace auburndoor
