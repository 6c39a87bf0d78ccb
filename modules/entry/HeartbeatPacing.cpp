#include "entry/HeartbeatPacing.h"

#include <algorithm>
#include <iterator>

namespace auburndoor {

namespace {

// Keeps the owner below about 250 heartbeats a second.
constexpr Milliseconds delayForEachFollower { 4 };
// Members that send no request for 2 s are dropped, and a frozen owner has to be found within a second.
constexpr Milliseconds maxDelay { 600 };
// The loop may be delayed for longer than lately, and the heartbeat also has to be sent and read.
constexpr int loopDelayFactor = 2;
// A frozen owner is replaced after this time at the latest, whatever delays it has reported before.
constexpr Milliseconds maxGracePeriod { 2000 };

} // namespace

Milliseconds HeartbeatPacing::computeDelay(std::size_t followers, Milliseconds minDelay)
{
    const auto delay = delayForEachFollower * static_cast<Milliseconds::rep>(followers);
    return std::max(minDelay, std::min(delay, maxDelay));
}

Milliseconds HeartbeatPacing::computeGracePeriod(Milliseconds loopDelay, Milliseconds minGrace)
{
    return std::max(minGrace, std::min(loopDelay, maxGracePeriod / loopDelayFactor) * loopDelayFactor);
}

Milliseconds HeartbeatPacing::limitAnnouncedDelay(Milliseconds announced, Milliseconds minDelay)
{
    return std::max(minDelay, std::min(announced, maxDelay));
}

std::vector<Address> HeartbeatPacing::sampleMembers(const std::vector<Address> &members, std::mt19937_64 &random)
{
    std::vector<Address> sample;
    std::sample(members.begin(), members.end(), std::back_inserter(sample), maxSampledMembers, random);
    return sample;
}

} // namespace auburndoor
