#include "jobs/Cell.h"

#include <catch2/catch.hpp>

namespace auburndoor {

namespace {

constexpr Milliseconds timeStep { 50 };
constexpr Milliseconds renewalPeriod { 10'000 };

} // namespace

CommitResult HookedTable::commit(const Transaction &transaction, TimePoint deadline, Failure &failure)
{
    if (beforeEachCommit) {
        beforeEachCommit();
    }
    if (const auto hook = std::exchange(beforeNextCommit, nullptr)) {
        hook();
    }
    auto result = FakeTableService::commit(transaction, deadline, failure);
    if (const auto hook = std::exchange(afterNextCommit, nullptr)) {
        hook();
    }
    return result;
}

FakeOwner::FakeOwner(InstanceId id, Clock &clock) : id_(std::move(id)), clock_(clock)
{
}

Resources FakeOwner::calculateFree(const FakeWorker &worker, Resources used)
{
    for (const auto &[key, held] : holds_) {
        if (held.worker == worker.id()) {
            used += held.need;
        }
    }
    return worker.capacity() - used;
}

std::vector<Hold> FakeOwner::hold(const HoldRequest &request)
{
    heldCount();
    std::vector<Hold> result;
    for (const auto &[id, worker] : workers) {
        while (static_cast<int>(result.size()) < request.count && request.need.fitsIn(calculateFree(*worker, worker->use()))) {
            const auto key = id_.text() + "-" + std::to_string(++holdCount_);
            holds_[key] = { id, request.need, clock_.now() + request.timeLimit };
            result.push_back({ id, key });
        }
    }
    return result;
}

void FakeOwner::release(const std::vector<Hold> &released)
{
    for (const auto &hold : released) {
        holds_.erase(hold.holdId);
    }
}

CallResult FakeOwner::startHeld(const Hold &hold, const TaskStart &start, Failure &failure)
{
    if (const auto hook = std::exchange(beforeNextStart, nullptr)) {
        hook();
    }
    heldCount();
    if (holds_.erase(hold.holdId) == 0) {
        failure = { FailureStep::Start, id_.text(), FailureReason::NoCapacity, "the hold has ended" };
        return { CallStatus::NotRun, {} };
    }
    auto order = start;
    order.epoch = 1;
    auto result = workers.at(hold.worker)->start(order, clock_.now() + timeStep, failure);
    if (const auto hook = std::exchange(afterNextStart, nullptr)) {
        hook();
    }
    return result;
}

std::optional<TaskStatus> FakeOwner::queryTask(const WorkerId &worker, const TaskId &task, Failure &failure)
{
    const auto found = workers.find(worker);
    if (found == workers.end()) {
        failure = { FailureStep::Collect, id_.text(), FailureReason::NotOwner, "another instance owns the worker" };
        return std::nullopt;
    }
    return found->second->query(task, clock_.now() + timeStep, failure);
}

std::optional<TaskStatus> FakeOwner::cancelTask(const WorkerId &worker, const TaskId &task, Failure &failure)
{
    const auto found = workers.find(worker);
    if (found == workers.end()) {
        failure = { FailureStep::Cancel, id_.text(), FailureReason::NotOwner, "another instance owns the worker" };
        return std::nullopt;
    }
    return found->second->cancel(task, 1, clock_.now() + timeStep, failure);
}

std::size_t FakeOwner::heldCount()
{
    std::erase_if(holds_, [this](const auto &entry) { return entry.second.end <= clock_.now(); });
    return holds_.size();
}

void FakeOwner::renewLeases()
{
    Failure failure;
    for (const auto &[id, worker] : workers) {
        worker->renew(1, Milliseconds(30'000), clock_.now() + timeStep, failure);
    }
}

std::optional<std::vector<Hold>> FakeOwner::hold(const HoldRequest &request, Milliseconds, Failure &)
{
    return hold(request);
}

bool FakeOwner::release(const std::vector<Hold> &released, Milliseconds, Failure &)
{
    release(released);
    return true;
}

CallResult FakeOwner::startHeld(const Hold &hold, const TaskStart &start, Milliseconds, Failure &failure)
{
    return startHeld(hold, start, failure);
}

std::vector<TaskId> FakeOwner::runningTasks(const JobId &job)
{
    std::vector<TaskId> running;
    for (const auto &[id, worker] : workers) {
        for (const auto &event : worker->history()) {
            Failure failure;
            const auto isOfJob = event.kind == WorkerEvent::Kind::Start && event.task.text().starts_with(job.text() + "/");
            const auto task = isOfJob ? worker->query(event.task, clock_.now() + timeStep, failure) : std::nullopt;
            if (task && task->state == TaskState::Running) {
                running.push_back(event.task);
            }
        }
    }
    return running;
}

std::optional<std::vector<TaskId>> FakeOwner::runningTasks(const JobId &job, Milliseconds, Failure &)
{
    ++jobQueryCount;
    return runningTasks(job);
}

std::optional<TaskStatus> FakeOwner::queryTask(const WorkerId &worker, const TaskId &task, Milliseconds, Failure &failure)
{
    ++taskQueryCount;
    return queryTask(worker, task, failure);
}

std::optional<TaskStatus> FakeOwner::cancelTask(const WorkerId &worker, const TaskId &task, Milliseconds, Failure &failure)
{
    return cancelTask(worker, task, failure);
}

FakeDirectory::FakeDirectory(InstanceId self, const OwnerMap &owners) : self_(std::move(self)), owners_(owners)
{
}

std::shared_ptr<Peer> FakeDirectory::peer(const InstanceId &instance)
{
    const auto found = owners_.find(instance);
    return found == owners_.end() ? nullptr : found->second;
}

std::vector<InstanceId> FakeDirectory::livePeers()
{
    std::vector<InstanceId> peers;
    for (const auto &[id, owner] : owners_) {
        if (id != self_) {
            peers.push_back(id);
        }
    }
    return peers;
}

Cell::Cell(int ownerCount, const Resources &capacity)
{
    for (int index = 0; index < ownerCount; ++index) {
        const InstanceId id("instance-" + std::to_string(index));
        owners[id] = std::make_shared<FakeOwner>(id, clock);
        for (const auto *suffix : { "a", "b" }) {
            const WorkerId worker("worker-" + std::to_string(index) + suffix);
            owners[id]->workers[worker] = std::make_shared<FakeWorker>(worker, capacity, clock);
        }
    }
    takeOver(owners.begin()->first);
}

void Cell::takeOver(const InstanceId &instance)
{
    runner.reset();
    const Transaction transaction { "take-over-" + std::to_string(shardVersion_),
                                    { { "shard/" + shard.text(), shardVersion_ } },
                                    { { "shard/" + shard.text(), instance.text() } },
                                    WritePurpose::Ownership };
    const auto result = table.FakeTableService::commit(transaction, clock.now(), failure);
    REQUIRE(result.status == CommitStatus::Committed);
    shardVersion_ = result.versions.front();
    runnerInstance = instance;
    directories.push_back(std::make_unique<FakeDirectory>(instance, owners));
    runner = std::make_unique<JobRunner>(instance, store, *owners.at(instance), *directories.back(), clock, metrics);
    runner->shardGained(shard, 1, shardVersion_);
}

Job Cell::submit(JobKind kind, int taskCount, const std::string &body, const std::string &id)
{
    JobDeclaration declaration;
    declaration.id = JobId(id);
    declaration.kind = kind;
    declaration.team = TeamId("red");
    declaration.service = ServiceId("s");
    declaration.taskCount = taskCount;
    declaration.need = { 1000, 1000, 0, 1, 1 };
    declaration.body = body;
    const auto submission = store.submit(shard, declaration, clock.now() + timeStep, failure);
    REQUIRE(submission.status == SubmitStatus::Recorded);
    runner->notifyJob(shard, declaration.id);
    return *submission.job;
}

void Cell::cancel(const std::string &id)
{
    REQUIRE(store.cancel(shard, JobId(id), clock.now() + timeStep, failure));
    runner->notifyJob(shard, JobId(id));
}

Job Cell::runFor(Milliseconds time, const std::string &id)
{
    const auto end = clock.now() + time;
    auto nextRenewal = clock.now();
    while (clock.now() < end) {
        if (clock.now() >= nextRenewal) {
            nextRenewal += renewalPeriod;
            for (const auto &[instance, owner] : owners) {
                owner->renewLeases();
            }
        }
        runner->runOnce();
        const auto job = store.load(shard, JobId(id), clock.now() + timeStep, failure);
        if (job && job->hasEnded()) {
            return *job;
        }
        clock.advance(timeStep);
    }
    return load(id);
}

int Cell::overlapCount()
{
    struct Run
    {
        std::string task;
        WallTime start;
        WallTime end = WallTime::max();
    };
    std::map<std::pair<WorkerId, TaskId>, Run> runs;
    for (const auto &[instance, owner] : owners) {
        for (const auto &[id, worker] : owner->workers) {
            for (const auto &event : worker->history()) {
                if (event.kind == WorkerEvent::Kind::Start) {
                    const auto &text = event.task.text();
                    runs[{ id, event.task }] = { text.substr(0, text.rfind('/')), event.time };
                } else if (event.kind == WorkerEvent::Kind::End) {
                    runs[{ id, event.task }].end = event.time;
                }
            }
        }
    }
    int count = 0;
    for (auto one = runs.begin(); one != runs.end(); ++one) {
        for (auto other = std::next(one); other != runs.end(); ++other) {
            const bool isSame = one->second.task == other->second.task;
            count += isSame && one->second.start < other->second.end && other->second.start < one->second.end ? 1 : 0;
        }
    }
    return count;
}

int Cell::startCount()
{
    int count = 0;
    for (const auto &[instance, owner] : owners) {
        for (const auto &[id, worker] : owner->workers) {
            for (const auto &event : worker->history()) {
                count += event.kind == WorkerEvent::Kind::Start ? 1 : 0;
            }
        }
    }
    return count;
}

Resources Cell::use()
{
    Resources sum;
    for (const auto &[instance, owner] : owners) {
        for (const auto &[id, worker] : owner->workers) {
            sum += worker->use();
        }
    }
    return sum;
}

std::size_t Cell::heldCount()
{
    std::size_t count = 0;
    for (const auto &[instance, owner] : owners) {
        count += owner->heldCount();
    }
    return count;
}

Job Cell::load(const std::string &id)
{
    const auto job = store.load(shard, JobId(id), clock.now() + timeStep, failure);
    REQUIRE(job);
    return *job;
}

} // namespace auburndoor
