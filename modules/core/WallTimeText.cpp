#include "core/WallTimeText.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace auburndoor {

long long toMilliseconds(WallTime time)
{
    return std::chrono::floor<Milliseconds>(time.time_since_epoch()).count();
}

WallTime wallTimeOf(long long milliseconds)
{
    return WallTime(Milliseconds(milliseconds));
}

std::string toText(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto fraction = std::chrono::duration_cast<Milliseconds>(time - seconds).count();
    const auto secondsSinceEpoch = static_cast<std::time_t>(seconds.time_since_epoch().count());
    std::tm utcTime {};
    gmtime_r(&secondsSinceEpoch, &utcTime);
    std::array<char, 32> buffer {};
    const auto length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &utcTime);
    std::array<char, 16> fractionText {};
    std::snprintf(fractionText.data(), fractionText.size(), ".%03dZ", static_cast<int>(fraction));
    return std::string(buffer.data(), length) + fractionText.data();
}

} // namespace auburndoor
