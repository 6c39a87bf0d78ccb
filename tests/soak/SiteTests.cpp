#include "soak/SiteCell.h"
#include "soak/SoakSeeds.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <fstream>
#include <functional>

using namespace auburndoor;

namespace {

// No seed has failed yet.
constexpr std::array siteSeeds {
    1U,
};

// Seeds that have failed, each with the fault that it found.
constexpr std::array drainSeeds {
    7U, // Draining workers whose entries had expired were given up as gone, and their tasks started elsewhere.
};

/** Plays a cell. The logs, the faults and the explained violations stay in the folder soak-site-NAME. */
void play(const std::string &name, unsigned seed, const std::function<std::vector<std::string>(SiteCell &)> &scenario)
{
    const char *parent = std::getenv("SOAK_FOLDER");
    const auto folder = std::string(parent == nullptr ? PROGRAM_FOLDER : parent) + "/soak-site-" + name;
    SiteCell site(seed, folder);
    const auto violations = scenario(site);
    std::ofstream timeline(folder + "/timeline.txt");
    for (const auto &line : site.cell.timeline) {
        timeline << line << "\n";
    }
    std::ofstream explanations(folder + "/violations.txt");
    WARN(name << ": " << site.acceptedJobCount() << " jobs accepted, " << site.startCount << " starts, " << violations.size()
              << " violations");
    for (const auto &violation : violations) {
        explanations << violation << "\n";
        FAIL_CHECK(name << ": " << violation);
    }
    CHECK(site.startCount > 0);
}

} // namespace

// Guards against two runs of a task at once, a start after an acknowledged end, and overloaded workers, while workers leave or are
// cut off and their entries expire because the store is away. SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS select longer runs, and
// SOAK_FOLDER where their logs are kept.
TEST_CASE("workers that leave, are cut off or lose the store violate no guarantee", "[site][random]")
{
    constexpr int defaultSeconds = 15;
    const Milliseconds duration { readIntegerVariable("SOAK_SECONDS", defaultSeconds) * 1000 };
    for (const auto seed : selectSeeds(siteSeeds)) {
        play(std::to_string(seed), seed, [duration](SiteCell &site) { return site.run(duration); });
    }
}

// Guards against an owner that takes a worker for gone because its entry has expired while the store was away and a connection to
// it does not open.
TEST_CASE("workers that drain while the store is away are not given up", "[site][drain]")
{
    for (const auto seed : selectSeeds(drainSeeds)) {
        play("drain-" + std::to_string(seed), seed, [](SiteCell &site) { return site.loseStoreWhileDraining(); });
    }
}
