#pragma once

#include <compare>

namespace auburndoor {

/** What a stop of a run for more urgent work would cost its job; the smallest is the cheapest. */
enum class PreemptionCost {
    /** Its job is past its final deadline, so that no delay matters. */
    Nothing,
    /** Its job would not become late by it. */
    Tolerable,
    /** Its job would become late. */
    MakesLate,
    /** As one of the two above, and its priority would have less of a scarce service than it keeps. */
    Protected,
    /** It ends about as soon by itself, or has been preempted often enough: nothing may stop it. */
    Excessive,
};

/** Which runs a step may preempt. */
struct PreemptionRight
{
    /** Only runs of less urgent priorities; 0 is the most urgent. */
    int priority = 0;
    /** Only runs whose stop costs at most this. */
    PreemptionCost maxCost = PreemptionCost::Nothing;
    /** Also runs of accounts that have less than their share of the scarce service. */
    bool mayStopBelowShare = true;

    // clang-tidy 14 takes the zero in the generated comparison for a null pointer.
    auto operator<=>(const PreemptionRight &other) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace auburndoor
