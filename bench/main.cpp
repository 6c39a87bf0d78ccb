#include "DecisionCost.h"
#include "OverloadComparison.h"
#include "Report.h"
#include "Scenarios.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <string>

ABSL_FLAG(std::string, json, "", "file to which the figures are written as JSON");
ABSL_FLAG(unsigned long, seed, 1, "seed of the generated workloads");
ABSL_FLAG(bool, quick, false, "shorter runs for a quick check; the bounds apply to full-length runs");

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Measures placement and admission in process and checks the figures against their targets.");
    absl::ParseCommandLine(argc, argv);
    const auto seed = absl::GetFlag(FLAGS_seed);
    const bool isQuick = absl::GetFlag(FLAGS_quick);
    Report report;
    measureDecisionCost(report, isQuick);
    measureAcceleratorPool(report, seed, isQuick);
    measureFairness(report, seed, isQuick);
    measureUrgentStarts(report, seed, isQuick);
    measurePacking(report, seed, isQuick);
    measureOverload(report, seed, isQuick);
    report.print();
    const auto json = absl::GetFlag(FLAGS_json);
    if (!json.empty() && !report.writeJson(json, seed)) {
        std::fprintf(stderr, "cannot write %s\n", json.c_str());
        return 2;
    }
    return report.missedBounds() == 0 ? 0 : 1;
}
