#include "measure/ExchangeCost.h"
#include "measure/Report.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, programs, "build", "folder of the built programs");
ABSL_FLAG(std::string, folder, "build/measure", "folder for logs, settings and port files of the cells");
ABSL_FLAG(std::string, json, "", "file to which all figures are written as JSON");
ABSL_FLAG(bool, quick, false, "one repetition, fewer sizes");
ABSL_FLAG(std::string, part, "all", "all, one (instance), three, eight (instances, applies, tasks), ownership or exchange");

namespace {

using namespace auburndoor;

Measurements measureAll(const MeasureOptions &options, const std::string &part)
{
    const auto isSelected = [&part](const std::string &name) { return part == "all" || part == name; };
    SizeScenarios sizes(options);
    Measurements measurements;
    if (isSelected("one")) {
        sizes.measureOneInstance();
    }
    if (isSelected("three")) {
        sizes.measureThreeInstances();
    }
    if (isSelected("eight")) {
        sizes.measureEightInstances();
    }
    if (isSelected("exchange")) {
        printExchangeCost();
    }
    // Runs between the two measurements of the eight instances, while their tasks reach the age that measureOldTasks() needs.
    if (isSelected("ownership")) {
        measurements.ownership = compareOwnership(options);
    }
    if (isSelected("eight")) {
        sizes.measureOldTasks();
    }
    measurements.loads = sizes.loads();
    measurements.applies = sizes.applyTimes();
    return measurements;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Measures what the processes of a cell use, and prints tables.");
    absl::ParseCommandLine(argc, argv);
    const auto begin = std::chrono::steady_clock::now();
    try {
        const MeasureOptions options { absl::GetFlag(FLAGS_programs), absl::GetFlag(FLAGS_folder), absl::GetFlag(FLAGS_quick) };
        const auto measurements = measureAll(options, absl::GetFlag(FLAGS_part));
        printTables(std::cout, measurements);
        const auto file = absl::GetFlag(FLAGS_json);
        if (!file.empty()) {
            std::ofstream(file) << toJson(measurements).dump(2) << '\n';
        }
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - begin);
    std::cout << "\nmeasured in " << seconds.count() << " s\n";
    return 0;
}
