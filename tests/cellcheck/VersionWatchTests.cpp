#include "cell/VersionWatch.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

using Time = std::chrono::steady_clock::time_point;

VersionSample sampleAt(int ms, const std::string &process, long long version, bool isReady = true)
{
    const Time time { std::chrono::milliseconds(ms) };
    return { process, time, time + std::chrono::milliseconds(1), version, isReady };
}

} // namespace

TEST_CASE("versions that rise in time keep promise 8", "[cellcheck]")
{
    // Guards against false violations: a new process may show version 0 until it is ready.
    const auto result = VersionWatch::check(
        { sampleAt(0, "a#1", 1), sampleAt(0, "b#1", 0, false), sampleAt(10, "b#1", 2), sampleAt(3000, "a#1", 2) },
        { { "a#1", 2, Time {} }, { "b#1", 2, Time {} } });
    INFO(result.text());
    CHECK(result.violations.empty());
    CHECK(result.checked.at(Promise::Configuration) == 6);
}

TEST_CASE("a version that falls, comes late or never comes violates promise 8", "[cellcheck]")
{
    // Guards against a check that misses one of these violations.
    const std::vector<VersionSample> falling { sampleAt(0, "a#1", 3), sampleAt(1, "a#1", 2) };
    CHECK(VersionWatch::check(falling, {}).violations.size() == 1);
    const std::vector<VersionSample> empty { sampleAt(0, "a#1", 0) };
    CHECK(VersionWatch::check(empty, {}).violations.size() == 1);
    const std::vector<VersionSample> late { sampleAt(0, "a#1", 1), sampleAt(3001, "a#1", 2) };
    CHECK(VersionWatch::check(late, { { "a#1", 2, Time {} } }).violations.size() == 1);
    CHECK(VersionWatch::check(late, { { "a#1", 3, Time {} } }).violations.size() == 1);
    CHECK(VersionWatch::check(late, { { "b#1", 1, Time {} } }).violations.size() == 1);
}

TEST_CASE("a new process that shows an older version than the cell has violates promise 8", "[cellcheck]")
{
    // Guards against a replaced instance that begins with an old version, which its own samples alone do not reveal.
    const std::vector<VersionSample> samples { sampleAt(0, "a#1", 4), sampleAt(1, "b#2", 0, false), sampleAt(2, "b#2", 3) };
    CHECK(VersionWatch::check(samples, { { "b#2", 4, Time {} } }).violations.size() == 1);
    CHECK(VersionWatch::checkFirst(samples, "b#2", 4).violations.size() == 1);
    CHECK(VersionWatch::checkFirst(samples, "b#2", 3).violations.empty());
}
