#include "dispatch/JobRecordCodec.h"
#include "entry/OwnerImpl.h"
#include "observability/EventLog.h"

#include <set>

namespace auburndoor {

namespace {

constexpr Milliseconds readRetry { 150 };

} // namespace

void Owner::Impl::readTables()
{
    // No owner before this one can write any more, so the tables may be read side by side.
    for (const auto *table : { JobTables::progress, JobTables::jobs, JobTables::roster }) {
        readTable(table);
    }
}

void Owner::Impl::readTable(const std::string &table)
{
    parts.store.readAll(table, {}, [self = shared_from_this(), table](const StoreResult &result) {
        if (self->isClosed) {
            return;
        }
        if (result.outcome != StoreOutcome::Done) {
            self->parts.timers.after(readRetry, [self, table] {
                if (!self->isClosed) {
                    self->readTable(table);
                }
            });
            return;
        }
        self->tablesRead[table] = result.rows;
        self->takeTables();
    });
}

void Owner::Impl::takeTables()
{
    constexpr std::size_t tableCount = 3;
    if (tablesRead.size() < tableCount) {
        return;
    }
    takeProgress(tablesRead.at(JobTables::progress));
    takeJobs(tablesRead.at(JobTables::jobs));
    takeRoster(tablesRead.at(JobTables::roster));
    tablesRead.clear();
    isReady = true;
    EventLog::write("owner.ready",
                    { { "token", ownership.token }, { "jobs", jobManager.jobs().size() }, { "workers", fleet.workers().size() } });
    guard.start();
    workerWatch.start();
    tend();
    workChanged();
}

void Owner::Impl::takeProgress(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        EndedJob ended;
        const auto stage = JobRecordCodec::stageOf(row.value, ended.endedAt);
        if (stage && isEnded(*stage)) {
            ended.stage = *stage;
            ended.isStored = true;
            jobManager.restoreEnded(row.key, ended);
        } else {
            storedProgress[row.key] = row.value;
        }
    }
}

void Owner::Impl::takeJobs(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        if (jobManager.shownStage(row.key)) {
            // The owner before has not come to remove it.
            jobManager.dropDescription(row.key);
        } else {
            jobManager.restore(row.key, row.value, storedProgress[row.key]);
        }
    }
    storedProgress.clear();
    jobManager.setDesiredState(queues);
}

void Owner::Impl::takeRoster(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        if (const auto entry = JobRecordCodec::readRosterEntry(row.key, row.value)) {
            fleet.addFormerWorker(*entry);
        } else {
            EventLog::write("record.unreadable", { { "worker", row.key }, { "table", JobTables::roster } });
        }
    }
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

} // namespace auburndoor
