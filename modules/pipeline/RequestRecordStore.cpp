#include "pipeline/RequestRecordStore.h"

#include "core/Failure.h"
#include "core/RandomId.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "storage/ObjectStore.h"
#include "storage/TableService.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr std::size_t maximumInlineAnswerBytes = 16'384;
/** Beyond this limit the oldest outcome is dropped; the worker keeps it for 10 minutes, where a later attempt can read it. */
constexpr std::size_t pendingOutcomeLimit = 10'000;
constexpr int writerThreadCount = 4;
constexpr Milliseconds tableTimeout { 2000 };
/** A record is kept for at least this long after its claim. */
constexpr long long retentionHours = 24;
/** How much further back each removal looks for records that were not removed in time. */
constexpr long long removalSearchHours = 24;
/** Records that one transaction removes; each has two rows. */
constexpr std::size_t recordsPerTransaction = 50;
constexpr Milliseconds writeRetryPeriod { 1000 };

/** The key prefix of the rows that list the records claimed in an hour since 1970, since a record's own key has no time. */
std::string expiryPrefix(long long hour)
{
    return "request-expiry/" + std::to_string(hour) + "/";
}

} // namespace

RequestRecordStore::RequestRecordStore(Clock &clock, Metrics &metrics, TableService &table, ObjectStore &objects)
    : clock_(clock), metrics_(metrics), table_(table), objects_(objects)
{
    for (int index = 0; index < writerThreadCount; ++index) {
        writerThreads_.emplace_back([this] { writeOutcomes(); });
    }
}

RequestRecordStore::~RequestRecordStore()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_all();
    for (auto &thread : writerThreads_) {
        thread.join();
    }
}

ClaimResult RequestRecordStore::claim(const std::string &rowKey,
                                      long long expectedVersion,
                                      const RequestRecord &record,
                                      TimePoint deadline,
                                      Failure &failure)
{
    const auto hour = std::chrono::duration_cast<std::chrono::hours>(clock_.wallNow().time_since_epoch()).count();
    const Transaction transaction { makeRandomId(),
                                    { { rowKey, expectedVersion } },
                                    { { rowKey, record.toText() }, { expiryPrefix(hour) + rowKey, std::string() } },
                                    WritePurpose::RequestRecord };
    const auto result = table_.commit(transaction, deadline, failure);
    if (result.status == CommitStatus::Committed && !result.versions.empty()) {
        return { ClaimStatus::Claimed, result.versions.front(), {} };
    }
    if (result.status != CommitStatus::Conflict || result.conflicts.empty()) {
        failure.step = FailureStep::Record;
        return {};
    }
    const auto &row = result.conflicts.front();
    const auto existingRecord = RequestRecord::fromText(row.value);
    if (!existingRecord) {
        failure = {
            FailureStep::Record, "table", FailureReason::BadReply, "the row " + rowKey + " does not hold a valid request record"
        };
        return {};
    }
    return { ClaimStatus::Taken, row.version, *existingRecord };
}

std::optional<long long> RequestRecordStore::removeExpired(Failure &failure)
{
    const auto now = std::chrono::duration_cast<std::chrono::hours>(clock_.wallNow().time_since_epoch()).count();
    const auto newestHour = now - retentionHours - 1;
    long long removed = 0;
    for (auto hour = newestHour - removalSearchHours; hour <= newestHour; ++hour) {
        const auto count = removeRecordsOfHour(hour, failure);
        if (!count) {
            return std::nullopt;
        }
        removed += *count;
    }
    return removed;
}

std::optional<long long> RequestRecordStore::removeRecordsOfHour(long long hour, Failure &failure)
{
    const auto rows = table_.readPrefix(expiryPrefix(hour), clock_.now() + tableTimeout, failure);
    if (!rows) {
        return std::nullopt;
    }
    for (std::size_t begin = 0; begin < rows->size(); begin += recordsPerTransaction) {
        if (!removeRecords(*rows, begin, std::min(rows->size(), begin + recordsPerTransaction), failure)) {
            return std::nullopt;
        }
    }
    return static_cast<long long>(rows->size());
}

bool RequestRecordStore::removeRecords(const std::vector<TableRow> &expiryRows,
                                       std::size_t begin,
                                       std::size_t end,
                                       Failure &failure)
{
    Transaction transaction { makeRandomId(), {}, {}, WritePurpose::Logbook };
    for (auto index = begin; index < end; ++index) {
        const auto &expiryKey = expiryRows[index].key;
        const auto rowKey = expiryKey.substr(expiryKey.find('/', expiryKey.find('/') + 1) + 1);
        transaction.writes.push_back({ rowKey, std::nullopt });
        transaction.writes.push_back({ expiryKey, std::nullopt });
    }
    return table_.commit(transaction, clock_.now() + tableTimeout, failure).status == CommitStatus::Committed;
}

void RequestRecordStore::storeOutcome(const ClaimedRecord &claimed, const RequestRecord &record)
{
    {
        const std::lock_guard lock(mutex_);
        if (pendingOutcomes_.size() >= pendingOutcomeLimit) {
            pendingOutcomes_.pop_front();
            metrics_.count("record_outcomes_dropped_total");
        }
        pendingOutcomes_.push_back({ claimed, record, clock_.now() });
    }
    condition_.notify_one();
}

std::optional<std::string> RequestRecordStore::loadAnswer(const RequestRecord &record, TimePoint deadline, Failure &failure)
{
    if (record.answerObject.empty()) {
        return record.answer;
    }
    return objects_.get(record.answerObject, deadline, failure);
}

void RequestRecordStore::writeOutcomes()
{
    std::unique_lock lock(mutex_);
    while (true) {
        const auto isWriteDue = [this] {
            return isStopping_ || (!pendingOutcomes_.empty() && pendingOutcomes_.front().nextWriteTime <= clock_.now());
        };
        clock_.waitUntil(lock, condition_, clock_.now() + writeRetryPeriod, isWriteDue);
        if (pendingOutcomes_.empty() && isStopping_) {
            return;
        }
        if (pendingOutcomes_.empty() || (!isStopping_ && pendingOutcomes_.front().nextWriteTime > clock_.now())) {
            continue;
        }
        auto pending = std::move(pendingOutcomes_.front());
        pendingOutcomes_.pop_front();
        const auto isLastAttempt = isStopping_;
        lock.unlock();
        const auto isWritten = writeOutcome(pending);
        lock.lock();
        if (!isWritten && !isLastAttempt) {
            pending.nextWriteTime = clock_.now() + writeRetryPeriod;
            pendingOutcomes_.push_back(std::move(pending));
        }
    }
}

bool RequestRecordStore::writeOutcome(PendingOutcome &pending)
{
    Failure failure;
    const auto deadline = clock_.now() + tableTimeout;
    auto &record = pending.record;
    if (record.answer.size() > maximumInlineAnswerBytes) {
        const auto name = "answer/" + record.task.text();
        if (!objects_.put(name, record.answer, deadline, failure)) {
            metrics_.countRetry(failure);
            return false;
        }
        record.answer.clear();
        record.answerObject = name;
    }
    const auto &claimed = pending.claimed;
    const Transaction transaction {
        makeRandomId(), { { claimed.key, claimed.version } }, { { claimed.key, record.toText() } }, WritePurpose::RequestRecord
    };
    const auto result = table_.commit(transaction, deadline, failure);
    if (result.status == CommitStatus::Committed) {
        return true;
    }
    if (result.status == CommitStatus::Conflict) {
        // An attempt at another instance has read the same outcome from the worker and stored it.
        metrics_.count("record_outcomes_superseded_total");
        return true;
    }
    metrics_.countRetry(failure);
    return false;
}

} // namespace auburndoor
