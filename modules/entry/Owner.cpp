#include "entry/Owner.h"

#include "entry/OwnerImpl.h"
#include "entry/PlacementPacing.h"
#include "entry/TableUpdate.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"
#include "workload/StoreTimeline.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds maintenanceInterval { 200 };
constexpr Milliseconds placementReportInterval { 1000 };
// Workers report about every 1.5 seconds, so reading their table more often than this shows little more.
constexpr WatchTiming workerWatchTiming { Milliseconds(1500), Milliseconds(250), Milliseconds(200) };
// The lease for workers; fleetTiming() lowers it to 3/4 of the longest lease that they accept. The remaining quarter allows for the
// time that commands take to arrive and for slow clocks.
constexpr Milliseconds preferredLease { 5000 };
// Leases last as long as their evidence allows, or less: this much time may pass since the evidence before they become shorter.
constexpr Milliseconds evidenceAllowance { 1000 };

// Reports are only approximately regular.
Milliseconds minSilenceBeforeRemoval(const EntrySettings &settings)
{
    return settings.entryLifetime * 5 / 6;
}

FleetTiming fleetTiming(const EntrySettings &settings)
{
    FleetTiming timing;
    timing.lease = std::min(preferredLease, settings.maxLease * 3 / 4);
    timing.evidence.validity = timing.lease + evidenceAllowance;
    timing.evidence.killGrace = settings.killGrace;
    timing.minSilenceBeforeRemoval = minSilenceBeforeRemoval(settings);
    return timing;
}

} // namespace

Owner::Impl::Impl(const OwnerDependencies &dependencies, const Ownership &ownership, std::function<void()> deposedCallback)
    : dependencies(dependencies)
    , ownership(ownership)
    , deposedCallback(std::move(deposedCallback))
    , timing(fleetTiming(dependencies.settings))
    , evidence(dependencies.timers, timing.evidence, ownership.takeoverSentAt)
    , commitQueue(
          dependencies.timers,
          dependencies.store,
          dependencies.settings.nodeName + "#" + std::to_string(ownership.token),
          ownership.epochVersion,
          ownership.sequenceVersion,
          [this] { depose(); },
          dependencies.settings.maxRowBytes)
    , jobManager(dependencies.timers, commitQueue, ownership.token, { [this] { schedulePlacement(); }, [this] { depose(); } })
    , fleet(dependencies.timers, dependencies.workerClients, jobManager, timing, ownership.token, evidence)
    , placer(dependencies.timers, jobManager, fleet, dependencies.advisor)
    , tableReading(dependencies.timers,
                   dependencies.store,
                   ownership.token,
                   [this](const TableReading::Tables &tables) { restoreState(tables); })
    , workerWatch(dependencies.timers,
                  dependencies.store,
                  dependencies.storeTimeline,
                  dependencies.protocol.workerTable(),
                  workerWatchTiming,
                  [this](const TableUpdate &update) { updateWorkers(update); })
    , guard(dependencies.timers, dependencies.store, ownership.epochVersion, evidence, [this] { depose(); })
    , ownershipReport(ownership.token)
    , admission(static_cast<std::uint_fast32_t>(ownership.token))
    , storeRestarts(dependencies.storeTimeline.restartCount())
    , placementDelay(PlacementPacing::minDelay)
{
    jobManager.setFleet(fleet);
    commitQueue.setAppliedCallback([this](CallTime sentAt) { evidence.noteStoreConfirmation(sentAt); });
}

void Owner::Impl::depose()
{
    if (isClosed) {
        return;
    }
    isClosed = true;
    commitQueue.close();
    fleet.close();
    placer.close();
    jobManager.abandonSubmissions();
    EventLog::write("owner.ended", { { "token", ownership.token }, { "why", "deposed" } });
    dependencies.timers.after(Milliseconds(0), deposedCallback);
}

void Owner::Impl::schedulePlacement()
{
    if (isPlacementScheduled || isClosed || !isReady || isStopping) {
        return;
    }
    isPlacementScheduled = true;
    dependencies.timers.after(placementDelay, [self = shared_from_this()] {
        self->isPlacementScheduled = false;
        if (self->isClosed || self->isStopping || !self->mayStartTasks()) {
            return;
        }
        const auto startedAt = self->dependencies.timers.now();
        const bool isComplete = self->placer.place();
        self->placementDelay = PlacementPacing::computeDelay(
            std::chrono::duration_cast<std::chrono::microseconds>(self->dependencies.timers.now() - startedAt));
        if (isComplete) {
            self->placementBehindSince.reset();
        } else {
            self->placementBehindSince = self->placementBehindSince.value_or(startedAt);
            self->schedulePlacement();
        }
    });
}

void Owner::Impl::reportPlacement()
{
    const auto now = dependencies.timers.now();
    if (now - placementReportedAt < placementReportInterval) {
        return;
    }
    placementReportedAt = now;
    const auto statistics = placer.takeStatistics();
    if (statistics.rounds == 0) {
        return;
    }
    EventLog::write("placement.rounds",
                    { { "rounds", statistics.rounds },
                      { "interrupted", statistics.interruptedRounds },
                      { "steps_passed", statistics.stepsPassed },
                      { "steps_searched", statistics.stepsSearched },
                      { "workers_visited", statistics.workersVisited },
                      { "duration_us", statistics.duration.count() },
                      { "longest_us", statistics.longestRound.count() },
                      { "backlog", statistics.backlog } });
}

bool Owner::Impl::mayStartTasks()
{
    return !guard.isUncertain() && evidence.mayStart();
}

void Owner::Impl::watchOwnership()
{
    if (isClosed) {
        return;
    }
    if (workerWatch.isFailing()) {
        guard.requireReading();
    }
    guard.tick();
    dependencies.timers.after(maintenanceInterval, [self = shared_from_this()] { self->watchOwnership(); });
}

void Owner::Impl::runMaintenance()
{
    if (isClosed) {
        return;
    }
    jobManager.tick(dependencies.settings.statusRetention, dependencies.settings.earlyStart);
    followStoreClock();
    fleet.setMinSilenceBeforeRemoval(minSilenceBeforeRemoval(dependencies.settings));
    fleet.setDirectoryAge(workerWatch.age());
    fleet.collectEvidence();
    reportPlacement();
    if (!isStopping && mayStartTasks()) {
        placer.tend();
        schedulePlacement();
    }
    reportOwnership();
    dependencies.timers.after(maintenanceInterval, [self = shared_from_this()] { self->runMaintenance(); });
}

void Owner::Impl::waitForFlush(std::uint64_t mark, TimePoint flushDeadline, std::function<void(const Ownership &)> done)
{
    if (commitQueue.isStoredUpTo(mark) || isClosed || dependencies.timers.now() > flushDeadline) {
        done(ownership);
        return;
    }
    constexpr Milliseconds checkInterval { 20 };
    dependencies.timers.after(checkInterval, [self = shared_from_this(), mark, flushDeadline, done = std::move(done)] {
        self->waitForFlush(mark, flushDeadline, done);
    });
}

Owner::Owner(const OwnerDependencies &dependencies, const Ownership &ownership, std::function<void()> onDeposed)
    : impl_(std::make_shared<Impl>(dependencies, ownership, std::move(onDeposed)))
{
}

void Owner::noteSuccessor()
{
    impl_->depose();
}

Owner::~Owner()
{
    impl_->isClosed = true;
    impl_->commitQueue.close();
    impl_->fleet.close();
    impl_->placer.close();
}

void Owner::start()
{
    impl_->tableReading.start({ JobTables::progress, JobTables::parts, JobTables::jobs, JobTables::roster });
    impl_->watchOwnership();
}

bool Owner::isReady() const
{
    return impl_->isReady && !impl_->isClosed;
}

std::string Owner::describeUnreadiness() const
{
    if (impl_->isClosed) {
        return "its ownership with the token " + std::to_string(token()) + " has ended";
    }
    return "it owns the cell with the token " + std::to_string(token()) + " and has been reading the stored jobs for "
           + std::to_string(impl_->tableReading.age().count()) + " ms";
}

void Owner::call(const ClientCall &call, Callback callback)
{
    impl_->guard.runWhenCertain([impl = impl_, call, callback = std::move(callback)]() mutable {
        if (impl->isClosed) {
            callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = "the owner was deposed" });
        } else {
            impl->handleCall(call, std::move(callback));
        }
    });
}

void Owner::setDesiredState(const DesiredState &desiredState)
{
    impl_->desiredState = desiredState;
    impl_->jobManager.setDesiredState(desiredState);
    impl_->placer.setDesiredState(desiredState);
    impl_->schedulePlacement();
}

Milliseconds Owner::storeStallDuration() const
{
    if (!impl_->isReady) {
        return impl_->tableReading.stallDuration();
    }
    const auto writeStall = impl_->commitQueue.isStalled() ? impl_->commitQueue.stallDuration() : Milliseconds(0);
    return std::max(writeStall, impl_->guard.stallDuration());
}

std::string Owner::stalledTable() const
{
    return impl_->tableReading.stalledTable();
}

std::int64_t Owner::token() const
{
    return impl_->ownership.token;
}

void Owner::updateMetrics(Metrics &metrics) const
{
    std::map<std::string, int> jobsOfQueue;
    for (const auto &[id, job] : impl_->jobManager.jobs()) {
        ++jobsOfQueue[job->spec.queue];
    }
    for (const auto &queue : impl_->desiredState.queues) {
        metrics.setGauge("jobs", jobsOfQueue[queue.name], "queue=" + queue.name);
        metrics.setGauge("jobs_pending", impl_->jobManager.pendingCount(queue.name), "queue=" + queue.name);
    }
    std::map<std::string, int> usable;
    std::map<std::string, int> running;
    for (const auto &[id, worker] : impl_->fleet.workers()) {
        usable[worker->entry.service] += impl_->fleet.isUsable(*worker) ? 1 : 0;
        running[worker->entry.service] += static_cast<int>(worker->runs.size());
    }
    for (const auto &[service, count] : usable) {
        metrics.setGauge("workers_usable", count, "service=" + service);
        metrics.setGauge("runs", running[service], "service=" + service);
    }
    metrics.setGauge("overloaded", impl_->admission.isOverloaded() ? 1 : 0);
    metrics.setGauge("jobs_not_begun", impl_->notBegunCount());
    metrics.setGauge("jobs_begun_per_second", impl_->beginRate);
    metrics.setGauge("worker_looks", static_cast<double>(impl_->fleet.renewalCount()));
    metrics.setGauge("store_transactions", static_cast<double>(impl_->commitQueue.sentCount()));
    metrics.setGauge("store_rows_rejected", static_cast<double>(impl_->commitQueue.rejectedRowCount()));
    const auto workers = impl_->countWorkers();
    metrics.setGauge("owner_store_age_milliseconds", static_cast<double>(impl_->evidence.storeAge().count()));
    metrics.setGauge("workers_unread", workers.unread);
    metrics.setGauge("workers_answering", workers.answering);
}

void Owner::flush(Milliseconds timeout, std::function<void(const Ownership &)> done)
{
    impl_->isStopping = true;
    impl_->followStoreClock();
    impl_->fleet.handOverLeases();
    impl_->waitForFlush(impl_->commitQueue.mark(), impl_->dependencies.timers.now() + timeout, std::move(done));
}

} // namespace auburndoor
