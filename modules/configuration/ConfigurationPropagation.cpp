// The part of ConfigurationManager that puts versions written by other instances in force.

#include "configuration/ConfigurationAnnouncer.h"
#include "configuration/ConfigurationManager.h"
#include "core/Failure.h"
#include "core/RandomId.h"
#include "declaration/Digest.h"
#include "observability/Log.h"
#include "observability/Metrics.h"

#include <algorithm>

namespace auburndoor {

void ConfigurationManager::start()
{
    pollingThread_ = std::thread([this] { pollUntilStopped(); });
}

void ConfigurationManager::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_all();
    if (pollingThread_.joinable()) {
        pollingThread_.join();
    }
}

void ConfigurationManager::pollUntilStopped()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        isRefreshDue_ = false;
        lock.unlock();
        refresh(clock_.now() + options_.fetchTimeout);
        lock.lock();
        // Up to a tenth less at random, so that the instances do not all read the head at the same moment.
        const auto period = options_.poll - Milliseconds(randomBelow(options_.poll.count() / 10 + 1));
        clock_.waitUntil(lock, condition_, clock_.now() + period, [this] { return isStopping_ || isRefreshDue_; });
    }
}

void ConfigurationManager::noticeVersion(long long version)
{
    if (version <= current()->version) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        isRefreshDue_ = true;
    }
    condition_.notify_all();
}

bool ConfigurationManager::refresh(TimePoint deadline)
{
    Failure failure;
    const auto now = clock_.now();
    // Half of the time is reserved for asking the peers if the table does not answer.
    const auto head = store_.readHead(now + (deadline - now) / 2, failure);
    auto isUpToDate = false;
    if (head) {
        installHead(*head, deadline);
        isUpToDate = current()->version >= head->version;
    } else {
        metrics_.count("configuration_head_reads_failed_total", name(failure.reason));
        isUpToDate = installFromPeers(1, deadline);
    }
    if (isUpToDate) {
        isReady_ = true;
    }
    return isUpToDate;
}

void ConfigurationManager::installHead(const ConfigurationHead &head, TimePoint deadline)
{
    if (head.version <= current()->version) {
        return;
    }
    Failure failure;
    const auto fetchDeadline = std::min(deadline, clock_.now() + options_.fetchTimeout);
    if (const auto text = store_.fetchBody(head.digest, fetchDeadline, failure)) {
        holder_.install(head.version, head.digest, *text, "table");
    } else {
        Log::failure("configuration-body-unavailable", failure, { { "version", std::to_string(head.version) } });
        installFromPeers(head.version, deadline);
    }
}

/** Puts the highest version of the peers in force. @return true if the version in force is at least that and the minimum version */
bool ConfigurationManager::installFromPeers(long long minimumVersion, TimePoint deadline)
{
    auto peers = announcer_.peerVersions(deadline);
    std::sort(peers.begin(), peers.end(), [](const auto &left, const auto &right) { return left.version > right.version; });
    const auto highest = peers.empty() ? minimumVersion : std::max(minimumVersion, peers.front().version);
    for (const auto &peer : peers) {
        if (peer.version <= current()->version) {
            break;
        }
        Failure failure;
        if (const auto fetched = announcer_.fetch(peer.instance, deadline, failure)) {
            holder_.install(fetched->version, fetched->digest, fetched->text, "peer");
        } else {
            Log::failure("configuration-peer-unavailable", failure, { { "instance", peer.instance.text() } });
        }
    }
    return current()->version >= highest;
}

long long ConfigurationManager::offer(const ConfigurationAnnouncement &announcement, const InstanceId &sender)
{
    const auto inForce = current();
    if (announcement.version == inForce->version && announcement.digest != inForce->digest) {
        // Two accepted files must never have the same version.
        metrics_.count("configuration_refused_bodies_total", "other-digest");
        Log::error("configuration-two-texts", { { "version", std::to_string(inForce->version) }, { "sender", sender.text() } });
    }
    if (announcement.version <= inForce->version) {
        return inForce->version;
    }
    if (Digest::of(announcement.text) == announcement.digest) {
        return holder_.install(announcement.version, announcement.digest, announcement.text, "announcement");
    }
    Failure failure;
    const auto deadline = clock_.now() + options_.fetchTimeout;
    if (const auto text = store_.fetchBody(announcement.digest, deadline, failure)) {
        return holder_.install(announcement.version, announcement.digest, *text, "announcement");
    }
    if (!sender.isEmpty()) {
        if (const auto fetched = announcer_.fetch(sender, deadline, failure)) {
            return holder_.install(fetched->version, fetched->digest, fetched->text, "peer");
        }
    }
    Log::failure("configuration-body-unavailable", failure, { { "version", std::to_string(announcement.version) } });
    // Another peer may have the text: wakes the polling thread, which asks the peers if the table or the object store fails.
    noticeVersion(announcement.version);
    return current()->version;
}

} // namespace auburndoor
