#include "storage/GroupCommitter.h"

#include "observability/Metrics.h"
#include "storage/CommitBatch.h"
#include "storage/WriteBudget.h"

#include <algorithm>

namespace auburndoor {

using State = CommitMember::State;

namespace {

/** Shorter than the 10 min for which the table remembers outcomes; a transaction repeated after that would take effect again. */
constexpr std::chrono::minutes openOutcomeLifetime { 9 };

/**
    Limits the memory of open outcomes. Reached if 37 a second, one instance's share of the writes, stay open for the whole
    lifetime.
*/
constexpr std::size_t openOutcomeLimit = 20'000;

Failure deadlineFailure(const std::string &message)
{
    return { FailureStep::WriteTable, "table", FailureReason::DeadlinePassed, message };
}

} // namespace

GroupCommitter::GroupCommitter(TableService &table, WriteBudget &budget, Clock &clock, Metrics &metrics, GroupCommitOptions options)
    : table_(table), budget_(budget), clock_(clock), metrics_(metrics), options_(options)
{
}

GroupCommitter::~GroupCommitter() = default;

std::optional<TableRow> GroupCommitter::read(const std::string &key, TimePoint deadline, Failure &failure)
{
    return table_.read(key, deadline, failure);
}

std::optional<std::vector<TableRow>> GroupCommitter::readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure)
{
    return table_.readPrefix(prefix, deadline, failure);
}

CommitResult GroupCommitter::commit(const Transaction &transaction, TimePoint deadline, Failure &failure)
{
    CommitMember member(transaction, deadline, clock_.now());
    Lock lock(mutex_);
    if (!resumeOpenOutcome(member)) {
        if (isExpired(member)) {
            complete(member, {}, deadlineFailure("too little time is left before the deadline for a write"));
        } else {
            enqueue(member, false);
        }
    }
    while (member.state != State::Completed) {
        if (member.state == State::Forming) {
            formBatch(lock, member);
        } else if (member.state == State::Sending) {
            sendBatch(lock, member);
        } else {
            waitAsFollower(lock, member);
        }
    }
    if (member.result.status != CommitStatus::Committed) {
        failure = member.failure;
    }
    return std::move(member.result);
}

void GroupCommitter::enqueue(CommitMember &member, bool isAtFront)
{
    auto &queue = queues_.at(static_cast<std::size_t>(member.transaction.purpose));
    member.state = State::Queued;
    member.isInBatch = false;
    member.batch.reset();
    queue.insert(isAtFront ? queue.begin() : queue.end(), &member);
    queuedRows_ += member.transaction.writes.size();
    promoteLeaders();
    if (queuedRows_ >= options_.rowLimit) {
        for (auto *leader : leaders_) {
            if (leader != nullptr) {
                leader->condition.notify_all();
            }
        }
    }
}

void GroupCommitter::removeFromQueue(CommitMember &member)
{
    const auto index = static_cast<std::size_t>(member.transaction.purpose);
    std::erase(queues_.at(index), &member);
    queuedRows_ -= member.transaction.writes.size();
    if (leaders_.at(index) == &member) {
        leaders_.at(index) = nullptr;
    }
}

void GroupCommitter::promoteLeaders()
{
    for (std::size_t index = 0; index < queues_.size(); ++index) {
        if (leaders_.at(index) == nullptr && !queues_.at(index).empty()) {
            auto *leader = queues_.at(index).front();
            leaders_.at(index) = leader;
            leader->state = State::Forming;
            leader->condition.notify_all();
        }
    }
}

bool GroupCommitter::isExpired(const CommitMember &member) const
{
    return member.deadline - clock_.now() <= completionMargin;
}

void GroupCommitter::complete(CommitMember &member, CommitResult result, Failure failure)
{
    member.result = std::move(result);
    member.failure = std::move(failure);
    member.state = State::Completed;
    member.condition.notify_all();
}

void GroupCommitter::waitAsFollower(Lock &lock, CommitMember &member)
{
    const auto state = member.state;
    if (clock_.waitUntil(lock, member.condition, member.deadline, [&] { return member.state != state; })) {
        return;
    }
    if (state == State::InFlight) {
        leaveOutcomeOpen(
            member,
            { FailureStep::WriteTable, "table", FailureReason::OutcomeUnknown, "the deadline passed while a write was under way" });
        return;
    }
    removeFromQueue(member);
    complete(member, {}, deadlineFailure("the write was not sent before the deadline"));
}

void GroupCommitter::formBatch(Lock &lock, CommitMember &leader)
{
    const auto latestWaitEnd = leader.deadline - completionMargin;
    const auto isReady = [&] { return leader.state != State::Forming || queuedRows_ >= options_.rowLimit; };
    clock_.waitUntil(lock, leader.condition, std::min(leader.arrival + options_.mergeWindow, latestWaitEnd), isReady);
    // A batch of another purpose that is formed during the wait extends it.
    while (!isReady() && leader.transaction.purpose != WritePurpose::Ownership
           && clock_.now() < std::min(lastFormedAt_ + options_.batchSpacing, latestWaitEnd)) {
        clock_.waitUntil(lock, leader.condition, std::min(lastFormedAt_ + options_.batchSpacing, latestWaitEnd), isReady);
    }
    if (leader.state != State::Forming) {
        return;
    }
    Failure failure;
    lock.unlock();
    const auto hasToken = budget_.acquire(leader.transaction.purpose, latestWaitEnd, leader.isInBatch, failure);
    lock.lock();
    if (leader.state != State::Forming) {
        if (hasToken) {
            budget_.returnToken();
        }
    } else if (hasToken) {
        collectMembers(leader);
    } else if (failure.reason != FailureReason::Cancelled) {
        // After a cancelled wait, the member was in another batch meanwhile and is leader again: commit() calls formBatch() again.
        removeFromQueue(leader);
        complete(leader, {}, std::move(failure));
        promoteLeaders();
    }
}

void GroupCommitter::collectMembers(CommitMember &leader)
{
    const auto batch = std::make_shared<CommitBatch>();
    batch->formedAt = clock_.now();
    lastFormedAt_ = batch->formedAt;
    const auto addToBatch = [&](CommitMember &member) {
        if (!batch->tryAdd(member.transaction, options_.rowLimit, options_.byteLimit)) {
            return;
        }
        removeFromQueue(member);
        member.state = State::InFlight;
        member.isInBatch = true;
        member.batch = batch;
        member.part = batch->parts().size() - 1;
        batch->parts().back().member = &member;
        member.condition.notify_all();
    };
    addToBatch(leader);
    leader.state = State::Sending;
    for (std::size_t index = 0; index < queues_.size() && !leader.mustCommitAlone; ++index) {
        const auto waiting = queues_.at(index);
        for (auto *member : waiting) {
            if (!member->mustCommitAlone) {
                addToBatch(*member);
            }
        }
    }
    budget_.wakeWaiters();
    promoteLeaders();
}

void GroupCommitter::removeExpiredOutcomes()
{
    const auto oldestFormedAt = clock_.now() - openOutcomeLifetime;
    while (!openOutcomeOrder_.empty()
           && (openOutcomeOrder_.front().first < oldestFormedAt || openOutcomeOrder_.size() > openOutcomeLimit)) {
        const auto found = openOutcomes_.find(openOutcomeOrder_.front().second);
        if (found != openOutcomes_.end() && found->second.batch->formedAt == openOutcomeOrder_.front().first) {
            openOutcomes_.erase(found);
        }
        openOutcomeOrder_.pop_front();
    }
}

void GroupCommitter::leaveOutcomeOpen(CommitMember &member, const Failure &failure)
{
    member.batch->parts().at(member.part).member = nullptr;
    openOutcomes_[member.transaction.id] = { member.batch, member.part };
    openOutcomeOrder_.emplace_back(member.batch->formedAt, member.transaction.id);
    removeExpiredOutcomes();
    complete(member, { CommitStatus::Unknown, {}, {} }, failure);
}

bool GroupCommitter::resumeOpenOutcome(CommitMember &member)
{
    removeExpiredOutcomes();
    const auto found = openOutcomes_.find(member.transaction.id);
    if (found == openOutcomes_.end() || found->second.batch->formedAt < clock_.now() - openOutcomeLifetime) {
        return false;
    }
    const auto batch = found->second.batch;
    const auto part = found->second.part;
    openOutcomes_.erase(found);
    auto &resumedPart = batch->parts().at(part);
    if (!batch->outcome) {
        member.batch = batch;
        member.part = part;
        resumedPart.member = &member;
        member.state = batch->hasSender ? State::InFlight : State::Sending;
        batch->hasSender = true;
        return true;
    }
    if (batch->outcome->status == CommitStatus::Committed) {
        complete(member, CommitBatch::makePartResult(resumedPart, *batch->outcome), {});
        return true;
    }
    auto rows = batch->outcome->status == CommitStatus::Conflict ? CommitBatch::findFailedRows(resumedPart, *batch->outcome)
                                                                 : std::vector<TableRow>();
    if (rows.empty()) {
        // Nothing was written, and no check of this member failed: it is committed anew.
        return false;
    }
    complete(member,
             { CommitStatus::Conflict, {}, std::move(rows) },
             { FailureStep::WriteTable, "table", FailureReason::Conflict, "a row has changed" });
    return true;
}

} // namespace auburndoor
