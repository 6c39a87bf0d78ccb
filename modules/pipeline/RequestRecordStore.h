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
    /** This attempt holds the record and may start its task. */
    Claimed,
    /** Another attempt holds or has finished it. */
    Taken,
    /** The record could not be written in time; nothing may be started. */
    Failed,
};

struct ClaimResult
{
    ClaimStatus status = ClaimStatus::Failed;
    /** Claimed: the version of the row. Taken: the version of the other's row. */
    long long version = 0;
    /** Taken: the other's record. */
    RequestRecord present;
};

/** The records of non-repeatable requests in the platform's table. Any thread. */
class RequestRecordStore
{
public:
    RequestRecordStore(Clock &clock, Metrics &metrics, TableService &table, ObjectStore &objects);

    /** Writes the outcomes that are still waiting, and stops. */
    ~RequestRecordStore();

    /** Writes a claim if the row has the expected version (0: absent). */
    ClaimResult claim(const std::string &rowKey,
                      long long expectedVersion,
                      const RequestRecord &record,
                      TimePoint deadline,
                      Failure &failure);

    /**
        Removes the records that were claimed more than 24 h ago, as far as one call gets.

        @return the number of removed records; empty on failure
    */
    std::optional<long long> removeExpired(Failure &failure);

    /** Writes the outcome of a claimed request in the background; tries again while the table is down. */
    void finish(const ClaimedRecord &claimed, const RequestRecord &record);

    /** The whole answer of a finished record, from the row or the object store. */
    std::optional<std::string> answerOf(const RequestRecord &record, TimePoint deadline, Failure &failure);

private:
    struct PendingOutcome
    {
        ClaimedRecord claimed;
        RequestRecord record;
        TimePoint due;
    };

    std::optional<long long> removeHour(long long hour, Failure &failure);
    bool removeRecords(const std::vector<TableRow> &expiryRows, std::size_t begin, std::size_t end, Failure &failure);
    void writeOutcomes();
    bool write(PendingOutcome &pending);

    Clock &clock_;
    Metrics &metrics_;
    TableService &table_;
    ObjectStore &objects_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::deque<PendingOutcome> pending_;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace auburndoor
