#pragma once

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** The invariants of section 1.1 of docs/design.md, with their numbers there. */
enum class Promise {
    Capacity = 1,
    OnePlace = 2,
    WholeAnswer = 3,
    NotRun = 4,
    AtMostOnce = 5,
    Leaving = 6,
    GracefulStop = 7,
    Configuration = 8,
};

/** Such as "1 no worker beyond its capacity". */
std::string name(Promise promise);

/** One observation that contradicts a promise. */
struct Violation
{
    Promise promise = Promise::Capacity;
    std::string text;
};

/** What a check looked at and what it found. */
struct CheckResult
{
    /** The number of operations that were checked for each promise. */
    std::map<Promise, long long> checked;
    std::vector<Violation> violations;

    void add(const CheckResult &other);

    /** The number of violations of one promise. */
    long long count(Promise promise) const;

    /** All violations, one line each. */
    std::string text() const;
};

} // namespace auburndoor
