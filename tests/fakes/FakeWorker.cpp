#include "fakes/FakeWorker.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds memoryTime = std::chrono::minutes(10);

Milliseconds toMilliseconds(WallTime::duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

} // namespace

FakeWorker::FakeWorker(WorkerId id, const Resources &capacity, Clock &clock)
    : id_(std::move(id)), capacity_(capacity), clock_(clock)
{
}

FakeWorker::~FakeWorker() = default;

std::optional<WorkerReport> FakeWorker::claim(Epoch epoch, const InstanceId &, TimePoint, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    if (isUnreachable(FailureStep::ClaimWorker, failure) || !checkEpoch(epoch, FailureStep::ClaimWorker, failure)) {
        return std::nullopt;
    }
    settle();
    seenMark_ = endMark_;
    const auto result = report(endMark_);
    return isCut(FailureStep::ClaimWorker, failure) ? std::nullopt : std::optional(result);
}

CallResult FakeWorker::call(const TaskStart &start, TimePoint deadline, Failure &failure)
{
    if (!accept(start, failure)) {
        return { CallStatus::NotRun, {} };
    }
    std::unique_lock lock(mutex_);
    const auto isOver = [&] {
        settle();
        return tasks_.at(start.id).state != TaskState::Running;
    };
    while (!isOver() && clock_.now() < deadline) {
        const auto &task = tasks_.at(start.id);
        const auto due = std::min(task.endsAt, task.leaseUntil) - clock_.wallNow();
        const auto wake = std::min<TimePoint>(deadline, clock_.now() + toMilliseconds(due) + Milliseconds(1));
        clock_.waitUntil(lock, changed_, wake, isOver);
    }
    const auto &task = tasks_.at(start.id);
    if (task.state == TaskState::Running) {
        failure = { FailureStep::Collect, id_.text(), FailureReason::TimedOut, "the task has not ended before the deadline" };
        return { CallStatus::Unknown, {} };
    }
    if (isCut(FailureStep::Collect, failure)) {
        return { CallStatus::Unknown, {} };
    }
    if (task.state == TaskState::Stopped) {
        failure = { FailureStep::Collect, id_.text(), FailureReason::Cancelled, "the task was stopped" };
    }
    return { task.state == TaskState::Done ? CallStatus::Answered : CallStatus::TaskFailed, task.answer };
}

CallResult FakeWorker::start(const TaskStart &start, TimePoint, Failure &failure)
{
    if (!accept(start, failure)) {
        return { CallStatus::NotRun, {} };
    }
    const std::lock_guard lock(mutex_);
    return { isCut(FailureStep::Start, failure) ? CallStatus::Unknown : CallStatus::Answered, {} };
}

std::optional<TaskStatus> FakeWorker::query(const TaskId &task, TimePoint, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    if (isUnreachable(FailureStep::Collect, failure) || isCut(FailureStep::Collect, failure)) {
        return std::nullopt;
    }
    settle();
    return describe(task);
}

std::optional<TaskStatus> FakeWorker::cancel(const TaskId &task, Epoch epoch, TimePoint, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    if (isUnreachable(FailureStep::Cancel, failure) || !checkEpoch(epoch, FailureStep::Cancel, failure)) {
        return std::nullopt;
    }
    settle();
    const auto found = tasks_.find(task);
    if (found == tasks_.end() && faults_.forgetCancelled) {
        return TaskStatus { task, TaskState::NeverStarted, {}, {}, {}, {} };
    }
    if (found == tasks_.end()) {
        auto &tombstone = tasks_[task];
        tombstone.start.id = task;
        tombstone.state = TaskState::NeverStarted;
        remembered_.emplace_back(clock_.wallNow(), task);
    } else if (found->second.state == TaskState::Running) {
        end(found->second, TaskState::Stopped, clock_.wallNow(), "cancelled");
    }
    return isCut(FailureStep::Cancel, failure) ? std::nullopt : std::optional(describe(task));
}

std::optional<TaskStatus> FakeWorker::checkpoint(const TaskId &task, Epoch epoch, TimePoint, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    if (isUnreachable(FailureStep::Cancel, failure) || !checkEpoch(epoch, FailureStep::Cancel, failure)) {
        return std::nullopt;
    }
    settle();
    const auto found = tasks_.find(task);
    if (found != tasks_.end() && found->second.state == TaskState::Running) {
        end(found->second, TaskState::Stopped, clock_.wallNow(), found->second.checkpoint(clock_.wallNow()));
    }
    return isCut(FailureStep::Cancel, failure) ? std::nullopt : std::optional(describe(task));
}

bool FakeWorker::throttle(const TaskId &task, Epoch epoch, int percent, TimePoint, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    if (isUnreachable(FailureStep::Cancel, failure) || !checkEpoch(epoch, FailureStep::Cancel, failure)) {
        return false;
    }
    settle();
    const auto found = tasks_.find(task);
    if (found == tasks_.end() || found->second.state != TaskState::Running || percent < 1 || percent > FakeTask::fullSpeed) {
        failure = {
            FailureStep::Cancel, id_.text(), FailureReason::UnknownName, "no such running task, or no percentage: " + task.text()
        };
        return false;
    }
    auto &running = found->second;
    if (running.endsAt != WallTime::max()) {
        running.endsAt = clock_.wallNow() + (running.endsAt - clock_.wallNow()) * running.percent / percent;
    }
    running.percent = percent;
    changed_.notify_all();
    return !isCut(FailureStep::Cancel, failure);
}

std::optional<WorkerReport> FakeWorker::renew(Epoch epoch, Milliseconds lease, TimePoint, Failure &failure)
{
    long long mark = 0;
    {
        const std::lock_guard lock(mutex_);
        mark = seenMark_;
    }
    auto result = renewAfter(epoch, lease, mark, failure);
    const std::lock_guard lock(mutex_);
    if (!result || isCut(FailureStep::RenewLease, failure)) {
        return std::nullopt;
    }
    seenMark_ = mark;
    return result;
}

std::optional<WorkerReport> FakeWorker::renewAfter(Epoch epoch, Milliseconds lease, long long &mark, Failure &failure)
{
    const std::lock_guard lock(mutex_);
    if (isUnreachable(FailureStep::RenewLease, failure) || !checkEpoch(epoch, FailureStep::RenewLease, failure)) {
        return std::nullopt;
    }
    settle();
    for (auto *task : running_) {
        task->leaseUntil = clock_.wallNow() + lease;
    }
    auto result = report(mark);
    mark = endMark_;
    return result;
}

void FakeWorker::setFaults(const WorkerFaults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

void FakeWorker::setLeaving(bool isLeaving)
{
    const std::lock_guard lock(mutex_);
    isLeaving_ = isLeaving;
}

void FakeWorker::setReachable(bool isReachable)
{
    const std::lock_guard lock(mutex_);
    isReachable_ = isReachable;
}

std::vector<WorkerEvent> FakeWorker::history()
{
    const std::lock_guard lock(mutex_);
    settle();
    return history_;
}

Resources FakeWorker::highestUse()
{
    const std::lock_guard lock(mutex_);
    return highest_;
}

Resources FakeWorker::use()
{
    const std::lock_guard lock(mutex_);
    settle();
    return used_;
}

int FakeWorker::startCount(const TaskId &task)
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(history_.begin(), history_.end(), [&](const WorkerEvent &event) {
        return event.kind == WorkerEvent::Kind::Start && event.task == task;
    }));
}

const WorkerId &FakeWorker::id() const
{
    return id_;
}

const Resources &FakeWorker::capacity() const
{
    return capacity_;
}

void FakeWorker::settle()
{
    const auto now = clock_.wallNow();
    std::vector<std::pair<WallTime, FakeTask *>> due;
    for (auto *task : running_) {
        const auto time = std::min(task->endsAt, task->leaseUntil);
        if (time <= now) {
            due.emplace_back(time, task);
        }
    }
    std::sort(due.begin(), due.end());
    for (const auto &[time, task] : due) {
        if (task->endsAt <= task->leaseUntil) {
            end(*task, task->isFailing ? TaskState::Failed : TaskState::Done, time, task->ownAnswer());
        } else {
            end(*task, TaskState::Stopped, time, "lease lapsed");
        }
    }
    while (!remembered_.empty() && remembered_.front().first + memoryTime < now) {
        tasks_.erase(remembered_.front().second);
        remembered_.pop_front();
    }
}

void FakeWorker::end(FakeTask &task, TaskState state, WallTime time, const std::string &answer)
{
    task.state = state;
    task.answer = answer;
    task.endMark = ++endMark_;
    used_ -= task.start.need;
    running_.erase(&task);
    remembered_.emplace_back(time, task.start.id);
    history_.push_back({ WorkerEvent::Kind::End, time, task.start.id, epoch_, state, FailureReason::None });
    changed_.notify_all();
}

FailureReason FakeWorker::refusalOf(const TaskStart &start) const
{
    if (start.epoch < epoch_ && !faults_.ignoreEpoch) {
        return FailureReason::StaleEpoch;
    }
    const auto known = tasks_.find(start.id);
    if (known != tasks_.end()) {
        return known->second.state == TaskState::NeverStarted ? FailureReason::Cancelled : FailureReason::DuplicateKey;
    }
    if (isLeaving_) {
        return FailureReason::WorkerLeaving;
    }
    if (clock_.wallNow() > start.latestStart) {
        return FailureReason::DeadlinePassed;
    }
    return start.need.isValid() && (used_ + start.need).fitsIn(capacity_) ? FailureReason::None : FailureReason::NoCapacity;
}

bool FakeWorker::accept(const TaskStart &start, Failure &failure)
{
    std::unique_lock lock(mutex_);
    if (isUnreachable(FailureStep::Start, failure)) {
        return false;
    }
    if (faults_.startDelay.count() > 0) {
        // An order that is under way is not called back when its sender stops waiting.
        clock_.waitUntil(lock, changed_, clock_.now() + faults_.startDelay, [] { return false; });
    }
    settle();
    const auto now = clock_.wallNow();
    const auto reason = refusalOf(start);
    if (reason != FailureReason::None) {
        failure = { FailureStep::Start, id_.text(), reason, "the worker refused the start of " + start.id.text() };
        history_.push_back({ WorkerEvent::Kind::Refusal, now, start.id, start.epoch, TaskState::Unknown, reason });
        return false;
    }
    epoch_ = std::max(epoch_, start.epoch);
    auto &task = tasks_[start.id];
    task.start = start;
    task.startedAt = now;
    task.leaseUntil = now + start.lease;
    task.readBody(faults_.failEverything);
    running_.insert(&task);
    used_ += start.need;
    highest_ = { std::max(highest_.milliCores, used_.milliCores),
                 std::max(highest_.memoryMiB, used_.memoryMiB),
                 std::max(highest_.accelerators, used_.accelerators),
                 std::max(highest_.slots, used_.slots),
                 std::max(highest_.connections, used_.connections) };
    history_.push_back({ WorkerEvent::Kind::Start, now, start.id, start.epoch, TaskState::Running, FailureReason::None });
    return true;
}

bool FakeWorker::checkEpoch(Epoch epoch, FailureStep step, Failure &failure)
{
    if (epoch < epoch_ && !faults_.ignoreEpoch) {
        failure = {
            step, id_.text(), FailureReason::StaleEpoch, "epoch " + std::to_string(epoch) + " after " + std::to_string(epoch_)
        };
        return false;
    }
    epoch_ = std::max(epoch_, epoch);
    return true;
}

bool FakeWorker::isCut(FailureStep step, Failure &failure)
{
    if (faults_.cutAnswers <= 0) {
        return false;
    }
    --faults_.cutAnswers;
    failure = { step, id_.text(), FailureReason::ConnectionLost, "the answer was lost" };
    return true;
}

bool FakeWorker::isUnreachable(FailureStep step, Failure &failure) const
{
    if (!isReachable_) {
        failure = { step, id_.text(), FailureReason::ConnectionFailed, "the worker cannot be reached" };
    }
    return !isReachable_;
}

TaskStatus FakeWorker::describe(const TaskId &id) const
{
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) {
        return { id, TaskState::Unknown, {}, {}, {}, {} };
    }
    const auto &task = found->second;
    const bool isMeasured = task.state == TaskState::Running && task.startedAt + faults_.usageLag <= clock_.wallNow();
    return { id, task.state, task.start.need, task.start.team, task.answer, isMeasured ? task.start.need : Resources {} };
}

WorkerReport FakeWorker::report(long long mark) const
{
    WorkerReport result { capacity_, {} };
    for (const auto *task : running_) {
        result.tasks.push_back(describe(task->start.id));
    }
    for (auto ended = remembered_.rbegin(); ended != remembered_.rend(); ++ended) {
        const auto &task = tasks_.at(ended->second);
        if (task.state == TaskState::NeverStarted) {
            continue;
        }
        if (task.endMark <= mark) {
            break;
        }
        result.tasks.push_back(describe(ended->second));
    }
    return result;
}

} // namespace auburndoor
