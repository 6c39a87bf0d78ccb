#include "soak/SoakCell.h"
#include "soak/SoakSeeds.h"

#include <catch2/catch.hpp>

#include <array>
#include <filesystem>
#include <span>

using namespace auburndoor;

namespace {

// To run seeds from the command line: SOAK_SEED=7 SOAK_SEEDS=1 test-soak, with SOAK_PARTITIONS=1 those of the test with partitions.
// The logs of the processes stay in the folder soak-SEED or soak-partition-SEED.
void runSeed(unsigned seed, const SoakSize &size)
{
    INFO("seed " << seed);
    const auto folder = std::string(PROGRAM_FOLDER) + (size.hasPartitions ? "/soak-partition-" : "/soak-") + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    SoakCell cell(seed, size, folder);
    const auto violations = cell.run();
    std::string faults;
    for (const auto &line : cell.faults()) {
        faults += line + "\n";
    }
    INFO(faults);
    for (const auto &violation : violations) {
        FAIL_CHECK(violation);
    }
    CHECK(cell.acceptedJobCount() > 0);
}

/** Runs the regression seeds, or the seeds from the command line if they are for tests of this kind. */
void runSeeds(std::span<const unsigned> regressionSeeds, const SoakSize &size)
{
    const bool isFromCommandLine = readIntegerVariable("SOAK_SEED", 0) != 0;
    if (isFromCommandLine && (readIntegerVariable("SOAK_PARTITIONS", 0) != 0) != size.hasPartitions) {
        WARN("no seed was run: SOAK_PARTITIONS selects the other test");
        return;
    }
    for (const auto seed : selectSeeds(regressionSeeds)) {
        runSeed(seed, size);
    }
}

// Seeds that have failed, each with the fault that it found.
constexpr std::array regressionSeeds {
    1U, // An owner resumed after a suspension answered that a job of its successor does not exist.
    5U, // An owner resumed after a suspension reported a completed job as running.
};

constexpr std::array partitionSeeds {
    33U, // A cut-off owner and its successor both ran a task.
    40U, // A task was started after its end was acknowledged.
};

} // namespace

// Checks the guarantees to callers and workers with real processes: accepted jobs end, refused jobs never run, no task runs twice
// at a time or again after its end was acknowledged, no worker is overloaded, a reported end state does not change, and planned
// stops finish within their grace period.
TEST_CASE("random faults on entry processes, links, store and workers violate no guarantee", "[soak]")
{
    runSeeds(regressionSeeds, {});
}

// Guards against an owner and a successor that both run a task while a partition keeps each from workers of the other.
TEST_CASE("random faults with partitions of the owner violate no guarantee", "[partition][random]")
{
    SoakSize size;
    size.hasPartitions = true;
    runSeeds(partitionSeeds, size);
}
