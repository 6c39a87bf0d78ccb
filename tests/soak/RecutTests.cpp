#include "soak/RecutCell.h"
#include "soak/SoakSeeds.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <fstream>

using namespace auburndoor;

namespace {

/** Plays a cell. The logs, the faults and the explained violations stay in the folder soak-recut-SEED. */
void play(unsigned seed, Milliseconds duration)
{
    const char *parent = std::getenv("SOAK_FOLDER");
    const auto folder = std::string(parent == nullptr ? PROGRAM_FOLDER : parent) + "/soak-recut-" + std::to_string(seed);
    RecutCell recut(seed, folder);
    const auto violations = recut.run(duration);
    std::ofstream timeline(folder + "/timeline.txt");
    for (const auto &line : recut.cell.timeline) {
        timeline << line << "\n";
    }
    std::ofstream explanations(folder + "/violations.txt");
    WARN("seed " << seed << ", " << duration.count() << " ms of faults: " << recut.roundCount << " rounds, " << recut.restartCount
                 << " restarts, " << recut.acceptedJobCount() << " jobs accepted, " << recut.startCount << " starts, "
                 << violations.size() << " violations, of which " << recut.cell.platform.excessiveDeadlines.size()
                 << " are deadlines beyond the longest lease");
    for (const auto &violation : violations) {
        explanations << violation << "\n";
        FAIL_CHECK("seed " << seed << ": " << violation);
    }
    CHECK(recut.startCount > 0);
    CHECK(recut.restartCount > 0);
}

} // namespace

// Guards against a run that outlives the lease which its owners count, since its worker has restarted under its id and has got a
// deadline on its former clock. SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS select longer runs, and SOAK_FOLDER where their logs are
// kept.
TEST_CASE("workers that restart and are cut off soon after violate no guarantee", "[recut][random]")
{
    constexpr int defaultSeconds = 25;
    const Milliseconds duration { readIntegerVariable("SOAK_SECONDS", defaultSeconds) * 1000 };
    for (const auto seed : selectSeeds(std::array { 1U, 2U })) {
        play(seed, duration);
    }
}
