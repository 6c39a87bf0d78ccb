#include "storage/CommitBatch.h"

#include "core/RandomId.h"

#include <algorithm>

namespace auburndoor {

namespace {

std::size_t countBytes(const Transaction &transaction)
{
    std::size_t count = 0;
    for (const auto &check : transaction.checks) {
        count += check.key.size();
    }
    for (const auto &write : transaction.writes) {
        count += write.key.size() + (write.value ? write.value->size() : 0);
    }
    return count;
}

} // namespace

bool CommitBatch::tryAdd(const Transaction &transaction, std::size_t rowLimit, std::size_t byteLimit)
{
    const auto bytes = countBytes(transaction);
    if (!parts_.empty()
        && (merged_.writes.size() + transaction.writes.size() > rowLimit || byteCount_ + bytes > byteLimit
            || !isMergeable(transaction))) {
        return false;
    }
    if (parts_.empty()) {
        merged_.id = transaction.id;
        merged_.purpose = transaction.purpose;
    } else if (parts_.size() == 1) {
        merged_.id = makeRandomId();
    }
    merged_.purpose = std::min(merged_.purpose, transaction.purpose);
    byteCount_ += bytes;
    parts_.push_back({ nullptr, transaction.id, transaction.checks, merged_.writes.size(), transaction.writes.size() });
    for (const auto &check : transaction.checks) {
        if (checkedVersions_.emplace(check.key, check.version).second) {
            merged_.checks.push_back(check);
        }
    }
    for (const auto &write : transaction.writes) {
        writtenKeys_.insert(write.key);
        merged_.writes.push_back(write);
    }
    return true;
}

bool CommitBatch::isMergeable(const Transaction &transaction) const
{
    for (const auto &check : transaction.checks) {
        const auto checked = checkedVersions_.find(check.key);
        if (writtenKeys_.contains(check.key) || (checked != checkedVersions_.end() && checked->second != check.version)) {
            return false;
        }
    }
    return std::none_of(transaction.writes.begin(), transaction.writes.end(), [this](const RowWrite &write) {
        return writtenKeys_.contains(write.key) || checkedVersions_.contains(write.key);
    });
}

CommitResult CommitBatch::makePartResult(const Part &part, const CommitResult &result)
{
    CommitResult partResult { CommitStatus::Committed, {}, {} };
    for (std::size_t index = part.firstWrite; index < part.firstWrite + part.writeCount; ++index) {
        partResult.versions.push_back(result.versions.at(index));
    }
    return partResult;
}

std::vector<TableRow> CommitBatch::findFailedRows(const Part &part, const CommitResult &result)
{
    std::vector<TableRow> rows;
    for (const auto &row : result.conflicts) {
        const auto isFailed = [&row](const RowCheck &check) { return check.key == row.key && check.version != row.version; };
        if (std::any_of(part.checks.begin(), part.checks.end(), isFailed)) {
            rows.push_back(row);
        }
    }
    return rows;
}

} // namespace auburndoor
