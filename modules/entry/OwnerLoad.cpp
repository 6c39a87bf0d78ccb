#include "entry/OwnerImpl.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// The jobs are counted less often than the loop's delay is measured, since that takes a pass over all of them.
constexpr Milliseconds backlogInterval { 250 };
constexpr Milliseconds loadReportInterval { 1000 };
// The rate at which jobs begin is averaged over about half a second. A rate that was reached lately counts for some seconds, since
// fewer jobs begin when fewer wait.
constexpr double rateWeight = 0.5;
constexpr double reachedRateFactor = 0.95;
constexpr double minRate = 1.0;
// A successor may have accepted the job, so that a refusal by an owner that has been replaced would be untrue.
constexpr Milliseconds maxAgeOfRefusal { 500 };

} // namespace

void Owner::Impl::scheduleLoadSample()
{
    loadSampleDueAt = dependencies.timers.now() + AdmissionControl::sampleInterval;
    dependencies.timers.after(AdmissionControl::sampleInterval, [self = shared_from_this()] {
        if (!self->isClosed) {
            self->sampleLoad();
            self->scheduleLoadSample();
        }
    });
}

void Owner::Impl::sampleLoad()
{
    guard.tick();
    const auto now = dependencies.timers.now();
    const auto elapsed = [now](TimePoint since) { return std::chrono::duration_cast<Milliseconds>(now - since); };
    AdmissionControl::Load load;
    load.loopDelay = elapsed(loadSampleDueAt);
    load.placementDelay = placementBehindSince ? elapsed(*placementBehindSince) : Milliseconds(0);
    longestLoopDelay = std::max(longestLoopDelay, load.loopDelay);
    if (elapsed(backlogCountedAt) >= backlogInterval) {
        countBacklog(now);
    }
    const bool wasOverloaded = admission.isOverloaded();
    admission.addSample(now, load);
    if (admission.isOverloaded() != wasOverloaded) {
        EventLog::write(wasOverloaded ? "owner.relieved" : "owner.overloaded",
                        { { "token", ownership.token },
                          { "loop_delay_ms", load.loopDelay.count() },
                          { "placement_delay_ms", load.placementDelay.count() },
                          { "not_begun", notBegunCount() } });
    }
    if (elapsed(loadReportedAt) >= loadReportInterval) {
        reportLoad(load);
    }
}

void Owner::Impl::reportLoad(const AdmissionControl::Load &load)
{
    loadReportedAt = dependencies.timers.now();
    EventLog::write("owner.load",
                    { { "loop_delay_ms", std::exchange(longestLoopDelay, Milliseconds(0)).count() },
                      { "placement_delay_ms", load.placementDelay.count() },
                      { "not_begun", notBegunCount() },
                      { "begin_rate", beginRate },
                      { "shed", std::exchange(shedSubmissions, 0) } });
}

void Owner::Impl::countBacklog(TimePoint now)
{
    const int before = notBegunCount();
    backlog.clear();
    backlogAtLimit = 0;
    for (const auto &[id, job] : jobManager.jobs()) {
        // A job past its final deadline is placed after all others.
        if (!job->hasBegun && !job->spec.isScheduled && now <= job->finalDeadlineOf(0)) {
            ++(placer.waitsForLimit(*job) ? backlogAtLimit : backlog[job->queue.priority]);
        }
    }
    const double begun = std::max(before - notBegunCount(), 0);
    recentBeginRate += (begun / std::chrono::duration<double>(now - backlogCountedAt).count() - recentBeginRate) * rateWeight;
    beginRate = std::max(recentBeginRate, beginRate * reachedRateFactor);
    backlogCountedAt = now;
}

int Owner::Impl::notBegunCount() const
{
    int count = backlogAtLimit;
    for (const auto &[priority, jobs] : backlog) {
        count += jobs;
    }
    return count;
}

AdmissionControl::Backlog Owner::Impl::backlogBefore(int priority) const
{
    int jobsBefore = 0;
    for (const auto &[otherPriority, jobs] : backlog) {
        jobsBefore += otherPriority <= priority ? jobs : 0;
    }
    const std::chrono::duration<double> interval(1.0 / std::max(beginRate, minRate));
    const auto sinceCount = loadSampleDueAt - AdmissionControl::sampleInterval - backlogCountedAt;
    const auto wait = std::chrono::duration_cast<Milliseconds>(interval * jobsBefore - sinceCount);
    return { std::max(wait, Milliseconds(0)), std::chrono::duration_cast<std::chrono::microseconds>(interval) };
}

bool Owner::Impl::refuseUnderOverload(const std::string &job, const QueueSpec &queue, const Callback &callback)
{
    const auto jobsBefore = backlogBefore(queue.priority);
    const auto retryAfter = admission.refuse(queue, jobsBefore);
    if (!retryAfter) {
        return false;
    }
    ++shedSubmissions;
    EventLog::writeRateLimited("submission.shed",
                               { { "job", job },
                                 { "queue", queue.name },
                                 { "expected_wait_ms", jobsBefore.expectedWait.count() },
                                 { "retry_after_ms", retryAfter->count() } });
    const auto detail = "the owner of the cell is overloaded: a job of this queue would wait for "
                        + std::to_string(jobsBefore.expectedWait.count()) + " ms";
    answerAsOwner(
        { .outcome = ClientResult::Outcome::Refused, .retryAfter = *retryAfter, .detail = detail }, maxAgeOfRefusal, callback);
    return true;
}

} // namespace auburndoor
