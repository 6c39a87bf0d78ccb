#pragma once

#include "storage/TableService.h"

#include <atomic>
#include <map>
#include <mutex>

namespace auburndoor {

/** A table in memory with the outage and the lost answer that the platform's has. Any thread. */
class FakeTableService : public TableService
{
public:
    std::optional<TableRow> read(const std::string &key, TimePoint deadline, Failure &failure) override;
    std::optional<std::vector<TableRow>> readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure) override;
    CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) override;

    /** While down, reads fail and writes are not written. */
    void setDown(bool isDown);

    /** The next commits take effect, but are reported as unknown. A commit repeated with its id then returns its outcome. */
    void loseAnswers(int count);

    /** The number of transactions that wrote something. */
    int commitCount() const;

private:
    CommitResult apply(const Transaction &transaction);

    mutable std::mutex mutex_;
    std::map<std::string, TableRow> rows_;
    std::map<std::string, CommitResult> outcomes_;
    long long lastVersion_ = 0;
    bool isDown_ = false;
    int answersToLose_ = 0;
    int commitCount_ = 0;
};

} // namespace auburndoor
