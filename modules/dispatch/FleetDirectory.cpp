#include "dispatch/FleetImpl.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

void Fleet::setEntry(const WorkerEntry &entry)
{
    auto &worker = impl_->findOrCreate(entry);
    if (entry.incarnation < worker.entry.incarnation) {
        return;
    }
    if (!worker.isListed) {
        EventLog::write("worker.listed",
                        { { "worker", entry.id }, { "service", entry.service }, { "draining", entry.isDraining } });
    } else if (entry.isDraining && !worker.entry.isDraining) {
        EventLog::write("worker.draining",
                        { { "worker", entry.id }, { "remaining_ms", entry.remaining.value_or(Milliseconds(-1)).count() } });
    }
    worker.isListed = true;
    worker.isEntryCurrent = true;
    impl_->updateEntry(worker, entry);
    impl_->reportReplacedWorkers(entry);
    impl_->addToRoster(worker);
    impl_->ensurePolling(worker);
    impl_->listener.capacityChanged();
}

void Fleet::removeEntry(const std::string &id, std::optional<Milliseconds> missingAt)
{
    if (auto *found = worker(id)) {
        auto &entry = found->entry;
        entry.missingAt = entry.missingAt ? entry.missingAt : missingAt;
        impl_->unlist(*found);
    }
}

void Fleet::disregardEntry(const std::string &id)
{
    if (auto *found = worker(id)) {
        found->entry.reportedAfter.reset();
        found->entry.missingAt.reset();
        impl_->unlist(*found);
    }
    if (auto *kept = worker(id)) {
        impl_->recordPresence(*kept);
    }
}

void Fleet::retainEntries(const std::set<std::string> &ids, std::optional<Milliseconds> missingAt)
{
    impl_->directoryReadAt = impl_->directoryReadAt.value_or(impl_->timers.now());
    std::vector<std::string> removed;
    for (const auto &[id, worker] : impl_->workers) {
        if (!ids.contains(id)) {
            removed.push_back(id);
        }
    }
    for (const auto &id : removed) {
        removeEntry(id, missingAt);
    }
}

void Fleet::Impl::updateEntry(WorkerState &worker, const WorkerEntry &entry)
{
    const bool hasRestarted = entry.incarnation > worker.entry.incarnation;
    noteChange(worker);
    if (hasRestarted) {
        possibleCrashes.add(makePossibleCrash(worker), timers.now());
    }
    worker.client->update(entry);
    const auto former = std::exchange(worker.entry, entry);
    worker.entry.timesAsOf = storeVersion;
    if (!hasRestarted) {
        keepEarlierServices(worker, former);
        // Only a report counts: another writer may have written the entry again.
        const bool isNewReport = entry.reportNumber > former.reportNumber;
        worker.entry.reportedAfter = isNewReport ? std::max(former.reportedAfter, entry.reportedAfter) : former.reportedAfter;
        worker.entry.reportNumber = std::max(former.reportNumber, entry.reportNumber);
        worker.entry.handedOverLease = former.handedOverLease;
        if (former.isDraining != entry.isDraining) {
            // The next owner need not wait for a worker that was draining and is gone.
            listener.rosterChanged(worker.entry, true, [] {});
        } else if (worker.entry.reportedAfter > former.reportedAfter) {
            recordPresence(worker);
        }
        return;
    }
    worker.entry.earlierServices.clear();
    EventLog::write("worker.reborn", { { "worker", entry.id }, { "born", entry.incarnation }, { "runs", worker.runs.size() } });
    // A start that was sent before the restart was known may have reached the new incarnation, or may still: its report decides.
    for (auto &[key, run] : worker.runs) {
        run.phase = Run::Phase::Uncertain;
        run.uncertainSince = timers.now();
        run.stopAcknowledgedAt.reset();
        run.stopReason.clear();
    }
    worker.restartSeenAt = timers.now();
    worker.acceptedAt = {};
    worker.lastSeenEnd = 0;
    worker.acknowledgedEnd = 0;
    worker.unrecordedEnds.clear();
    worker.isReportCutOff = false;
    worker.isReportUnreadable = false;
    worker.deliveredAcknowledgement = 0;
    worker.recentFailures.clear();
    worker.recentlyEndedRuns.clear();
    worker.isReportRead = false;
    // The roster holds the worker's incarnation: the new one is stored before anything starts there.
    worker.isInRoster = false;
    addToRoster(worker);
}

void Fleet::Impl::unlist(WorkerState &worker)
{
    if (!worker.isListed) {
        return;
    }
    const auto id = worker.entry.id;
    worker.isListed = false;
    worker.unlistedAt = timers.now();
    noteChange(worker);
    EventLog::write(
        "worker.unlisted",
        { { "worker", id }, { "runs", worker.runs.size() }, { "silent_ms", silenceBeforeRemoval(worker.entry).count() } });
    removeIfGone(id);
    if (auto *unlisted = find(id)) {
        recordPresence(*unlisted);
    }
}

void Fleet::Impl::recordPresence(WorkerState &worker)
{
    // By this the next owner can tell whether the worker has left.
    if (worker.entry.isDraining && worker.isInRoster) {
        worker.entry.timesAsOf = storeVersion;
        listener.rosterEntryChanged(worker.entry);
    }
}

void Fleet::Impl::keepEarlierServices(WorkerState &worker, const WorkerEntry &former)
{
    worker.entry.earlierServices = former.earlierServices;
    if (former.service == worker.entry.service) {
        return;
    }
    worker.entry.earlierServices.insert(former.service);
    EventLog::write("worker.moved", { { "worker", former.id }, { "from", former.service }, { "to", worker.entry.service } });
    // A new owner learns by the roster that runs of jobs of the former service may be there.
    worker.isInRoster = false;
    addToRoster(worker);
}

Milliseconds Fleet::Impl::silenceBeforeRemoval(const WorkerEntry &entry)
{
    return entry.reportedAfter && entry.missingAt ? *entry.missingAt - *entry.reportedAfter : Milliseconds(-1);
}

} // namespace auburndoor
