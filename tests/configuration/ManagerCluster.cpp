#include "configuration/ManagerCluster.h"

#include "core/Failure.h"

#include <algorithm>

namespace auburndoor {

TimePoint AutoAdvancingClock::now() const
{
    const std::lock_guard lock(mutex_);
    return TimePoint(std::chrono::hours(1)) + elapsed_;
}

WallTime AutoAdvancingClock::wallNow() const
{
    const std::lock_guard lock(mutex_);
    return wallStart_ + elapsed_;
}

void AutoAdvancingClock::setWallNow(WallTime time)
{
    const std::lock_guard lock(mutex_);
    wallStart_ = time - elapsed_;
}

bool AutoAdvancingClock::waitUntil(std::unique_lock<std::mutex> &,
                                   std::condition_variable &,
                                   TimePoint deadline,
                                   const std::function<bool()> &predicate)
{
    if (predicate()) {
        return true;
    }
    const std::lock_guard lock(mutex_);
    const auto target = std::chrono::ceil<Milliseconds>(deadline - TimePoint(std::chrono::hours(1)));
    elapsed_ = std::max(elapsed_, target);
    return false;
}

bool MemoryObjectStore::put(const std::string &name, const std::string &bytes, TimePoint, Failure &failure)
{
    if (isDown) {
        failure = { FailureStep::WriteObject, "objects", FailureReason::ServiceDown, "the object store is down" };
        return false;
    }
    const std::lock_guard lock(mutex_);
    objects_[name] = bytes;
    return true;
}

std::optional<std::string> MemoryObjectStore::get(const std::string &name, TimePoint, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(name);
    if (isDown || found == objects_.end()) {
        failure = {
            FailureStep::ReadObject, "objects", isDown ? FailureReason::ServiceDown : FailureReason::UnknownName, "no such object"
        };
        return std::nullopt;
    }
    return found->second;
}

void MemoryObjectStore::corrupt()
{
    const std::lock_guard lock(mutex_);
    for (auto &object : objects_) {
        object.second = makeFileText(-1);
    }
}

FaultInjectingTable::FaultInjectingTable(FakeTableService &table) : table_(table)
{
}

void FaultInjectingTable::injectFaults(unsigned seed, int percent)
{
    const std::lock_guard lock(mutex_);
    random_.seed(seed);
    faultPercent_ = percent;
}

void FaultInjectingTable::stopFaults()
{
    const std::lock_guard lock(mutex_);
    faultPercent_ = 0;
    deliverDelayedCommits(true);
}

void FaultInjectingTable::delayNextCommit(int calls)
{
    const std::lock_guard lock(mutex_);
    callsUntilArrival_ = calls;
}

bool FaultInjectingTable::drawFault()
{
    return static_cast<int>(random_() % 100) < faultPercent_;
}

void FaultInjectingTable::deliverDelayedCommits(bool ignoresCountdown)
{
    if (!ignoresCountdown && callsUntilArrival_-- > 0) {
        return;
    }
    Failure failure;
    for (const auto &transaction : delayedCommits_) {
        table_.commit(transaction, {}, failure);
    }
    delayedCommits_.clear();
}

std::optional<TableRow> FaultInjectingTable::read(const std::string &key, TimePoint deadline, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    deliverDelayedCommits(false);
    if (drawFault()) {
        failure = { FailureStep::ReadTable, "table", FailureReason::TimedOut, "injected" };
        return std::nullopt;
    }
    return table_.read(key, deadline, failure);
}

std::optional<std::vector<TableRow>> FaultInjectingTable::readPrefix(const std::string &prefix,
                                                                     TimePoint deadline,
                                                                     Failure &failure)
{
    auto rows = table_.readPrefix(prefix, deadline, failure);
    rowsRead += rows ? rows->size() : 0;
    return rows;
}

CommitResult FaultInjectingTable::commit(const Transaction &transaction, TimePoint deadline, Failure &failure)
{
    CommitResult result;
    {
        const std::lock_guard lock(mutex_);
        const auto isDelayed = callsUntilArrival_ >= 0 && delayedCommits_.empty();
        deliverDelayedCommits(false);
        const auto fault = drawFault() ? random_() % 4 : 4;
        if (isDelayed || fault == 0) {
            delayedCommits_.push_back(transaction);
        }
        failure = { FailureStep::WriteTable, "table", FailureReason::TimedOut, "injected" };
        if (isDelayed || fault <= 1) {
            // The commit is delayed, or lost before it reaches the table.
            result.status = CommitStatus::Unknown;
        } else if (fault == 2) {
            result.status = CommitStatus::NotWritten;
        } else {
            result = table_.commit(transaction, deadline, failure);
            if (fault == 3) {
                result = { CommitStatus::Unknown, {}, {} };
            }
        }
    }
    if (afterCommit) {
        afterCommit();
    }
    return result;
}

std::vector<PeerVersion> LocalAnnouncer::announce(const ConfigurationAnnouncement &announcement, TimePoint)
{
    std::vector<PeerVersion> answers;
    for (const auto &[id, peer] : peers) {
        answers.push_back({ id, isDisconnected ? 0 : peer->offer(announcement, self) });
    }
    return answers;
}

std::vector<PeerVersion> LocalAnnouncer::peerVersions(TimePoint)
{
    std::vector<PeerVersion> answers;
    for (const auto &[id, peer] : peers) {
        answers.push_back({ id, isDisconnected ? 0 : peer->current()->version });
    }
    return answers;
}

std::optional<ConfigurationAnnouncement> LocalAnnouncer::fetch(const InstanceId &peer, TimePoint, Failure &failure)
{
    if (isDisconnected) {
        failure = { FailureStep::Forward, peer.text(), FailureReason::ConnectionFailed, "cut" };
        return std::nullopt;
    }
    return peers.at(peer)->announcement();
}

ManagerCluster::ManagerCluster(int instances) : faultInjectingTable(table)
{
    for (int index = 0; index < instances; ++index) {
        announcers.push_back(std::make_unique<LocalAnnouncer>());
        announcers.back()->self = InstanceId("entry-" + std::to_string(index));
        ConfigurationOptions options;
        options.self = announcers.back()->self;
        managers_.push_back(
            std::make_unique<ConfigurationManager>(faultInjectingTable, objects, clock, metrics, *announcers.back(), options));
    }
    for (const auto &announcer : announcers) {
        for (int index = 0; index < instances; ++index) {
            if (announcers[index] != announcer) {
                announcer->peers[announcers[index]->self] = managers_[index].get();
            }
        }
    }
}

ConfigurationManager &ManagerCluster::manager(int index)
{
    return *managers_.at(index);
}

TimePoint ManagerCluster::deadline() const
{
    return clock.now() + Milliseconds(10'000);
}

ApplyResult ManagerCluster::apply(int index, const std::string &text, std::optional<long long> expected)
{
    return manager(index).apply(text, expected, "operator-" + std::to_string(index), deadline(), failure);
}

std::vector<LogbookEntry> ManagerCluster::readAllEntries()
{
    Failure readFailure;
    Logbook logbook(table, clock);
    auto entries = logbook.latest(1'000'000, clock.now(), readFailure).value_or(std::vector<LogbookEntry> {});
    std::reverse(entries.begin(), entries.end());
    return entries;
}

std::string makeFileText(int number)
{
    return R"({"services":{"namedesk":{"queueLimit":)" + std::to_string(number + 1)
           + R"(,"need":{"milliCores":1000,"memoryMiB":1024}}}})";
}

std::vector<std::string> findVersionOrderViolations(const std::vector<LogbookEntry> &entries, long long headVersion)
{
    std::map<long long, int> entriesByVersion;
    for (const auto &entry : entries) {
        ++entriesByVersion[entry.version];
    }
    std::vector<std::string> found;
    for (long long version = 1; version <= headVersion; ++version) {
        if (entriesByVersion[version] != 1) {
            found.push_back("version " + std::to_string(version) + " has " + std::to_string(entriesByVersion[version])
                            + " logbook entries");
        }
    }
    if (!entriesByVersion.empty() && entriesByVersion.rbegin()->first > headVersion) {
        found.push_back("a logbook entry has a version above the head");
    }
    return found;
}

} // namespace auburndoor
