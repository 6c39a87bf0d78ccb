#include "entry/Owner.h"

#include "entry/OwnerImpl.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Gathers the changes of a moment into one round of placement.
constexpr Milliseconds placeDelay { 3 };
// A round that takes long is followed by a pause this many times as long, so that a crest leaves the processor to the rest.
constexpr int roundCostFactor = 4;
constexpr Milliseconds longestPlaceDelay { 60 };
constexpr Milliseconds tendInterval { 200 };
// Workers report about every second and a half: reading their table more often than this shows little more.
constexpr WatchTimes workerWatchTimes { Milliseconds(1500), Milliseconds(250), Milliseconds(200) };
// A quarter of the lease limit is left for the way of the orders and for slow clocks.
constexpr Milliseconds preferredLease { 5000 };
// An owner that was deposed learns of it with its first order to a worker that this one has read.
constexpr Milliseconds deposedOwnerAllowance { 1500 };

FleetTiming fleetTimes(const EntrySettings &settings)
{
    FleetTiming times;
    times.lease = std::min(preferredLease, settings.maxLease * 3 / 4);
    return times;
}

} // namespace

Owner::Impl::Impl(const OwnerDependencies &parts, const Ownership &ownership, std::function<void()> deposedCallback)
    : parts(parts)
    , ownership(ownership)
    , deposedCallback(std::move(deposedCallback))
    , times(fleetTimes(parts.settings))
    , commitQueue(parts.timers,
                  parts.store,
                  parts.settings.nodeName + "#" + std::to_string(ownership.token),
                  ownership.epochVersion,
                  ownership.sequenceVersion,
                  [this] { depose(); })
    , jobManager(parts.timers, commitQueue, ownership.token, { [this] { workChanged(); }, [this] { depose(); } })
    , fleet(parts.timers, parts.workers, jobManager, times, ownership.token)
    , placer(parts.timers, jobManager, fleet, parts.advisor, parts.timers.now() + times.lease * 51 / 50 + deposedOwnerAllowance)
    , workerWatch(parts.timers,
                  parts.store,
                  parts.protocol.workerTable(),
                  workerWatchTimes,
                  [this](const auto &rows, bool isWhole) { takeWorkers(rows, isWhole); })
    , guard(parts.timers, parts.store, ownership.epochVersion, [this] { depose(); })
    , roundPause(placeDelay)
{
    jobManager.setFleet(fleet);
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
    parts.timers.after(Milliseconds(0), deposedCallback);
}

void Owner::Impl::workChanged()
{
    if (isPlacing || isClosed || !isReady || isLeaving) {
        return;
    }
    isPlacing = true;
    parts.timers.after(roundPause, [self = shared_from_this()] {
        self->isPlacing = false;
        if (self->isClosed || self->isLeaving || self->guard.isInDoubt()) {
            return;
        }
        const auto startedAt = self->parts.timers.now();
        const bool isWhole = self->placer.place();
        const auto cost = std::chrono::duration_cast<Milliseconds>(self->parts.timers.now() - startedAt);
        self->roundPause = std::clamp(cost * roundCostFactor, placeDelay, longestPlaceDelay);
        if (!isWhole) {
            self->workChanged();
        }
    });
}

void Owner::Impl::tend()
{
    if (isClosed) {
        return;
    }
    guard.tick();
    jobManager.tick(parts.settings.statusRetention, parts.settings.earlyStart);
    fleet.setDirectoryAge(workerWatch.age());
    if (!isLeaving && !guard.isInDoubt()) {
        placer.tend();
        workChanged();
    }
    parts.timers.after(tendInterval, [self = shared_from_this()] { self->tend(); });
}

void Owner::Impl::waitForFlush(TimePoint until, std::function<void(const Ownership &)> done)
{
    if (commitQueue.isIdle() || isClosed || parts.timers.now() > until) {
        done(ownership);
        return;
    }
    constexpr Milliseconds checkInterval { 20 };
    parts.timers.after(checkInterval,
                       [self = shared_from_this(), until, done = std::move(done)] { self->waitForFlush(until, done); });
}

Owner::Owner(const OwnerDependencies &parts, const Ownership &ownership, std::function<void()> deposed)
    : impl_(std::make_shared<Impl>(parts, ownership, std::move(deposed)))
{
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
    impl_->readTables();
}

bool Owner::isReady() const
{
    return impl_->isReady && !impl_->isClosed;
}

void Owner::call(const ClientCall &call, Callback callback)
{
    impl_->guard.whenCertain([impl = impl_, call, callback = std::move(callback)]() mutable {
        if (impl->isClosed) {
            callback({ .outcome = ClientResult::Outcome::OwnerChanged, .detail = "the owner was deposed" });
        } else {
            impl->serve(call, std::move(callback));
        }
    });
}

void Owner::setDesiredState(const DesiredState &queues)
{
    impl_->queues = queues;
    impl_->jobManager.setDesiredState(queues);
    impl_->workChanged();
}

Milliseconds Owner::storeAway() const
{
    if (!impl_->commitQueue.isStalled()) {
        return Milliseconds(0);
    }
    return impl_->commitQueue.stallDuration();
}

std::int64_t Owner::token() const
{
    return impl_->ownership.token;
}

void Owner::report(Metrics &metrics) const
{
    std::map<std::string, int> jobsOfQueue;
    for (const auto &[id, job] : impl_->jobManager.jobs()) {
        ++jobsOfQueue[job->spec.queue];
    }
    for (const auto &queue : impl_->queues.queues) {
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
    metrics.setGauge("worker_looks", static_cast<double>(impl_->fleet.renewalCount()));
    metrics.setGauge("store_transactions", static_cast<double>(impl_->commitQueue.sentCount()));
}

void Owner::flush(Milliseconds patience, std::function<void(const Ownership &)> done)
{
    impl_->isLeaving = true;
    impl_->waitForFlush(impl_->parts.timers.now() + patience, std::move(done));
}

} // namespace auburndoor
