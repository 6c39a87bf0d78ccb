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

constexpr std::size_t largestInlineAnswer = 16'384;
/** Outcomes past it are dropped, oldest first: the worker keeps them for 10 minutes, and a later attempt reads them back from
 * there. */
constexpr std::size_t pendingLimit = 10'000;
constexpr int writerCount = 4;
constexpr Milliseconds writeTimeout { 2000 };
/** A record is kept for at least 24 h after its claim, and found for a day longer if nobody removed it in time. */
constexpr long long keptHours = 24;
constexpr long long searchedHours = 24;
/** Records removed in one transaction; each has two rows. */
constexpr std::size_t recordsPerTransaction = 50;
constexpr Milliseconds writeRetryPeriod { 1000 };

/** The rows that name the records claimed in one hour since 1970: a record's own key does not tell its age. */
std::string expiryPrefix(long long hour)
{
    return "request-expiry/" + std::to_string(hour) + "/";
}

} // namespace

RequestRecordStore::RequestRecordStore(Clock &clock, Metrics &metrics, TableService &table, ObjectStore &objects)
    : clock_(clock), metrics_(metrics), table_(table), objects_(objects)
{
    for (int index = 0; index < writerCount; ++index) {
        threads_.emplace_back([this] { writeOutcomes(); });
    }
}

RequestRecordStore::~RequestRecordStore()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_all();
    for (auto &thread : threads_) {
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
    const auto present = RequestRecord::fromText(row.value);
    if (!present) {
        failure = { FailureStep::Record, "table", FailureReason::BadReply, "the row " + rowKey + " holds no request record" };
        return {};
    }
    return { ClaimStatus::Taken, row.version, *present };
}

std::optional<long long> RequestRecordStore::removeExpired(Failure &failure)
{
    const auto now = std::chrono::duration_cast<std::chrono::hours>(clock_.wallNow().time_since_epoch()).count();
    const auto newest = now - keptHours - 1;
    long long removed = 0;
    for (auto hour = newest - searchedHours; hour <= newest; ++hour) {
        const auto count = removeHour(hour, failure);
        if (!count) {
            return std::nullopt;
        }
        removed += *count;
    }
    return removed;
}

std::optional<long long> RequestRecordStore::removeHour(long long hour, Failure &failure)
{
    const auto rows = table_.readPrefix(expiryPrefix(hour), clock_.now() + writeTimeout, failure);
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
    return table_.commit(transaction, clock_.now() + writeTimeout, failure).status == CommitStatus::Committed;
}

void RequestRecordStore::finish(const ClaimedRecord &claimed, const RequestRecord &record)
{
    {
        const std::lock_guard lock(mutex_);
        if (pending_.size() >= pendingLimit) {
            pending_.pop_front();
            metrics_.count("record_outcomes_dropped_total");
        }
        pending_.push_back({ claimed, record, clock_.now() });
    }
    condition_.notify_one();
}

std::optional<std::string> RequestRecordStore::answerOf(const RequestRecord &record, TimePoint deadline, Failure &failure)
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
        const auto isDue = [this] { return isStopping_ || (!pending_.empty() && pending_.front().due <= clock_.now()); };
        clock_.waitUntil(lock, condition_, clock_.now() + writeRetryPeriod, isDue);
        if (pending_.empty() && isStopping_) {
            return;
        }
        if (pending_.empty() || (!isStopping_ && pending_.front().due > clock_.now())) {
            continue;
        }
        auto pending = std::move(pending_.front());
        pending_.pop_front();
        const auto isLastTry = isStopping_;
        lock.unlock();
        const auto isWritten = write(pending);
        lock.lock();
        if (!isWritten && !isLastTry) {
            pending.due = clock_.now() + writeRetryPeriod;
            pending_.push_back(std::move(pending));
        }
    }
}

bool RequestRecordStore::write(PendingOutcome &pending)
{
    Failure failure;
    const auto deadline = clock_.now() + writeTimeout;
    auto &record = pending.record;
    if (record.answer.size() > largestInlineAnswer) {
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
        // An attempt through another instance has read the same fate from the worker and written it.
        metrics_.count("record_outcomes_superseded_total");
        return true;
    }
    metrics_.countRetry(failure);
    return false;
}

} // namespace auburndoor
