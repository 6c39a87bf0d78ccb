#pragma once

#include "core/Clock.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestRecord.h"
#include "storage/TableService.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace auburndoor {

class Metrics;
class ObjectStore;

enum class ClaimStatus {
    /** This attempt has claimed the record and may start its task. */
    Claimed,
    /** Another attempt has claimed the record, and may have stored its outcome. */
    Taken,
    /** The record could not be written in time, so the task must not be started. */
    Failed,
};

struct ClaimResult
{
    ClaimStatus status = ClaimStatus::Failed;
    /** Claimed: the version of the row as written. Taken: the version of the existing row. */
    long long version = 0;
    /** Taken: the record of the other attempt. */
    RequestRecord existingRecord;
};

/**
    The records of non-repeatable requests in the platform's table.

    Claims are written by the caller's thread, outcomes by writer threads of this object. Any thread.
*/
class RequestRecordStore
{
public:
    RequestRecordStore(Clock &clock, Metrics &metrics, TableService &table, ObjectStore &objects);

    /** Tries each outcome that is still to be written once, then stops the writer threads. */
    ~RequestRecordStore();

    /**
        Writes a claim if the row has the expected version (0: the row must not exist). Blocks until the table has answered.

        @param failure filled if the status is Failed
    */
    ClaimResult claim(const std::string &rowKey,
                      long long expectedVersion,
                      const RequestRecord &record,
                      TimePoint deadline,
                      Failure &failure);

    /**
        Removes the records that were claimed more than 24 h ago, in several transactions.

        @return the number of removed records; empty on failure, when part of them may have been removed
    */
    std::optional<long long> removeExpired(Failure &failure);

    /** Queues the outcome of a claimed request for the writer threads, which retry while the table is down. */
    void storeOutcome(const ClaimedRecord &claimed, const RequestRecord &record);

    /** The answer in a record with an outcome, from the row or the object store. @return empty on failure */
    std::optional<std::string> loadAnswer(const RequestRecord &record, TimePoint deadline, Failure &failure);

private:
    /** An outcome that is still to be written. */
    struct PendingOutcome
    {
        ClaimedRecord claimed;
        RequestRecord record;
        TimePoint nextWriteTime;
    };

    std::optional<long long> removeRecordsOfHour(long long hour, Failure &failure);
    bool removeRecords(const std::vector<TableRow> &expiryRows, std::size_t begin, std::size_t end, Failure &failure);
    void writeOutcomes();
    /** @return false if the outcome has to be written again later */
    bool writeOutcome(PendingOutcome &pending);

    Clock &clock_;
    Metrics &metrics_;
    TableService &table_;
    ObjectStore &objects_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::deque<PendingOutcome> pendingOutcomes_;
    bool isStopping_ = false;
    std::vector<std::thread> writerThreads_;
};

} // namespace auburndoor
