#pragma once

#include <cstdint>

class Report;

/** Compares the orders of an overloaded service by what they cost callers, and prints a table. */
void measureOverload(Report &report, std::uint64_t seed, bool isQuick);
