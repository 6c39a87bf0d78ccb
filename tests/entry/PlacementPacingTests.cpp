#include "entry/PlacementPacing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <vector>

using namespace auburndoor;
using std::chrono::microseconds;

namespace {

/** What a simulated event loop is loaded with. Durations are those on the loop, not processor times. */
struct LoopLoad
{
    double startsPerSecond;
    double reportsPerSecond;
    /** Duration of a round without anything to place, of placing one start, and of handling one report. */
    microseconds roundDuration;
    microseconds startDuration;
    microseconds reportDuration;
};

struct LoopDelays
{
    /** Time from the arrival of a start until it is placed, in order. */
    std::vector<microseconds> startDelays;
    microseconds longestReportDelay { 0 };
    std::size_t unplaced = 0;
};

std::deque<microseconds> drawArrivals(double perSecond, microseconds length, std::mt19937 &random)
{
    std::exponential_distribution<double> gap(perSecond / 1e6);
    std::deque<microseconds> arrivals;
    for (double at = gap(random); at < static_cast<double>(length.count()); at += gap(random)) {
        arrivals.emplace_back(static_cast<std::int64_t>(at));
    }
    return arrivals;
}

/** Runs a loop that handles reports as they come and places starts in rounds of at most 10 ms. */
LoopDelays runLoop(const LoopLoad &load, microseconds length)
{
    constexpr microseconds maxRoundDuration { 10000 };
    std::mt19937 random(1);
    auto starts = drawArrivals(load.startsPerSecond, length, random);
    auto reports = drawArrivals(load.reportsPerSecond, length, random);
    LoopDelays delays;
    microseconds now { 0 };
    microseconds nextRoundAt = PlacementPacing::minDelay;
    while (now < length) {
        if (!reports.empty() && reports.front() <= now) {
            delays.longestReportDelay = std::max(delays.longestReportDelay, now - reports.front());
            reports.pop_front();
            now += load.reportDuration;
            // Timers that are due get their turn between the messages.
            if (nextRoundAt > now) {
                continue;
            }
        }
        if (nextRoundAt <= now && !starts.empty() && starts.front() <= now) {
            const auto startedAt = now;
            now += load.roundDuration;
            while (!starts.empty() && starts.front() <= startedAt && now - startedAt < maxRoundDuration) {
                now += load.startDuration;
                delays.startDelays.push_back(now - starts.front());
                starts.pop_front();
            }
            nextRoundAt = now + PlacementPacing::computeDelay(now - startedAt);
            continue;
        }
        auto next = length;
        if (!reports.empty()) {
            next = std::min(next, reports.front());
        }
        if (!starts.empty()) {
            next = std::min(next, std::max(starts.front(), nextRoundAt));
        }
        now = std::max(now, next);
    }
    delays.unplaced = static_cast<std::size_t>(
        std::count_if(starts.begin(), starts.end(), [&](const auto &arrival) { return arrival < length - microseconds(600000); }));
    std::sort(delays.startDelays.begin(), delays.startDelays.end());
    return delays;
}

// The longest time that a step waits for a round without a backlog (decision 0012), and a quarter of the time after which followers
// take a silent owner for a failed one.
constexpr microseconds maxMedianDelay { 60000 };
constexpr microseconds maxReportDelay { 150000 };

} // namespace

// The pattern is a throttle that binds before the resource which it protects: at the crest of a large cell the pause between rounds
// held placement to a fifth of the loop, so the queue grew without bound while the loop idled. 1,500 starts and 1,900 reports a
// second cost 77 us of processor time each, on half a core.
TEST_CASE("placement keeps up with the crest of a large cell while the loop has time left")
{
    const LoopLoad crest { 1500, 1900, microseconds(1000), microseconds(154), microseconds(154) };
    const auto delays = runLoop(crest, std::chrono::seconds(20));
    REQUIRE(!delays.startDelays.empty());
    CHECK(delays.unplaced == 0);
    CHECK(delays.startDelays[delays.startDelays.size() / 2] < maxMedianDelay);
    CHECK(delays.longestReportDelay < maxReportDelay);
}

// The pattern is the reverse: a queue of starts that never ends takes the whole loop, and reports and heartbeats wait.
TEST_CASE("a backlog of starts leaves half of the loop to reports and heartbeats")
{
    const LoopLoad backlog { 20000, 1900, microseconds(1000), microseconds(154), microseconds(154) };
    CHECK(runLoop(backlog, std::chrono::seconds(20)).longestReportDelay < maxReportDelay);
    CHECK(PlacementPacing::computeDelay(microseconds(10000)) >= Milliseconds(10));
}

TEST_CASE("the delay between rounds stays within its bounds")
{
    CHECK(PlacementPacing::computeDelay(microseconds(0)) == PlacementPacing::minDelay);
    CHECK(PlacementPacing::computeDelay(microseconds(9100)) == Milliseconds(10));
    CHECK(PlacementPacing::computeDelay(std::chrono::seconds(3)) == PlacementPacing::maxDelay);
}
