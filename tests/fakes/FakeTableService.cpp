#include "fakes/FakeTableService.h"

#include "core/Failure.h"

namespace auburndoor {

std::optional<TableRow> FakeTableService::read(const std::string &key, TimePoint, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    if (isDown_) {
        failure = { FailureStep::ReadTable, "table", FailureReason::ServiceDown, "the table is down" };
        return std::nullopt;
    }
    const auto found = rows_.find(key);
    return found == rows_.end() ? TableRow { key, {}, 0 } : found->second;
}

std::optional<std::vector<TableRow>> FakeTableService::readPrefix(const std::string &prefix, TimePoint, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    if (isDown_) {
        failure = { FailureStep::ReadTable, "table", FailureReason::ServiceDown, "the table is down" };
        return std::nullopt;
    }
    std::vector<TableRow> result;
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix); ++row) {
        result.push_back(row->second);
    }
    return result;
}

CommitResult FakeTableService::commit(const Transaction &transaction, TimePoint, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    if (isDown_) {
        failure = { FailureStep::WriteTable, "table", FailureReason::ServiceDown, "the table is down" };
        return { CommitStatus::NotWritten, {}, {} };
    }
    const auto known = outcomes_.find(transaction.id);
    auto result = known != outcomes_.end() ? known->second : apply(transaction);
    outcomes_[transaction.id] = result;
    if (answersToLose_ > 0) {
        --answersToLose_;
        failure = { FailureStep::WriteTable, "table", FailureReason::TimedOut, "the answer was lost" };
        return { CommitStatus::Unknown, {}, {} };
    }
    if (result.status == CommitStatus::Conflict) {
        failure = { FailureStep::WriteTable, "table", FailureReason::Conflict, "a row has changed" };
    }
    return result;
}

CommitResult FakeTableService::apply(const Transaction &transaction)
{
    CommitResult result;
    for (const auto &check : transaction.checks) {
        const auto found = rows_.find(check.key);
        const auto present = found == rows_.end() ? TableRow { check.key, {}, 0 } : found->second;
        if (present.version != check.version) {
            result.conflicts.push_back(present);
        }
    }
    if (!result.conflicts.empty()) {
        result.status = CommitStatus::Conflict;
        return result;
    }
    for (const auto &write : transaction.writes) {
        if (write.value) {
            rows_[write.key] = { write.key, *write.value, ++lastVersion_ };
            result.versions.push_back(lastVersion_);
        } else {
            rows_.erase(write.key);
            result.versions.push_back(0);
        }
    }
    ++commitCount_;
    result.status = CommitStatus::Committed;
    return result;
}

void FakeTableService::setDown(bool isDown)
{
    const std::lock_guard lock(mutex_);
    isDown_ = isDown;
}

void FakeTableService::loseAnswers(int count)
{
    const std::lock_guard lock(mutex_);
    answersToLose_ = count;
}

int FakeTableService::commitCount() const
{
    const std::lock_guard lock(mutex_);
    return commitCount_;
}

} // namespace auburndoor
