#pragma once

#include <cstdint>

class Report;

/** Measures waits, goodput and slowdown of an accelerator pool under steady load, straggler bursts and a threefold peak. */
void measureAcceleratorPool(Report &report, std::uint64_t seed, bool isQuick);

/** Measures the largest gap between the work that a team receives and its entitled share while one of 25 teams floods the pool. */
void measureFairness(Report &report, std::uint64_t seed, bool isQuick);

/** Measures the longest wait of urgent work at 600 and 900 starts per second on 1,400 workers. */
void measureUrgentStarts(Report &report, std::uint64_t seed, bool isQuick);

/** Compares the packing of a pool whose workers belong to several owners with that of a single placer. */
void measurePacking(Report &report, std::uint64_t seed, bool isQuick);
