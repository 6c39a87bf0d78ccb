#pragma once

#include "configuration/ConfigurationAnnouncer.h"

#include <functional>

namespace auburndoor {

class Clock;
class MembershipView;
class Peer;

/** Announces configurations to all live peers, with one thread for each peer, and fetches configurations from them. */
class PeerAnnouncer : public ConfigurationAnnouncer
{
public:
    PeerAnnouncer(Clock &clock, MembershipView &members);

    std::vector<PeerVersion> announce(const ConfigurationAnnouncement &announcement, TimePoint deadline) override;
    std::vector<PeerVersion> peerVersions(TimePoint deadline) override;
    std::optional<ConfigurationAnnouncement> fetch(const InstanceId &peer, TimePoint deadline, Failure &failure) override;

private:
    Milliseconds timeoutUntil(TimePoint deadline) const;
    long long announceTo(Peer &peer, const ConfigurationAnnouncement &announcement, TimePoint deadline) const;

    Clock &clock_;
    MembershipView &members_;
};

} // namespace auburndoor
