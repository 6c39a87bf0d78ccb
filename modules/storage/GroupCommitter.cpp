#include "storage/GroupCommitter.h"

#include "observability/Metrics.h"
#include "storage/CommitBatch.h"
#include "storage/WriteBudget.h"

#include <algorithm>

namespace auburndoor {

using State = CommitMember::State;

namespace {

/** The table remembers outcomes for 10 min; a transaction that is repeated later would take effect again. */
constexpr std::chrono::minutes openOutcomeLifetime { 9 };

/** Bounds the memory of open outcomes; reached at 37 a second, one instance's share of the writes, for the whole lifetime. */
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
    if (!resume(member)) {
        if (isExpired(member)) {
            settle(member, {}, deadlineFailure("too little time is left for a write"));
        } else {
            enqueue(member, false);
        }
    }
    while (member.state != State::Settled) {
        if (member.state == State::Forming) {
            form(lock, member);
        } else if (member.state == State::Driving) {
            drive(lock, member);
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
    member.isTaken = false;
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
    return member.deadline - clock_.now() <= settleMargin;
}

void GroupCommitter::settle(CommitMember &member, CommitResult result, Failure failure)
{
    member.result = std::move(result);
    member.failure = std::move(failure);
    member.state = State::Settled;
    member.condition.notify_all();
}

void GroupCommitter::waitAsFollower(Lock &lock, CommitMember &member)
{
    const auto state = member.state;
    if (clock_.waitUntil(lock, member.condition, member.deadline, [&] { return member.state != state; })) {
        return;
    }
    if (state == State::InFlight) {
        leaveOpen(member,
                  { FailureStep::WriteTable, "table", FailureReason::OutcomeUnknown, "the deadline passed during an attempt" });
        return;
    }
    removeFromQueue(member);
    settle(member, {}, deadlineFailure("not sent before the deadline"));
}

void GroupCommitter::form(Lock &lock, CommitMember &leader)
{
    const auto lastMoment = leader.deadline - settleMargin;
    const auto isReady = [&] { return leader.state != State::Forming || queuedRows_ >= options_.rowLimit; };
    clock_.waitUntil(lock, leader.condition, std::min(leader.arrival + options_.window, lastMoment), isReady);
    // Another purpose's batch may move the end of the spacing during the wait.
    while (!isReady() && leader.transaction.purpose != WritePurpose::Ownership
           && clock_.now() < std::min(lastFormedAt_ + options_.spacing, lastMoment)) {
        clock_.waitUntil(lock, leader.condition, std::min(lastFormedAt_ + options_.spacing, lastMoment), isReady);
    }
    if (leader.state != State::Forming) {
        return;
    }
    Failure failure;
    lock.unlock();
    const auto hasToken = budget_.acquire(leader.transaction.purpose, lastMoment, leader.isTaken, failure);
    lock.lock();
    if (leader.state != State::Forming) {
        if (hasToken) {
            budget_.giveBack();
        }
    } else if (hasToken) {
        collect(leader);
    } else if (failure.reason != FailureReason::Cancelled) {
        // A leader that a batch took and that came back to the queue meanwhile forms again.
        removeFromQueue(leader);
        settle(leader, {}, std::move(failure));
        promoteLeaders();
    }
}

void GroupCommitter::collect(CommitMember &leader)
{
    const auto batch = std::make_shared<CommitBatch>();
    batch->formedAt = clock_.now();
    lastFormedAt_ = batch->formedAt;
    const auto take = [&](CommitMember &member) {
        if (!batch->tryAdd(member.transaction, options_.rowLimit, options_.byteLimit)) {
            return;
        }
        removeFromQueue(member);
        member.state = State::InFlight;
        member.isTaken = true;
        member.batch = batch;
        member.part = batch->parts().size() - 1;
        batch->parts().back().member = &member;
        member.condition.notify_all();
    };
    take(leader);
    leader.state = State::Driving;
    for (std::size_t index = 0; index < queues_.size() && !leader.isAlone; ++index) {
        const auto waiting = queues_.at(index);
        for (auto *member : waiting) {
            if (!member->isAlone) {
                take(*member);
            }
        }
    }
    budget_.wakeWaiters();
    promoteLeaders();
}

void GroupCommitter::dropOldOutcomes()
{
    const auto oldest = clock_.now() - openOutcomeLifetime;
    while (!openOrder_.empty() && (openOrder_.front().first < oldest || openOrder_.size() > openOutcomeLimit)) {
        const auto found = open_.find(openOrder_.front().second);
        if (found != open_.end() && found->second.batch->formedAt == openOrder_.front().first) {
            open_.erase(found);
        }
        openOrder_.pop_front();
    }
}

void GroupCommitter::leaveOpen(CommitMember &member, const Failure &failure)
{
    member.batch->parts().at(member.part).member = nullptr;
    open_[member.transaction.id] = { member.batch, member.part };
    openOrder_.emplace_back(member.batch->formedAt, member.transaction.id);
    dropOldOutcomes();
    settle(member, { CommitStatus::Unknown, {}, {} }, failure);
}

bool GroupCommitter::resume(CommitMember &member)
{
    dropOldOutcomes();
    const auto found = open_.find(member.transaction.id);
    if (found == open_.end() || found->second.batch->formedAt < clock_.now() - openOutcomeLifetime) {
        return false;
    }
    const auto batch = found->second.batch;
    const auto part = found->second.part;
    open_.erase(found);
    auto &own = batch->parts().at(part);
    if (!batch->outcome) {
        member.batch = batch;
        member.part = part;
        own.member = &member;
        member.state = batch->isDriven ? State::InFlight : State::Driving;
        batch->isDriven = true;
        return true;
    }
    if (batch->outcome->status == CommitStatus::Committed) {
        settle(member, CommitBatch::committedPart(own, *batch->outcome), {});
        return true;
    }
    auto rows = batch->outcome->status == CommitStatus::Conflict ? CommitBatch::failedRows(own, *batch->outcome)
                                                                 : std::vector<TableRow>();
    if (rows.empty()) {
        // Nothing was written, and not because of this member.
        return false;
    }
    settle(member,
           { CommitStatus::Conflict, {}, std::move(rows) },
           { FailureStep::WriteTable, "table", FailureReason::Conflict, "a row has changed" });
    return true;
}

} // namespace auburndoor
