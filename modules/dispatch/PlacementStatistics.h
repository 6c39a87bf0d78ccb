#pragma once

#include <chrono>

namespace auburndoor {

/** What rounds of placement have cost since the last report. */
struct PlacementStatistics
{
    long long rounds = 0;
    /** Rounds that ended before they had visited all steps. */
    long long interruptedRounds = 0;
    /** Steps with tasks to place that the rounds have passed, once for each round. */
    long long stepsPassed = 0;
    /** Of these, the steps for which a worker was searched. */
    long long stepsSearched = 0;
    /** Workers looked at, once for each look. */
    long long workersVisited = 0;
    /** The time spent in rounds. */
    std::chrono::microseconds duration { 0 };
    std::chrono::microseconds longestRound { 0 };
    /** Runs stopped for more urgent work. */
    long long preemptions = 0;
    /** Searches for runs to stop that found only stops which lose more than they gain. */
    long long refusedPreemptions = 0;
    /** Starts of work whose priority had got less of a scarce service than it keeps. */
    long long guaranteedStarts = 0;
    /** The steps with tasks to place in the last round. */
    long long backlog = 0;
};

} // namespace auburndoor
