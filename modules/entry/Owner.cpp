#include "entry/Owner.h"

#include "dispatch/CommitLog.h"
#include "dispatch/Fleet.h"
#include "dispatch/JobBook.h"
#include "dispatch/JobRecords.h"
#include "dispatch/TaskPlacer.h"
#include "entry/OwnershipGuard.h"
#include "entry/TableWatch.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <map>
#include <set>

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
// What a refusal needs of the client's patience to arrive in time.
constexpr Milliseconds answerMargin { 200 };
// Outages of the store last seconds, and a client tries a few times only.
constexpr Milliseconds retryAfterStall { 1200 };
// A quarter of the lease limit is left for the way of the orders and for slow clocks.
constexpr Milliseconds preferredLease { 5000 };
// An owner that was deposed learns of it with its first order to a worker that this one has read.
constexpr Milliseconds deposedOwnerAllowance { 1500 };
constexpr Milliseconds readRetry { 150 };

FleetTimes fleetTimes(const EntrySettings &settings)
{
    FleetTimes times;
    times.lease = std::min(preferredLease, settings.maxLease * 3 / 4);
    return times;
}

} // namespace

struct Owner::Impl : std::enable_shared_from_this<Owner::Impl>
{
    Impl(const OwnerParts &parts, const Ownership &ownership, std::function<void()> deposedCallback)
        : parts(parts)
        , ownership(ownership)
        , deposedCallback(std::move(deposedCallback))
        , times(fleetTimes(parts.settings))
        , log(parts.timers,
              parts.store,
              parts.settings.nodeName + "#" + std::to_string(ownership.token),
              ownership.epochVersion,
              ownership.sequenceVersion,
              [this] { depose(); })
        , book(parts.timers, log, ownership.token, { [this] { workChanged(); }, [this] { depose(); } })
        , fleet(parts.timers, parts.workers, book, times, ownership.token)
        , placer(parts.timers, book, fleet, parts.advisor, parts.timers.now() + times.lease * 51 / 50 + deposedOwnerAllowance)
        , workerWatch(parts.timers,
                      parts.store,
                      parts.protocol.workerTable(),
                      workerWatchTimes,
                      [this](const auto &rows, bool isWhole) { takeWorkers(rows, isWhole); })
        , guard(parts.timers, parts.store, ownership.epochVersion, [this] { depose(); })
    {
        book.setFleet(fleet);
    }

    void depose();
    void workChanged();
    void readTable(const std::string &table, void (Impl::*take)(const std::vector<StoreRow> &));
    void takeProgress(const std::vector<StoreRow> &rows);
    void takeJobs(const std::vector<StoreRow> &rows);
    void takeRoster(const std::vector<StoreRow> &rows);
    void takeWorkers(const std::vector<StoreRow> &rows, bool isWhole);
    void tend();
    void serve(const ClientCall &call, Callback callback);
    void submit(const ClientCall &call, Callback callback);
    /** Says that there is no such job, once the store confirms that this is still the owner. */
    void confirmAbsence(Callback callback);
    void waitForFlush(TimePoint until, std::function<void(const Ownership &)> done);

    OwnerParts parts;
    Ownership ownership;
    std::function<void()> deposedCallback;
    FleetTimes times;
    CommitLog log;
    JobBook book;
    Fleet fleet;
    TaskPlacer placer;
    TableWatch workerWatch;
    OwnershipGuard guard;
    std::map<std::string, std::string> storedProgress;
    QueueTable queues;
    bool isReady = false;
    bool isClosed = false;
    bool isPlacing = false;
    /** From a change to the next round of placement. */
    Milliseconds roundPause { placeDelay };
    bool isLeaving = false;
};

void Owner::Impl::depose()
{
    if (isClosed) {
        return;
    }
    isClosed = true;
    log.close();
    fleet.close();
    placer.close();
    book.abandonSubmissions();
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

void Owner::Impl::readTable(const std::string &table, void (Impl::*take)(const std::vector<StoreRow> &))
{
    parts.store.readAll(table, {}, [self = shared_from_this(), table, take](const StoreResult &result) {
        if (self->isClosed) {
            return;
        }
        if (result.outcome != StoreOutcome::Done) {
            self->parts.timers.after(readRetry, [self, table, take] {
                if (!self->isClosed) {
                    self->readTable(table, take);
                }
            });
            return;
        }
        ((*self).*take)(result.rows);
    });
}

void Owner::Impl::takeProgress(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        EndedJob ended;
        const auto stage = JobRecords::stageOf(row.value, ended.endedAt);
        if (stage && isEnded(*stage)) {
            ended.stage = *stage;
            ended.isStored = true;
            book.restoreEnded(row.key, ended);
        } else {
            storedProgress[row.key] = row.value;
        }
    }
    readTable(JobTables::jobs, &Impl::takeJobs);
}

void Owner::Impl::takeJobs(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        if (!book.shownStage(row.key)) {
            book.restore(row.key, row.value, storedProgress[row.key]);
        }
    }
    storedProgress.clear();
    book.setQueues(queues);
    readTable(JobTables::roster, &Impl::takeRoster);
}

void Owner::Impl::takeRoster(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        if (const auto entry = JobRecords::readRosterEntry(row.key, row.value)) {
            fleet.addFormerWorker(*entry);
        } else {
            EventLog::write("record.unreadable", { { "worker", row.key }, { "table", JobTables::roster } });
        }
    }
    isReady = true;
    EventLog::write("owner.ready", { { "token", ownership.token }, { "jobs", book.jobs().size() }, { "workers", rows.size() } });
    workerWatch.start();
    tend();
    workChanged();
}

void Owner::Impl::takeWorkers(const std::vector<StoreRow> &rows, bool isWhole)
{
    std::set<std::string> present;
    for (const auto &row : rows) {
        const auto entry = row.isRemoved ? std::nullopt : parts.protocol.readWorker(row);
        if (entry) {
            present.insert(row.key);
            fleet.setEntry(*entry);
        } else if (!isWhole) {
            fleet.removeEntry(row.key);
        }
    }
    if (isWhole) {
        fleet.retainEntries(present);
    }
}

void Owner::Impl::tend()
{
    if (isClosed) {
        return;
    }
    guard.tick();
    book.tick(parts.settings.statusRetention, parts.settings.earlyStart);
    fleet.noteDirectoryAge(workerWatch.age());
    if (!isLeaving && !guard.isInDoubt()) {
        placer.tend();
        workChanged();
    }
    parts.timers.after(tendInterval, [self = shared_from_this()] { self->tend(); });
}

void Owner::Impl::submit(const ClientCall &call, Callback callback)
{
    std::string error;
    auto spec = parts.protocol.readJob(call.body, error);
    if (!spec) {
        callback({ .outcome = ClientResult::Outcome::Malformed, .detail = error });
        return;
    }
    const auto *queue = queues.queue(call.queue);
    const bool isKnown = book.shownStage(call.job).has_value();
    if (!isKnown && isLeaving) {
        callback({ .outcome = ClientResult::Outcome::Moved, .detail = "the owner is stopping" });
        return;
    }
    if (!isKnown && queue == nullptr) {
        callback({ .outcome = ClientResult::Outcome::Refused,
                   .retryAfter = retryAfterStall,
                   .detail = "the queue is not known here yet" });
        return;
    }
    spec->id = call.job;
    spec->queue = call.queue;
    book.submit(std::move(*spec), queue == nullptr ? QueueSpec() : *queue, [callback = std::move(callback)](SubmitOutcome outcome) {
        switch (outcome) {
        case SubmitOutcome::Accepted:
            callback({ .outcome = ClientResult::Outcome::Accepted });
            return;
        case SubmitOutcome::Refused:
            callback({ .outcome = ClientResult::Outcome::Refused,
                       .retryAfter = retryAfterStall,
                       .detail = "the store does not take jobs" });
            return;
        case SubmitOutcome::Unknown:
            callback({ .outcome = ClientResult::Outcome::Unknown, .detail = "the store has not answered" });
            return;
        case SubmitOutcome::Moved:
            callback({ .outcome = ClientResult::Outcome::Moved, .detail = "the owner was deposed" });
            return;
        }
    });
    parts.timers.after(std::min(call.hold, call.patience - answerMargin), [self = shared_from_this(), id = call.job] {
        if (!self->isClosed) {
            self->book.withdraw(id);
        }
    });
}

void Owner::Impl::confirmAbsence(Callback callback)
{
    guard.confirm([self = shared_from_this(), callback = std::move(callback)](OwnershipGuard::Verdict verdict) {
        switch (verdict) {
        case OwnershipGuard::Verdict::IsOwner:
            callback({ .outcome = ClientResult::Outcome::NoSuchJob });
            return;
        case OwnershipGuard::Verdict::IsReplaced:
            callback({ .outcome = ClientResult::Outcome::Moved, .detail = "the owner was deposed" });
            return;
        case OwnershipGuard::Verdict::Unknown:
            callback({ .outcome = ClientResult::Outcome::Refused,
                       .retryAfter = retryAfterStall,
                       .detail = "the store does not confirm the owner" });
            return;
        }
    });
}

void Owner::Impl::waitForFlush(TimePoint until, std::function<void(const Ownership &)> done)
{
    if (log.isIdle() || isClosed || parts.timers.now() > until) {
        done(ownership);
        return;
    }
    constexpr Milliseconds checkInterval { 20 };
    parts.timers.after(checkInterval,
                       [self = shared_from_this(), until, done = std::move(done)] { self->waitForFlush(until, done); });
}

void Owner::Impl::serve(const ClientCall &call, Callback callback)
{
    switch (call.kind) {
    case ClientCall::Kind::Submit:
        submit(call, std::move(callback));
        return;
    case ClientCall::Kind::Query:
        if (const auto stage = book.shownStage(call.job)) {
            callback({ .outcome = ClientResult::Outcome::Answered, .stage = *stage });
        } else {
            confirmAbsence(std::move(callback));
        }
        return;
    case ClientCall::Kind::Cancel:
        book.cancel(call.job, [self = shared_from_this(), callback = std::move(callback)](bool isKnown) {
            if (isKnown) {
                callback({ .outcome = ClientResult::Outcome::Cancelled });
            } else {
                self->confirmAbsence(callback);
            }
        });
        return;
    case ClientCall::Kind::CountPending:
        callback({ .outcome = ClientResult::Outcome::Answered, .pending = book.pendingCount(call.queue) });
        return;
    case ClientCall::Kind::Other:
        break;
    }
    callback({ .outcome = ClientResult::Outcome::Malformed, .detail = "unknown call" });
}

Owner::Owner(const OwnerParts &parts, const Ownership &ownership, std::function<void()> deposed)
    : impl_(std::make_shared<Impl>(parts, ownership, std::move(deposed)))
{
}

Owner::~Owner()
{
    impl_->isClosed = true;
    impl_->log.close();
    impl_->fleet.close();
    impl_->placer.close();
}

void Owner::start()
{
    impl_->readTable(JobTables::progress, &Impl::takeProgress);
}

bool Owner::isReady() const
{
    return impl_->isReady && !impl_->isClosed;
}

void Owner::call(const ClientCall &call, Callback callback)
{
    impl_->guard.whenCertain([impl = impl_, call, callback = std::move(callback)]() mutable {
        if (impl->isClosed) {
            callback({ .outcome = ClientResult::Outcome::Moved, .detail = "the owner was deposed" });
        } else {
            impl->serve(call, std::move(callback));
        }
    });
}

void Owner::setQueues(const QueueTable &queues)
{
    impl_->queues = queues;
    impl_->book.setQueues(queues);
    impl_->workChanged();
}

Milliseconds Owner::storeAway() const
{
    if (!impl_->log.isStalled()) {
        return Milliseconds(0);
    }
    return impl_->log.backlogAge();
}

std::int64_t Owner::token() const
{
    return impl_->ownership.token;
}

void Owner::report(Metrics &metrics) const
{
    std::map<std::string, int> jobsOfQueue;
    for (const auto &[id, job] : impl_->book.jobs()) {
        ++jobsOfQueue[job->spec.queue];
    }
    for (const auto &queue : impl_->queues.queues) {
        metrics.setGauge("jobs", jobsOfQueue[queue.name], "queue=" + queue.name);
        metrics.setGauge("jobs_pending", impl_->book.pendingCount(queue.name), "queue=" + queue.name);
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
    metrics.setGauge("worker_looks", static_cast<double>(impl_->fleet.lookCount()));
    metrics.setGauge("store_transactions", static_cast<double>(impl_->log.sentCount()));
}

void Owner::flush(Milliseconds patience, std::function<void(const Ownership &)> done)
{
    impl_->isLeaving = true;
    impl_->waitForFlush(impl_->parts.timers.now() + patience, std::move(done));
}

} // namespace auburndoor
