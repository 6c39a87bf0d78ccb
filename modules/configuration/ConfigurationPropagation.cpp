// The part of ConfigurationManager that takes versions which other instances have written.

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
    thread_ = std::thread([this] { run(); });
}

void ConfigurationManager::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void ConfigurationManager::run()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        isLookDue_ = false;
        lock.unlock();
        refresh(clock_.now() + options_.fetch);
        lock.lock();
        // Up to a tenth less, so that the instances' reads spread over the period.
        const auto period = options_.poll - Milliseconds(randomBelow(options_.poll.count() / 10 + 1));
        clock_.waitUntil(lock, condition_, clock_.now() + period, [this] { return isStopping_ || isLookDue_; });
    }
}

void ConfigurationManager::noticeVersion(long long version)
{
    if (version <= current()->version) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        isLookDue_ = true;
    }
    condition_.notify_all();
}

bool ConfigurationManager::refresh(TimePoint deadline)
{
    Failure failure;
    const auto now = clock_.now();
    // A table that does not answer must leave time for the peers.
    const auto head = store_.readHead(now + (deadline - now) / 2, failure);
    auto isUpToDate = false;
    if (head) {
        takeHead(*head, deadline);
        isUpToDate = current()->version >= head->version;
    } else {
        metrics_.count("configuration_head_reads_failed_total", name(failure.reason));
        isUpToDate = takeFromPeers(1, deadline);
    }
    if (isUpToDate) {
        isReady_ = true;
    }
    return isUpToDate;
}

void ConfigurationManager::takeHead(const ConfigurationHead &head, TimePoint deadline)
{
    if (head.version <= current()->version) {
        return;
    }
    Failure failure;
    const auto fetchDeadline = std::min(deadline, clock_.now() + options_.fetch);
    if (const auto text = store_.fetchBody(head.digest, fetchDeadline, failure)) {
        holder_.take(head.version, head.digest, *text, "table");
    } else {
        Log::failure("configuration-body-unavailable", failure, { { "version", std::to_string(head.version) } });
        takeFromPeers(head.version, deadline);
    }
}

/** Takes the highest version of the peers. @return true if it, and at least the wanted version, is in force */
bool ConfigurationManager::takeFromPeers(long long wanted, TimePoint deadline)
{
    auto peers = announcer_.peerVersions(deadline);
    std::sort(peers.begin(), peers.end(), [](const auto &left, const auto &right) { return left.version > right.version; });
    const auto highest = peers.empty() ? wanted : std::max(wanted, peers.front().version);
    for (const auto &peer : peers) {
        if (peer.version <= current()->version) {
            break;
        }
        Failure failure;
        if (const auto found = announcer_.fetch(peer.instance, deadline, failure)) {
            holder_.take(found->version, found->digest, found->text, "peer");
        } else {
            Log::failure("configuration-peer-unavailable", failure, { { "instance", peer.instance.text() } });
        }
    }
    return current()->version >= highest;
}

long long ConfigurationManager::offer(const ConfigurationAnnouncement &announcement, const InstanceId &sender)
{
    const auto present = current();
    if (announcement.version == present->version && announcement.digest != present->digest) {
        // One version with two texts breaks the single order of versions.
        metrics_.count("configuration_refused_bodies_total", "other-digest");
        Log::error("configuration-two-texts", { { "version", std::to_string(present->version) }, { "sender", sender.text() } });
    }
    if (announcement.version <= present->version) {
        return present->version;
    }
    if (Digest::of(announcement.text) == announcement.digest) {
        return holder_.take(announcement.version, announcement.digest, announcement.text, "announcement");
    }
    Failure failure;
    const auto deadline = clock_.now() + options_.fetch;
    if (const auto text = store_.fetchBody(announcement.digest, deadline, failure)) {
        return holder_.take(announcement.version, announcement.digest, *text, "announcement");
    }
    if (!sender.isEmpty()) {
        if (const auto found = announcer_.fetch(sender, deadline, failure)) {
            return holder_.take(found->version, found->digest, found->text, "peer");
        }
    }
    Log::failure("configuration-body-unavailable", failure, { { "version", std::to_string(announcement.version) } });
    // Another peer may have the text: the polling thread asks them.
    noticeVersion(announcement.version);
    return current()->version;
}

} // namespace auburndoor
