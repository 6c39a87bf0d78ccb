#include "dispatch/FleetImpl.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// The store is slow or away: ends stay unacknowledged, and the worker returns them with each look.
constexpr Milliseconds lookWithUnrecordedEnds { 500 };
// An entry that lapsed is back about two seconds after the store's return, or the worker is gone.
constexpr Milliseconds returnTime { 2500 };

} // namespace

void Fleet::Impl::ensureLook(WorkerState &worker)
{
    const bool hasWork = !worker.isRead || !worker.runs.empty() || worker.hasUnacknowledgedEnds();
    if (hasWork && !worker.isLooking) {
        lookAfter(worker.entry.id, Milliseconds(0));
    }
}

void Fleet::Impl::lookAfter(const std::string &id, Milliseconds delay)
{
    auto *worker = find(id);
    if (worker == nullptr || worker->isLooking) {
        return;
    }
    worker->isLooking = true;
    timers.after(delay, [impl = shared_from_this(), id] {
        if (!impl->isClosed) {
            impl->look(id);
        }
    });
}

void Fleet::Impl::look(const std::string &id)
{
    auto *worker = find(id);
    if (worker == nullptr) {
        return;
    }
    const auto wait = worker->isRead ? times.lookWait : Milliseconds(0);
    ++looks;
    // A worker that does not answer gets no longer lease: what may run there is to be over at a known time.
    const auto lease = worker->failedLooks == 0 ? times.lease : Milliseconds(0);
    // After a failure the worker may be in a new life: it is asked first, and acknowledged to later.
    const auto acknowledgement = worker->failedLooks == 0 ? worker->acknowledgementToSend() : 0;
    worker->client->renewLeases(acknowledgement,
                                lease,
                                wait,
                                [impl = shared_from_this(), id, sentAt = timers.now(), acknowledgement](
                                    const WorkerClient::Reply &reply, const TaskReport &report) {
                                    auto *looked = impl->isClosed ? nullptr : impl->find(id);
                                    if (looked == nullptr) {
                                        return;
                                    }
                                    looked->isLooking = false;
                                    if (reply.outcome == CommandOutcome::Accepted) {
                                        if (report.incarnation == looked->entry.incarnation) {
                                            looked->deliveredAcknowledgement = std::max(looked->deliveredAcknowledgement,
                                                                                        acknowledgement);
                                        }
                                        impl->onReport(id, report, sentAt);
                                    } else {
                                        impl->onLookFailed(id, reply);
                                    }
                                });
}

void Fleet::Impl::probe(const std::string &id)
{
    auto *worker = find(id);
    if (worker == nullptr) {
        return;
    }
    ++looks;
    worker->client->renewLeases(
        0,
        Milliseconds(0),
        Milliseconds(0),
        [impl = shared_from_this(), id, sentAt = timers.now()](const WorkerClient::Reply &reply, const TaskReport &report) {
            auto *probed = impl->isClosed ? nullptr : impl->find(id);
            if (probed == nullptr) {
                return;
            }
            if (reply.outcome == CommandOutcome::Accepted) {
                impl->onReport(id, report, sentAt);
            } else if (reply.outcome == CommandOutcome::Fenced) {
                impl->listener.fenced(id);
            } else {
                // The regular look follows, and its failure counts.
                impl->timers.after(impl->times.lookRetry, [impl, id] { impl->probeUncertain(id); });
            }
        });
}

void Fleet::Impl::probeUncertain(const std::string &id)
{
    const auto *worker = isClosed ? nullptr : find(id);
    const bool isUncertain = worker != nullptr && std::any_of(worker->runs.begin(), worker->runs.end(), [](const auto &run) {
                                 return run.second.phase == Run::Phase::Uncertain;
                             });
    if (isUncertain) {
        probe(id);
    }
}

void Fleet::Impl::resolveUncertain(WorkerState &worker, const std::set<RunKey> &listed, TimePoint lookSentAt)
{
    std::vector<RunKey> absent;
    std::vector<RunKey> lost;
    for (auto &[key, run] : worker.runs) {
        if (run.phase != Run::Phase::Uncertain || lookSentAt < run.uncertainSince) {
            continue;
        }
        if (listed.contains(key) && run.stopReason.empty()) {
            run.phase = Run::Phase::Running;
            run.confirmedAt = timers.now();
            run.percentChangedAt = timers.now();
            listener.runConfirmed(worker.entry.id, run);
        } else if (!listed.contains(key) && run.isStartAnswered) {
            lost.push_back(key);
        } else if (run.stopReason.empty()) {
            absent.push_back(key);
        }
    }
    for (const auto &key : lost) {
        loseRun(worker, key, RunLoss::WorkerRestarted);
    }
    for (const auto &key : absent) {
        worker.runs.at(key).stopReason = "start unanswered";
        sendStop(worker.entry.id, key);
    }
}

void Fleet::Impl::onLookFailed(const std::string &id, const WorkerClient::Reply &reply)
{
    auto &worker = *find(id);
    if (reply.outcome == CommandOutcome::Fenced) {
        listener.fenced(id);
        return;
    }
    if (++worker.failedLooks == 1) {
        EventLog::write("worker.silent", { { "worker", id }, { "outcome", name(reply.outcome) }, { "runs", worker.runs.size() } });
    }
    const bool isOther = reply.outcome == CommandOutcome::WrongWorker;
    const auto inherited = createdAt + times.lease * 51 / 50 + Milliseconds(1500);
    const bool isLeaseOver = timers.now() > std::max(worker.client->leaseEnd(), worker.isRead ? TimePoint() : inherited);
    if (isOther || isLeaseOver) {
        if (!worker.runs.empty()) {
            EventLog::write("worker.lost", { { "worker", id }, { "runs", worker.runs.size() }, { "other", isOther } });
        }
        loseAllRuns(worker, isOther ? RunLoss::WorkerRestarted : RunLoss::LeaseExpired);
        if (isOther) {
            worker.isRead = true;
            worker.acknowledgedEnd = worker.seenEnd;
        }
        if (!worker.isListed && (isOther || timers.now() - worker.unlistedAt > returnTime)) {
            worker.isRead = true;
            worker.acknowledgedEnd = worker.seenEnd;
            forgetIfGone(id);
        }
    }
    lookAfter(id, times.lookRetry);
}

void Fleet::Impl::onReport(const std::string &id, const TaskReport &report, TimePoint lookSentAt)
{
    auto &worker = *find(id);
    if (report.incarnation > worker.entry.incarnation) {
        auto entry = worker.entry;
        entry.incarnation = report.incarnation;
        changeEntry(worker, entry);
    } else if (report.incarnation != 0 && report.incarnation < worker.entry.incarnation) {
        // An answer of an earlier life.
        lookAfter(id, Milliseconds(0));
        return;
    }
    if (worker.failedLooks > 0) {
        EventLog::write("worker.heard", { { "worker", id }, { "failed_looks", worker.failedLooks } });
    }
    worker.failedLooks = 0;
    worker.lastReportAt = timers.now();
    const auto endsBefore = worker.seenEnd;
    const bool wasRead = worker.isRead;
    worker.isRead = true;
    takeEnds(worker, report);
    takeRunning(worker, report, lookSentAt);
    if (!wasRead) {
        listener.capacityChanged();
    }
    const bool hasNewEnds = worker.seenEnd > endsBefore;
    if (worker.hasUnacknowledgedEnds()) {
        // An unacknowledged end is returned at once: the next look waits for its record.
        lookAfter(id, hasNewEnds ? times.gatherEnds : lookWithUnrecordedEnds);
    } else if (!worker.runs.empty()) {
        lookAfter(id, wasRead ? Milliseconds(2) : Milliseconds(0));
    }
    if (!worker.isListed && timers.now() - worker.unlistedAt > returnTime) {
        forgetIfGone(id);
    }
}

void Fleet::Impl::takeEnds(WorkerState &worker, const TaskReport &report)
{
    auto ended = report.ended;
    std::sort(ended.begin(), ended.end(), [](const EndedTask &left, const EndedTask &right) { return left.number < right.number; });
    const auto id = worker.entry.id;
    const auto incarnation = worker.entry.incarnation;
    if (worker.seenEnd == 0 && !ended.empty() && ended.front().number > 1) {
        // Ends below the first one listed were acknowledged to an earlier owner.
        worker.seenEnd = ended.front().number - 1;
        worker.acknowledgedEnd = worker.seenEnd;
    }
    for (const auto &end : ended) {
        if (end.number <= worker.seenEnd) {
            continue;
        }
        worker.seenEnd = end.number;
        const RunKey key { end.task, end.attempt };
        if (end.end == RunOutcome::Done || end.end == RunOutcome::Failed) {
            noteOutcome(worker, end.end == RunOutcome::Failed);
        }
        removeRun(worker, key);
        listener.runEnded(id, end, [impl = shared_from_this(), id, incarnation, number = end.number] {
            impl->onEndRecorded(id, incarnation, number);
        });
    }
}

void Fleet::Impl::onEndRecorded(const std::string &id, std::int64_t incarnation, std::int64_t number)
{
    auto *worker = isClosed ? nullptr : find(id);
    if (worker == nullptr || worker->entry.incarnation != incarnation) {
        return;
    }
    worker->recordedEnds.insert(number);
    while (!worker->recordedEnds.empty() && *worker->recordedEnds.begin() <= worker->acknowledgedEnd + 1) {
        worker->acknowledgedEnd = std::max(worker->acknowledgedEnd, *worker->recordedEnds.begin());
        worker->recordedEnds.erase(worker->recordedEnds.begin());
    }
}

void Fleet::Impl::takeRunning(WorkerState &worker, const TaskReport &report, TimePoint lookSentAt)
{
    std::set<RunKey> listed;
    const auto now = timers.now();
    for (const auto &running : report.running) {
        const RunKey key { running.task, running.attempt };
        listed.insert(key);
        const auto found = worker.runs.find(key);
        if (found == worker.runs.end()) {
            if (!worker.overRuns.contains(key)) {
                takeUnknownRun(worker, running);
            }
            continue;
        }
        auto &run = found->second;
        if (run.percent != running.percent) {
            run.percent = running.percent;
            run.percentChangedAt = now;
        }
        run.latencyOrProcessorUse = running.latencyOrProcessorUse;
        if (run.phase == Run::Phase::Starting) {
            run.phase = Run::Phase::Running;
            run.confirmedAt = now;
            run.percentChangedAt = now;
            listener.runConfirmed(worker.entry.id, run);
        }
        if (!running.checkpoint.empty()) {
            listener.checkpointSeen(running);
        }
    }
    resolveUncertain(worker, listed, lookSentAt);
    checkMissing(worker, listed, lookSentAt);
}

void Fleet::Impl::takeUnknownRun(WorkerState &worker, const RunningTask &running)
{
    const RunKey key { running.task, running.attempt };
    const auto now = timers.now();
    Run run;
    run.key = key;
    run.phase = Run::Phase::Running;
    run.startedAt = now;
    run.confirmedAt = now;
    run.percent = running.percent;
    run.percentChangedAt = now;
    run.latencyOrProcessorUse = running.latencyOrProcessorUse;
    const auto claim = listener.adoptRun(worker.entry.id, running);
    run.isForeign = !claim;
    run.claim = claim.value_or(RunClaim());
    worker.used += run.claim.need;
    worker.foreignRuns += run.isForeign ? 1 : 0;
    worker.runs.emplace(key, run);
    EventLog::write(
        claim ? "run.adopted" : "run.unwanted",
        { { "job", key.task.job }, { "worker", worker.entry.id }, { "attempt", key.attempt }, { "percent", running.percent } });
    if (!claim) {
        worker.runs.at(key).stopReason = "unwanted";
        sendStop(worker.entry.id, key);
    } else if (!running.checkpoint.empty()) {
        listener.checkpointSeen(running);
    }
}

void Fleet::Impl::checkMissing(WorkerState &worker, const std::set<RunKey> &listed, TimePoint lookSentAt)
{
    std::vector<std::pair<RunKey, RunLoss>> missing;
    for (const auto &[key, run] : worker.runs) {
        if (listed.contains(key)) {
            continue;
        }
        // A look that was sent before the confirmation may show the time before the start.
        const bool isStopKnown = run.stopAcknowledgedAt && *run.stopAcknowledgedAt <= lookSentAt;
        const bool isStartKnown = run.confirmedAt != TimePoint() && run.confirmedAt < lookSentAt;
        if (isStopKnown) {
            missing.emplace_back(key, RunLoss::NeverStarted);
        } else if (isStartKnown && run.phase != Run::Phase::Uncertain) {
            missing.emplace_back(key, RunLoss::Missing);
        }
    }
    for (const auto &[key, loss] : missing) {
        loseRun(worker, key, loss);
    }
}

} // namespace auburndoor
