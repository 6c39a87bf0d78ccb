#include "instance/PeerAnnouncer.h"

#include "core/Failure.h"
#include "membership/MembershipView.h"
#include "peer/Peer.h"

#include <algorithm>
#include <thread>

namespace auburndoor {

namespace {

constexpr Milliseconds maxCallTimeout { 1000 };
constexpr Milliseconds announceRetryPeriod { 100 };

} // namespace

PeerAnnouncer::PeerAnnouncer(Clock &clock, MembershipView &members) : clock_(clock), members_(members)
{
}

std::vector<PeerVersion> PeerAnnouncer::announce(const ConfigurationAnnouncement &announcement, TimePoint deadline)
{
    const auto peers = members_.livePeers();
    std::vector<PeerVersion> versions(peers.size());
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < peers.size(); ++index) {
        versions[index].instance = peers[index];
        threads.emplace_back([this, &announcement, &entry = versions[index], deadline] {
            if (const auto peer = members_.peer(entry.instance)) {
                entry.version = announceTo(*peer, announcement, deadline);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return versions;
}

long long PeerAnnouncer::announceTo(Peer &peer, const ConfigurationAnnouncement &announcement, TimePoint deadline) const
{
    std::mutex mutex;
    std::condition_variable condition;
    while (clock_.now() < deadline) {
        Failure failure;
        const auto version = peer.announce(announcement, timeoutUntil(deadline), failure);
        if (version && *version >= announcement.version) {
            return *version;
        }
        std::unique_lock lock(mutex);
        clock_.waitUntil(lock, condition, std::min(deadline, clock_.now() + announceRetryPeriod), [] { return false; });
    }
    return 0;
}

std::vector<PeerVersion> PeerAnnouncer::peerVersions(TimePoint)
{
    std::vector<PeerVersion> versions;
    for (const auto &member : members_.liveMembers()) {
        versions.push_back({ member.id, member.configurationVersion });
    }
    return versions;
}

std::optional<ConfigurationAnnouncement> PeerAnnouncer::fetch(const InstanceId &id, TimePoint deadline, Failure &failure)
{
    const auto peer = members_.peer(id);
    if (!peer) {
        failure = { FailureStep::Forward, id.text(), FailureReason::ConnectionFailed, "the peer is not live" };
        return std::nullopt;
    }
    return peer->fetchConfiguration(timeoutUntil(deadline), failure);
}

Milliseconds PeerAnnouncer::timeoutUntil(TimePoint deadline) const
{
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - clock_.now());
    return std::clamp(remaining, Milliseconds(1), maxCallTimeout);
}

} // namespace auburndoor
