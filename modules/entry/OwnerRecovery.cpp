#include "dispatch/JobRecordCodec.h"
#include "dispatch/RosterRecordCodec.h"
#include "entry/OwnerImpl.h"
#include "entry/TableUpdate.h"
#include "observability/EventLog.h"
#include "workload/StoreTimeline.h"

#include <set>

namespace auburndoor {

void Owner::Impl::restoreState(const TableReading::Tables &tables)
{
    if (isClosed) {
        return;
    }
    restoreProgress(tables.at(JobTables::progress));
    restoreParts(tables.at(JobTables::parts));
    restoreJobs(tables.at(JobTables::jobs));
    restoreRoster(tables.at(JobTables::roster));
    isReady = true;
    EventLog::write("owner.ready",
                    { { "token", ownership.token }, { "jobs", jobManager.jobs().size() }, { "workers", fleet.workers().size() } });
    guard.start();
    workerWatch.start();
    runMaintenance();
    schedulePlacement();
    backlogCountedAt = dependencies.timers.now();
    loadReportedAt = backlogCountedAt;
    scheduleLoadSample();
}

void Owner::Impl::restoreProgress(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        const auto stored = JobRecordCodec::stageOf(row.value);
        if (stored && isEnded(stored->stage)) {
            jobManager.restoreEnded(row.key, { stored->stage, stored->endedAt, true, stored->account });
        } else {
            storedProgress[row.key] = row.value;
        }
    }
}

void Owner::Impl::restoreParts(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        if (const auto named = JobPart::readKey(row.key)) {
            storedParts[named->first][named->second] = row.value;
        } else {
            EventLog::write("record.unreadable", { { "job", row.key }, { "table", JobTables::parts } });
        }
    }
}

void Owner::Impl::restoreJobs(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        if (jobManager.shownStage(row.key)) {
            // The job's end is stored; the previous owner did not get to remove its description.
            jobManager.restoreEndedDescription(row.key, row.value);
            jobManager.dropDescription(row.key);
        } else {
            jobManager.restore(row.key, row.value, storedProgress[row.key], storedParts[row.key]);
            storedParts.erase(row.key);
        }
    }
    // The jobs of the others have ended, and the previous owner did not get to remove them.
    for (const auto &[job, parts] : storedParts) {
        for (const auto &[part, text] : parts) {
            jobManager.dropPart(job, part);
        }
    }
    storedParts.clear();
    storedProgress.clear();
    jobManager.setDesiredState(desiredState);
}

void Owner::Impl::restoreRoster(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        if (auto entry = RosterRecordCodec::read(row.key, row.value)) {
            if (!dependencies.storeTimeline.isComparable(entry->timesAsOf)) {
                entry->forgetStoreTimes();
            }
            fleet.addFormerWorker(*entry);
        } else {
            EventLog::write("record.unreadable", { { "worker", row.key }, { "table", JobTables::roster } });
        }
    }
}

void Owner::Impl::followStoreClock()
{
    if (storeRestarts != dependencies.storeTimeline.restartCount()) {
        storeRestarts = dependencies.storeTimeline.restartCount();
        fleet.forgetStoreTimes();
    }
}

void Owner::Impl::updateWorkers(const TableUpdate &update)
{
    followStoreClock();
    if (update.readBy) {
        fleet.noteStoreTime(*update.readBy, update.version, update.requestedAt);
    }
    std::set<std::string> present;
    for (const auto &row : update.rows) {
        if (row.isRemoved) {
            fleet.removeEntry(row.key, update.readBy);
            continue;
        }
        present.insert(row.key);
        if (auto entry = dependencies.protocol.readWorker(row)) {
            entry->reportedAfter = dependencies.storeTimeline.timeBefore(row.version);
            fleet.setEntry(*entry);
        } else {
            fleet.disregardEntry(row.key);
        }
    }
    if (update.isWholeTable) {
        fleet.retainEntries(present, update.readBy);
    }
}

} // namespace auburndoor
