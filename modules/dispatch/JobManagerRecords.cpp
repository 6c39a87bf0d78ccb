#include "dispatch/JobManager.h"
#include "dispatch/JobRecordCodec.h"
#include "observability/EventLog.h"

#include <utility>

namespace auburndoor {

void JobManager::restoreParts(JobState &job, const StoredParts &parts)
{
    const auto &id = job.spec.id;
    const bool hasOldRecord = job.isWide() && !job.occurrences.empty();
    for (const auto &[part, text] : parts) {
        if (!job.isWide() || part.occurrence >= job.spec.occurrences || job.doneOccurrences.contains(part.occurrence)) {
            dropPart(id, part);
            continue;
        }
        if (!job.occurrences.contains(part.occurrence)) {
            job.addOccurrence(part.occurrence, timers_.now());
        }
        auto *step = job.step(part.occurrence, part.step);
        if (step == nullptr || !JobRecordCodec::readPart(text, part.firstTask, *step)) {
            EventLog::write("record.unreadable", { { "job", part.key(id) }, { "table", JobTables::parts } });
        }
        job.parts.insert(part);
        job.hasBegun = true;
        job.stage = JobStage::Running;
    }
    job.addMissingOccurrences(timers_.now());
    if (!hasOldRecord) {
        return;
    }
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &step : occurrence.steps) {
            for (int first = 0; first < static_cast<int>(step.tasks.size()); first += JobPart::maxTasks) {
                job.unstoredParts.insert({ number, step.index, first });
            }
        }
    }
    for (const auto &part : job.unstoredParts) {
        savePart(job, part, {}, CommitQueue::Urgency::Routine);
    }
}

void JobManager::storeService(JobState &job)
{
    const auto &service = job.queue.service;
    if (!job.services.emplace(service, false).second) {
        return;
    }
    const auto &id = job.spec.id;
    EventLog::writeRateLimited("job.moved", { { "job", id }, { "queue", job.spec.queue }, { "service", service } });
    const auto markStored = [this, id, service] {
        if (auto *moved = find(id)) {
            moved->services[service] = true;
            changedJobs_.push_back(id);
            hooks_.workChanged();
        }
    };
    saveProgress(id, markStored, CommitQueue::Urgency::Urgent);
}

void JobManager::saveTask(JobState &job, const TaskName &task, std::function<void()> durable, CommitQueue::Urgency urgency)
{
    if (job.isWide()) {
        savePart(job, JobPart::of(task), std::move(durable), urgency);
    } else {
        saveProgress(job.spec.id, std::move(durable), urgency);
    }
}

void JobManager::savePart(JobState &job, const JobPart &part, std::function<void()> durable, CommitQueue::Urgency urgency)
{
    const auto &id = job.spec.id;
    job.parts.insert(part);
    const auto value = [this, id, part]() -> std::optional<std::string> {
        auto *live = find(id);
        const auto *step = live == nullptr ? nullptr : live->step(part.occurrence, part.step);
        if (step == nullptr) {
            return std::nullopt;
        }
        return fitRow(id, [&](RecordDetail detail) { return JobRecordCodec::part(*step, part.firstTask, detail); });
    };
    const auto onStored = [this, id, part, durable = std::move(durable)] {
        if (durable) {
            durable();
        }
        auto *live = find(id);
        if (live != nullptr && live->unstoredParts.erase(part) != 0 && live->unstoredParts.empty()) {
            for (auto &waiting : std::exchange(live->waitingForParts, {})) {
                putProgressRow(id, std::move(waiting), CommitQueue::Urgency::Urgent);
            }
        }
    };
    commitQueue_.put(JobTables::parts, part.key(id), value, onStored, urgency);
}

void JobManager::saveProgress(const std::string &id, std::function<void()> durable, CommitQueue::Urgency urgency)
{
    auto *job = find(id);
    if (job != nullptr && !job->unstoredParts.empty()) {
        job->waitingForParts.push_back(std::move(durable));
        return;
    }
    putProgressRow(id, std::move(durable), urgency);
}

void JobManager::putProgressRow(const std::string &id, std::function<void()> durable, CommitQueue::Urgency urgency)
{
    commitQueue_.put(
        JobTables::progress,
        id,
        [this, id]() -> std::optional<std::string> {
            if (const auto *live = find(id)) {
                return fitRow(id, [live](RecordDetail detail) { return JobRecordCodec::progress(*live, detail); });
            }
            const auto ended = ended_.find(id);
            return endRecord(ended == ended_.end() ? EndedJob { JobStage::Cancelled, timers_.wallNow() } : ended->second);
        },
        std::move(durable),
        urgency);
}

std::string JobManager::endRecord(const EndedJob &ended)
{
    JobState tombstone;
    tombstone.stage = ended.stage;
    tombstone.endedAt = ended.endedAt;
    tombstone.spec.account = ended.account;
    return JobRecordCodec::progress(tombstone);
}

std::string JobManager::fitRow(const std::string &id, const std::function<std::string(RecordDetail)> &text) const
{
    auto row = text(RecordDetail::Full);
    const auto bytes = row.size();
    for (const auto detail : { RecordDetail::ShortCheckpoints, RecordDetail::Essential }) {
        if (row.size() > commitQueue_.maxRowBytes()) {
            row = text(detail);
        }
    }
    if (row.size() < bytes) {
        EventLog::writeRateLimited("record.shortened",
                                   { { "job", id }, { "bytes", bytes }, { "limit", commitQueue_.maxRowBytes() } });
    }
    return row;
}

std::function<void()> JobManager::closeParts(JobState &job, const std::function<bool(const JobPart &)> &isClosed)
{
    std::vector<JobPart> closed;
    std::vector<CommitQueue::Callback> waiting;
    for (const auto &part : job.parts) {
        if (!isClosed(part)) {
            continue;
        }
        closed.push_back(part);
        // An end that was to be stored with the part is stored with the row that takes its place.
        for (auto &callback : commitQueue_.take(JobTables::parts, part.key(job.spec.id))) {
            waiting.push_back(std::move(callback));
        }
    }
    for (const auto &part : closed) {
        job.parts.erase(part);
        job.unstoredParts.erase(part);
    }
    if (job.unstoredParts.empty()) {
        std::move(job.waitingForParts.begin(), job.waitingForParts.end(), std::back_inserter(waiting));
        job.waitingForParts.clear();
    }
    return [this, id = job.spec.id, closed = std::move(closed), waiting = std::move(waiting)] {
        for (const auto &callback : waiting) {
            if (callback) {
                callback();
            }
        }
        for (const auto &part : closed) {
            dropPart(id, part);
        }
    };
}

void JobManager::dropPart(const std::string &id, const JobPart &part)
{
    commitQueue_.put(
        JobTables::parts, part.key(id), [] { return std::nullopt; }, {}, CommitQueue::Urgency::Routine);
}

void JobManager::dropDescription(const std::string &id)
{
    commitQueue_.put(
        JobTables::jobs, id, [] { return std::nullopt; }, {}, CommitQueue::Urgency::Routine);
}

} // namespace auburndoor
