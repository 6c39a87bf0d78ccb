#include "dispatch/FleetImpl.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

// While the store is slow or unavailable, ends stay unacknowledged and the worker answers each poll at once to list them again.
constexpr Milliseconds pollDelayWithUnrecordedEnds { 500 };
// After the store has returned, a live worker whose entry expired is listed again within about two seconds.
constexpr Milliseconds unlistedGracePeriod { 2500 };

} // namespace

void Fleet::Impl::ensurePolling(WorkerState &worker)
{
    const bool needsPolling = !worker.isReportRead || !worker.runs.empty() || worker.hasUnacknowledgedEnds();
    if (needsPolling && !worker.isPolling) {
        schedulePoll(worker.entry.id, Milliseconds(0));
    }
}

void Fleet::Impl::schedulePoll(const std::string &id, Milliseconds delay)
{
    auto *worker = find(id);
    if (worker == nullptr || worker->isPolling) {
        return;
    }
    worker->isPolling = true;
    timers.after(delay, [impl = shared_from_this(), id] {
        if (!impl->isClosed) {
            impl->pollWorker(id);
        }
    });
}

void Fleet::Impl::pollAll()
{
    for (const auto &[id, worker] : workers) {
        schedulePoll(id, Milliseconds(0));
    }
}

void Fleet::Impl::pollWorker(const std::string &id)
{
    auto *worker = find(id);
    if (worker == nullptr) {
        return;
    }
    // A silent worker is asked for an answer at once, so that its return, or the end of its leases, is noticed early.
    const auto wait = worker->isReportRead && worker->failedPolls == 0 ? timing.pollWait : Milliseconds(0);
    ++renewalsSent;
    // The lease of a worker that does not answer is not extended, so that its runs have ended by a known time.
    // Nor is that of one whose runs are not known since the takeover: inherited tasks wait for the former owner's leases only.
    const bool areRunsKnown = worker->isReportRead || (worker->isReportCutOff && !worker->isReportUnreadable);
    const bool isRenewed = worker->failedPolls == 0 && !worker->isHandedOver && areRunsKnown;
    const auto lease = isRenewed ? permittedLease() : Milliseconds(0);
    // After a failed poll the worker may have restarted: its report is read before ends are acknowledged.
    const auto acknowledgement = worker->failedPolls == 0 ? worker->acknowledgementToSend() : 0;
    worker->client->renewLeases(
        acknowledgement,
        lease,
        wait,
        [impl = shared_from_this(), id, sentAt = CallTime::now(timers), incarnation = worker->entry.incarnation, acknowledgement](
            const WorkerClient::Reply &reply, const TaskReport &report) {
            auto *polledWorker = impl->isClosed ? nullptr : impl->find(id);
            if (polledWorker == nullptr) {
                return;
            }
            polledWorker->isPolling = false;
            if (reply.outcome == CommandOutcome::Accepted) {
                impl->noteReached(id);
                if (!polledWorker->isReportRead) {
                    polledWorker->inheritedLeaseEnd = impl->timers.now()
                                                      + OwnershipEvidence::maxLeaseTime(impl->timing.lease, impl->timing.evidence);
                }
                polledWorker->replacedSince.reset();
                if (report.incarnation == polledWorker->entry.incarnation) {
                    polledWorker->acceptedAt = std::max(polledWorker->acceptedAt, sentAt.boot);
                    // An acknowledgement for another incarnation was not delivered.
                    const auto delivered = report.incarnation == incarnation ? acknowledgement : 0;
                    polledWorker->deliveredAcknowledgement = std::max(polledWorker->deliveredAcknowledgement, delivered);
                }
                impl->onReport(id, report, sentAt.steady);
            } else {
                impl->onPollFailed(id, reply);
            }
        });
}

void Fleet::Impl::probe(const std::string &id)
{
    auto *worker = find(id);
    if (worker == nullptr) {
        return;
    }
    ++renewalsSent;
    worker->client->renewLeases(
        0,
        Milliseconds(0),
        Milliseconds(0),
        [impl = shared_from_this(), id, sentAt = timers.now()](const WorkerClient::Reply &reply, const TaskReport &report) {
            auto *probedWorker = impl->isClosed ? nullptr : impl->find(id);
            if (probedWorker == nullptr) {
                return;
            }
            if (reply.outcome == CommandOutcome::Accepted) {
                impl->onReport(id, report, sentAt);
            } else if (reply.outcome == CommandOutcome::Fenced) {
                impl->listener.fenced(id);
            } else {
                // Only failures of regular polls are counted.
                impl->timers.after(impl->timing.pollRetryDelay, [impl, id] { impl->probeUncertainRuns(id); });
            }
        });
}

void Fleet::Impl::probeUncertainRuns(const std::string &id)
{
    const auto *worker = isClosed ? nullptr : find(id);
    const bool isUncertain = worker != nullptr && std::any_of(worker->runs.begin(), worker->runs.end(), [](const auto &run) {
                                 return run.second.phase == Run::Phase::Uncertain;
                             });
    if (isUncertain) {
        probe(id);
    }
}

void Fleet::Impl::resolveUncertainRuns(WorkerState &worker, const std::set<RunKey> &listed, TimePoint pollSentAt)
{
    std::vector<RunKey> absent;
    std::vector<RunKey> lost;
    for (auto &[key, run] : worker.runs) {
        if (run.phase != Run::Phase::Uncertain || pollSentAt < run.uncertainSince) {
            continue;
        }
        if (listed.contains(key) && run.stopReason.empty()) {
            run.phase = Run::Phase::Running;
            run.isMeasurable = false;
            run.confirmedAt = timers.now();
            run.percentChangedAt = timers.now();
            listener.runConfirmed(worker.entry.id, run);
        } else if (!worker.isReportComplete() || (!listed.contains(key) && !isAbsenceConclusive(worker, run))) {
            continue;
        } else if (!listed.contains(key) && run.isStartAnswered) {
            lost.push_back(key);
        } else if (run.stopReason.empty()) {
            absent.push_back(key);
        }
    }
    for (const auto &key : lost) {
        reportLostRun(worker, key, RunLoss::WorkerRestarted);
    }
    for (const auto &key : absent) {
        worker.runs.at(key).stopReason = "start unanswered";
        sendStop(worker.entry.id, key);
    }
}

void Fleet::Impl::onPollFailed(const std::string &id, const WorkerClient::Reply &reply)
{
    auto &worker = *find(id);
    if (reply.outcome == CommandOutcome::Fenced) {
        listener.fenced(id);
        return;
    }
    noteChange(worker);
    if (++worker.failedPolls == 1) {
        worker.silentSince = timers.now();
        EventLog::write("worker.silent", { { "worker", id }, { "outcome", name(reply.outcome) }, { "runs", worker.runs.size() } });
        listener.workerSilent(makePossibleCrash(worker));
    }
    bool isWrongWorker = reply.outcome == CommandOutcome::WrongWorker;
    if (isWrongWorker) {
        noteReached(id);
        worker.replacedSince = worker.replacedSince.value_or(timers.now());
        // A successor may have seen the runs end before the worker did.
        isWrongWorker = evidence.requireConfirmation(*worker.replacedSince);
    }
    const bool isUnanswered = reply.outcome == CommandOutcome::NotSent || reply.outcome == CommandOutcome::Unknown;
    if (isUnanswered && hasLeft(worker)) {
        logLeft(worker, reply.outcome);
        reportAllRunsLost(worker, RunLoss::WorkerLeft);
        worker.isReportRead = true;
        worker.acknowledgedEnd = worker.lastSeenEnd;
        removeIfGone(id);
    } else if (isWrongWorker || isLeaseOver(worker)) {
        logLoss(worker, reply.outcome);
        possibleCrashes.add(makePossibleCrash(worker), timers.now());
        reportAllRunsLost(worker, isWrongWorker ? RunLoss::WorkerReplaced : RunLoss::LeaseExpired);
        if (isWrongWorker) {
            worker.isReportRead = true;
            worker.acknowledgedEnd = worker.lastSeenEnd;
            for (const auto &crash : possibleCrashes.takeReplaced(id)) {
                listener.workerCrashed(crash);
            }
        }
        if (!worker.isListed && (isWrongWorker || timers.now() - worker.unlistedAt > unlistedGracePeriod)) {
            worker.isReportRead = true;
            const auto acknowledged = std::exchange(worker.acknowledgedEnd, worker.lastSeenEnd);
            removeIfGone(id);
            if (auto *kept = find(id)) {
                // It may be heard again, and ends that are not stored must not be acknowledged then.
                kept->acknowledgedEnd = acknowledged;
            }
        }
    }
    schedulePoll(id, timing.pollRetryDelay);
}

void Fleet::Impl::onReport(const std::string &id, const TaskReport &report, TimePoint pollSentAt)
{
    auto &worker = *find(id);
    if (report.incarnation > worker.entry.incarnation) {
        auto entry = worker.entry;
        entry.incarnation = report.incarnation;
        entry.reportNumber.reset();
        entry.reportedAfter.reset();
        entry.missingAt.reset();
        worker.isEntryCurrent = false;
        updateEntry(worker, entry);
    } else if (report.incarnation != 0 && report.incarnation < worker.entry.incarnation) {
        // A late answer of an earlier incarnation.
        schedulePoll(id, timing.pollRetryDelay);
        return;
    }
    logOutlivedLease(worker, report, pollSentAt);
    if (worker.failedPolls > 0) {
        EventLog::write("worker.heard", { { "worker", id }, { "failed_looks", worker.failedPolls } });
    }
    worker.failedPolls = 0;
    worker.previousReportAt = std::exchange(worker.lastReportAt, timers.now());
    noteChange(worker);
    const auto lastSeenEndBefore = worker.lastSeenEnd;
    const bool wasReportRead = worker.isReportRead;
    const bool isNewlyCutOff = report.isCutOff && !worker.isReportCutOff;
    const bool wasReportUnreadable = std::exchange(worker.isReportUnreadable, !report.omission.empty());
    worker.isReportCutOff = report.isCutOff;
    // Runs that have ended beyond the listed ends are unknown until these are acknowledged.
    worker.isReportRead = wasReportRead || worker.isReportComplete();
    if (isNewlyCutOff) {
        EventLog::write(
            "worker.cut_off",
            { { "worker", id }, { "ends", report.ended.size() }, { "runs", worker.runs.size() }, { "read", wasReportRead } });
    }
    if (worker.isReportUnreadable && !wasReportUnreadable) {
        EventLog::write("worker.report_unreadable",
                        { { "worker", id },
                          { "detail", report.omission },
                          { "running", report.running.size() },
                          { "runs", worker.runs.size() },
                          { "read", wasReportRead } });
    }
    processEnds(worker, report);
    processRunning(worker, report, pollSentAt);
    reportCrashes(id, report, pollSentAt);
    if (!wasReportRead && worker.isReportRead) {
        listener.capacityChanged();
    }
    const bool hasNewEnds = worker.lastSeenEnd > lastSeenEndBefore;
    if (worker.hasUnacknowledgedEnds()) {
        // The worker answers at once while it lists unacknowledged ends: the next poll is delayed until they may be stored.
        schedulePoll(id, hasNewEnds ? timing.endBatchDelay : pollDelayWithUnrecordedEnds);
    } else if (worker.isReportCutOff) {
        schedulePoll(id, Milliseconds(0));
    } else if (worker.isReportUnreadable) {
        schedulePoll(id, timing.pollRetryDelay);
    } else if (!worker.runs.empty()) {
        // A report of no incarnation does not wait for an end, since its lease was not renewed.
        const bool isOfIncarnation = report.incarnation == worker.entry.incarnation;
        schedulePoll(id, isOfIncarnation ? (wasReportRead ? Milliseconds(2) : Milliseconds(0)) : timing.pollRetryDelay);
    }
    if (!worker.isListed && timers.now() - worker.unlistedAt > unlistedGracePeriod) {
        removeIfGone(id);
    }
}

void Fleet::Impl::reportCrashes(const std::string &id, const TaskReport &report, TimePoint pollSentAt)
{
    if (report.isCutOff || !report.omission.empty()) {
        return;
    }
    for (auto &crash : possibleCrashes.take(id, report.incarnation, pollSentAt)) {
        // A start that was answered by the later incarnation, before its entry was known, has not ended with the earlier one.
        const auto isListed = [&report](const WorkerCrash::AffectedRun &run) {
            const auto hasKey = [&run](const auto &item) { return item.task == run.key.task && item.attempt == run.key.attempt; };
            return std::any_of(report.running.begin(), report.running.end(), hasKey)
                   || std::any_of(report.ended.begin(), report.ended.end(), hasKey);
        };
        std::erase_if(crash.runs, isListed);
        if (!crash.runs.empty()) {
            listener.workerCrashed(crash);
        }
    }
}

void Fleet::Impl::processEnds(WorkerState &worker, const TaskReport &report)
{
    auto ended = report.ended;
    std::sort(ended.begin(), ended.end(), [](const EndedTask &left, const EndedTask &right) { return left.number < right.number; });
    const auto id = worker.entry.id;
    const auto incarnation = worker.entry.incarnation;
    if (worker.lastSeenEnd == 0 && !ended.empty() && ended.front().number > 1) {
        // Ends below the first one listed were acknowledged to an earlier owner.
        worker.lastSeenEnd = ended.front().number - 1;
        worker.acknowledgedEnd = worker.lastSeenEnd;
    }
    for (const auto &end : ended) {
        if (end.number <= worker.lastSeenEnd) {
            continue;
        }
        worker.lastSeenEnd = end.number;
        const RunKey key { end.task, end.attempt };
        if (end.end == RunOutcome::Done || end.end == RunOutcome::Failed) {
            recordOutcome(worker, end.end == RunOutcome::Failed);
        }
        reportRunTime(worker, end);
        removeRun(worker, key);
        if (lostRuns.erase(id, key)) {
            // A report that was overtaken by this one may still list it.
            worker.recentlyEndedRuns[key] = timers.now();
        }
        worker.unrecordedEnds.insert(end.number);
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
    worker->unrecordedEnds.erase(number);
    const auto recorded = worker->unrecordedEnds.empty() ? worker->lastSeenEnd : *worker->unrecordedEnds.begin() - 1;
    worker->acknowledgedEnd = std::max(worker->acknowledgedEnd, recorded);
}

void Fleet::Impl::processRunning(WorkerState &worker, const TaskReport &report, TimePoint pollSentAt)
{
    std::set<RunKey> listed;
    const auto now = timers.now();
    for (const auto &running : report.running) {
        const RunKey key { running.task, running.attempt };
        listed.insert(key);
        const auto found = worker.runs.find(key);
        if (found == worker.runs.end()) {
            processUnknownRun(worker, running, pollSentAt);
            continue;
        }
        auto &run = found->second;
        run.incarnation = worker.entry.incarnation;
        if (run.percent != running.percent) {
            run.percent = running.percent;
            run.percentChangedAt = now;
        }
        run.noteCheckpoint(running.checkpoint, now);
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
    resolveUncertainRuns(worker, listed, pollSentAt);
    reportMissingRuns(worker, listed, pollSentAt);
}

void Fleet::Impl::reportMissingRuns(WorkerState &worker, const std::set<RunKey> &listed, TimePoint pollSentAt)
{
    if (!worker.isReportComplete()) {
        return;
    }
    std::vector<std::pair<RunKey, RunLoss>> missing;
    for (const auto &[key, run] : worker.runs) {
        if (listed.contains(key) || !isAbsenceConclusive(worker, run)) {
            continue;
        }
        // A poll that was sent before the start was confirmed may report the time before it.
        const bool isStopKnown = run.stopAcknowledgedAt && *run.stopAcknowledgedAt <= pollSentAt;
        const bool isStartKnown = run.confirmedAt != TimePoint() && run.confirmedAt < pollSentAt;
        if (isStopKnown) {
            missing.emplace_back(key, RunLoss::NeverStarted);
        } else if (isStartKnown && run.phase != Run::Phase::Uncertain) {
            missing.emplace_back(key, RunLoss::Missing);
        }
    }
    for (const auto &[key, loss] : missing) {
        reportLostRun(worker, key, loss);
    }
}

} // namespace auburndoor
