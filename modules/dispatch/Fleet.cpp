#include "dispatch/Fleet.h"

#include "dispatch/FleetImpl.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

Fleet::Fleet(Timers &timers,
             WorkerClientFactory &factory,
             FleetListener &listener,
             FleetTiming timing,
             std::int64_t fencingToken,
             OwnershipEvidence &evidence)
    : impl_(std::make_shared<Impl>(timers, factory, listener, timing, fencingToken, evidence))
{
}

Fleet::~Fleet()
{
    close();
}

void Fleet::close()
{
    impl_->isClosed = true;
}

void Fleet::addFormerWorker(const WorkerEntry &entry)
{
    auto &worker = impl_->findOrCreate(entry);
    worker.isInRoster = true;
    impl_->quorum.addInherited(entry.id);
    worker.unlistedAt = impl_->timers.now();
    impl_->ensurePolling(worker);
}

void Fleet::expectRun(const std::string &id, std::int64_t incarnation, const WorkerCrash::AffectedRun &run)
{
    impl_->possibleCrashes.add({ id, Address(), incarnation, { run } }, impl_->timers.now());
}

void Fleet::noteStoreTime(Milliseconds time, std::int64_t version, CallTime requestedAt)
{
    impl_->storeVersion = version;
    impl_->storeClock.noteReading(time, requestedAt, impl_->timers.now());
}

void Fleet::forgetStoreTimes()
{
    impl_->storeClock = {};
    for (const auto &[id, worker] : impl_->workers) {
        worker->entry.forgetStoreTimes();
        impl_->recordPresence(*worker);
    }
}

void Fleet::handOverLeases()
{
    for (const auto &[id, worker] : impl_->workers) {
        // A draining worker may leave before the next owner has read it.
        const bool isExpectedToAnswer = worker->isReportRead && worker->failedPolls == 0 && !worker->entry.isDraining;
        const auto endsBy = impl_->leasesEndBy(*worker);
        if (isExpectedToAnswer || !worker->isInRoster || !endsBy) {
            continue;
        }
        worker->isHandedOver = true;
        worker->entry.handedOverLease = HandedOverLease { impl_->fencingToken, *endsBy };
        worker->entry.timesAsOf = impl_->storeVersion;
        impl_->listener.rosterChanged(worker->entry, true, [] {});
    }
}

void Fleet::setMinSilenceBeforeRemoval(Milliseconds duration)
{
    impl_->timing.minSilenceBeforeRemoval = duration;
}

void Fleet::setDirectoryAge(Milliseconds age)
{
    impl_->isDirectoryStale = age > impl_->timing.directoryStaleAfter;
    if (impl_->isDirectoryStale) {
        impl_->pollAll();
    }
}

void Fleet::collectEvidence()
{
    impl_->catchUpWithRoster();
    std::vector<TimePoint> acceptedAt;
    for (const auto &[id, worker] : impl_->workers) {
        if (worker->isInRoster) {
            acceptedAt.push_back(worker->acceptedAt);
        }
    }
    if (const auto time = impl_->quorum.quorumTime(std::move(acceptedAt))) {
        impl_->evidence.noteQuorum(*time);
    }
    if (impl_->evidence.age() > impl_->timing.maxEvidenceAge) {
        impl_->pollAll();
    }
}

Milliseconds Fleet::remainingInheritedLease() const
{
    const auto remaining = std::chrono::ceil<Milliseconds>(impl_->inheritedLeasesEnd() - impl_->timers.now());
    return std::max(remaining, Milliseconds(0));
}

void Fleet::start(const std::string &id, const StartCommand &command, const RunClaim &claim)
{
    auto *found = worker(id);
    if (found == nullptr) {
        return;
    }
    const RunKey key { command.task, command.attempt };
    Run run;
    run.key = key;
    run.claim = claim;
    run.startedAt = impl_->timers.now();
    run.incarnation = found->entry.incarnation;
    found->used += claim.need;
    impl_->accountUsage.add(claim);
    found->isolatedRuns += claim.isIsolated ? 1 : 0;
    impl_->noteChange(*found);
    found->runs.emplace(key, run);
    impl_->startWindow.onSent();
    found->client->start(
        command, impl_->permittedLease(), [impl = impl_, id, key, sentAt = run.startedAt](const WorkerClient::Reply &reply) {
            impl->updateStartWindow(sentAt, reply);
            impl->onStartReply(id, key, reply);
        });
}

bool Fleet::maySendStart() const
{
    return impl_->startWindow.hasRoom();
}

void Fleet::stop(const std::string &id, const RunKey &key, const std::string &reason)
{
    auto *found = run(id, key);
    if (found != nullptr && found->stopReason.empty()) {
        found->stopReason = reason;
        impl_->sendStop(id, key);
    }
}

void Fleet::clearSuspicion(const std::string &id, const RunKey &key)
{
    if (auto *found = run(id, key)) {
        auto &host = *worker(id);
        host.isolatedRuns -= found->claim.isIsolated ? 1 : 0;
        found->claim.isSuspected = false;
        found->claim.isIsolated = false;
        impl_->noteChange(host);
    }
}

void Fleet::throttle(const std::string &id, const RunKey &key, int percent)
{
    auto *found = run(id, key);
    if (found == nullptr || found->speedPercent == percent) {
        return;
    }
    found->speedPercent = percent;
    worker(id)->client->throttle(key.task, key.attempt, percent, [impl = impl_, id, key](const WorkerClient::Reply &reply) {
        if (impl->isClosed || reply.outcome == CommandOutcome::Accepted) {
            return;
        }
        // The next TaskPlacer::tend() sends the throttle command again.
        if (auto *throttledRun = impl->findRun(id, key)) {
            throttledRun->speedPercent = -1;
        }
    });
}

bool Fleet::isUsable(const WorkerState &worker) const
{
    const auto now = impl_->timers.now();
    return worker.isListed && worker.isEntryCurrent && !worker.entry.isDraining && !worker.isHandedOver && worker.isReportRead
           && worker.isInRoster && worker.unwantedRuns == 0 && worker.failedPolls == 0 && worker.avoidUntil <= now
           && (impl_->isDirectoryStale ? now - worker.lastReportAt < impl_->timing.maxReportAgeWhenDirectoryStale
                                       : worker.runs.empty() || now - worker.lastReportAt < impl_->timing.maxReportAge);
}

bool Fleet::hasUnreadWorkers(const std::string &service) const
{
    const auto now = impl_->timers.now();
    return std::any_of(impl_->workers.begin(), impl_->workers.end(), [&](const auto &entry) {
        const auto &worker = *entry.second;
        if (worker.isReportRead || !worker.entry.hasServed(service)) {
            return false;
        }
        return !impl_->areInheritedLeasesOver(worker) || (!worker.isReportComplete() && now <= impl_->ownLeaseEnd(worker));
    });
}

bool Fleet::hasReadMostWorkers() const
{
    constexpr std::size_t minReadPerUnread = 19;
    const auto read = static_cast<std::size_t>(
        std::count_if(impl_->workers.begin(), impl_->workers.end(), [](const auto &entry) { return entry.second->isReportRead; }));
    const auto unread = impl_->workers.size() - read;
    // In a small cell one worker is more than a twentieth.
    return unread * minReadPerUnread <= read || (unread == 1 && read > 1);
}

const std::map<std::string, std::unique_ptr<WorkerState>> &Fleet::workers() const
{
    return impl_->workers;
}

const AccountUsage &Fleet::accountUsage() const
{
    return impl_->accountUsage;
}

std::vector<std::string> Fleet::takeChangedWorkers()
{
    for (const auto &id : impl_->changedWorkers) {
        if (auto *changed = impl_->find(id)) {
            changed->isChangeNoted = false;
        }
    }
    return std::exchange(impl_->changedWorkers, {});
}

WorkerState *Fleet::worker(const std::string &id)
{
    return impl_->find(id);
}

Run *Fleet::run(const std::string &id, const RunKey &key)
{
    return impl_->findRun(id, key);
}

long long Fleet::renewalCount() const
{
    return impl_->renewalsSent;
}

} // namespace auburndoor
