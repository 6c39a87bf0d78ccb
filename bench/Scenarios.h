#pragma once

#include <cstdint>

class Report;

/** Waiting time, goodput and slowdown on the accelerator workers under steady load, bursts of stragglers, and a threefold crest. */
void measureAcceleratorPool(Report &report, std::uint64_t seed, bool isQuick);

/** The gap between what teams get and what they are entitled to while one of 25 teams floods the pool. */
void measureFairness(Report &report, std::uint64_t seed, bool isQuick);

/** The start of urgent work at 600 starts a second on 1,400 workers. */
void measureUrgentStarts(Report &report, std::uint64_t seed, bool isQuick);

/** Packing of pools that several instances own, compared with a single placer. */
void measurePacking(Report &report, std::uint64_t seed, bool isQuick);
