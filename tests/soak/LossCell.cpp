#include "soak/LossCell.h"

#include "JobCodec.h"
#include "fakes/JobIds.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr int entryCount = 3;
constexpr int workerCount = 4;
constexpr Milliseconds maxOutage { 900 };
// A start that was sent before the cancellation may still arrive.
constexpr Milliseconds cancelTime { 1000 };

/** Returns an action for the answers of one kind: the count-th of them calls the given action. */
std::function<void(const std::string &)> makeTrigger(int count, std::function<void(const std::string &)> action)
{
    return [left = std::make_shared<int>(count), action = std::move(action)](const std::string &id) {
        if (--*left == 0) {
            action(id);
        }
    };
}

} // namespace

LossCell::LossCell(unsigned seed, const std::string &folder, std::pair<Milliseconds, Milliseconds> taskTime)
    : cell(seed,
           entryCount,
           workerCount,
           folder,
           [this, taskTime](const TaskName &, std::int64_t) {
               return SimulatedWork { Milliseconds(cell.draw(static_cast<int>(taskTime.first.count()),
                                                             static_cast<int>(taskTime.second.count()))),
                                      RunOutcome::Done };
           })
    , clients(cell.loop, cell.clientAddresses(), cell.random)
{
    cell.platform.onStarted = [this](const StartCommand &command) {
        ++startCount;
        const auto &job = clients.jobs().at(command.task.job);
        if (job.cancelledAt && cell.loop.now() - *job.cancelledAt > cancelTime) {
            lateStarts_.push_back(command.task.job + " was started over a second after its cancellation was acknowledged");
        }
    };
}

bool LossCell::waitForOwner()
{
    constexpr Milliseconds limit { 10000 };
    constexpr Milliseconds settleTime { 1000 };
    const bool hasOwner = cell.runUntil([this] { return cell.owner() != nullptr; }, limit);
    cell.runFor(settleTime);
    return hasOwner;
}

void LossCell::submitJobs(int count)
{
    const std::string body = R"({"spec":"p","taskGroups":[{"count":2,"cpu":500,"memMb":1,"estimateMs":400},)"
                             R"({"count":1,"cpu":500,"memMb":1,"estimateMs":400,"checkpoints":true,"dependsOn":[0]}]})";
    std::string error;
    const auto spec = platform::readJob(body, error).value();
    for (int number = 0; number < count; ++number) {
        const auto id = jobIdOf(++lastJobNumber_);
        cell.platform.checker.addJob(id, spec);
        clients.submit(id, body);
        if (number % 2 == 1) {
            clients.submit(id, body);
        }
    }
}

void LossCell::cancelJobs()
{
    for (const auto &[id, job] : clients.jobs()) {
        if (job.isAccepted && !hasEnded(job) && cell.draw(0, 1) == 0) {
            clients.cancel(id);
        }
    }
}

void LossCell::afterAccepted(int count, std::function<void(const std::string &)> action)
{
    clients.onAccepted = makeTrigger(count, std::move(action));
}

void LossCell::afterCancelled(int count, std::function<void(const std::string &)> action)
{
    clients.onCancelled = makeTrigger(count, std::move(action));
}

void LossCell::loseEverything()
{
    ++lossCount;
    cell.record("all", "killed, and all workers ended");
    for (const auto &entry : cell.entries) {
        entry->kill();
        restartLater(*entry);
    }
    endWorkers();
}

void LossCell::loseWorkers()
{
    ++lossCount;
    cell.record("workers", "ended");
    endWorkers();
}

void LossCell::endWorkers()
{
    for (int number = 0; number < workerCount; ++number) {
        const auto id = "w" + std::to_string(number);
        endWorker(id);
        if (number < workerCount - 1) {
            cell.loop.after(Milliseconds(cell.draw(0, static_cast<int>(maxOutage.count()))), [this, id] { returnWorker(id); });
        }
    }
}

void LossCell::killOwner()
{
    auto *owner = cell.owner();
    if (owner == nullptr || !owner->isRunning() || owner->isStopping()) {
        return;
    }
    ++lossCount;
    cell.record(owner->name(), "killed; it is the owner");
    owner->kill();
    restartLater(*owner);
}

void LossCell::stopOwner()
{
    auto *owner = cell.owner();
    if (owner == nullptr || !owner->isRunning() || owner->isStopping()) {
        return;
    }
    ++lossCount;
    cell.record(owner->name(), "SIGTERM; it is the owner");
    owner->terminate();
}

void LossCell::restartLater(EntryProcess &entry)
{
    cell.loop.after(Milliseconds(cell.draw(50, static_cast<int>(maxOutage.count()))), [this, &entry] {
        if (!entry.isRunning()) {
            cell.record(entry.name(), "is started again");
            entry.start();
        }
    });
}

void LossCell::endWorker(const std::string &id)
{
    goneWorkers_.insert(id);
    cell.platform.fleet.worker(id).restart();
    cell.platform.workerLink(id).setMode(FaultyLink::Mode::Reset);
    cell.platform.store.remove("servers", id);
}

void LossCell::returnWorker(const std::string &id)
{
    if (goneWorkers_.erase(id) != 0) {
        cell.platform.workerLink(id).setMode(FaultyLink::Mode::Open);
        cell.platform.registerWorker(id);
    }
}

void LossCell::returnWorkers()
{
    for (const auto &id : std::set(goneWorkers_)) {
        returnWorker(id);
    }
}

bool LossCell::hasEnded(const SoakClients::Job &job) const
{
    return job.lastState == "completed" || job.lastState == "failed" || job.lastState == "cancelled";
}

bool LossCell::waitForEnds(Milliseconds limit)
{
    constexpr Milliseconds queryInterval { 300 };
    auto nextQuery = cell.loop.now();
    return cell.runUntil(
        [&] {
            cell.restartStoppedProcesses();
            const bool isQuery = cell.loop.now() >= nextQuery;
            nextQuery = isQuery ? cell.loop.now() + queryInterval : nextQuery;
            bool areAllEnded = true;
            for (const auto &[id, job] : clients.jobs()) {
                if (!job.isAccepted || hasEnded(job)) {
                    continue;
                }
                areAllEnded = false;
                if (isQuery) {
                    clients.query(id);
                }
            }
            return areAllEnded;
        },
        limit);
}

std::vector<std::string> LossCell::violations() const
{
    auto found = cell.violations;
    found.insert(found.end(), clients.violations.begin(), clients.violations.end());
    found.insert(found.end(), cell.platform.checker.violations.begin(), cell.platform.checker.violations.end());
    found.insert(found.end(), lateStarts_.begin(), lateStarts_.end());
    for (const auto &[id, job] : clients.jobs()) {
        const bool isEndAllowed = job.lastState == "completed" || (job.mayBeCancelled && job.lastState == "cancelled");
        if (job.isAccepted && !isEndAllowed) {
            found.push_back(id + " was accepted" + (job.cancelledAt ? " and cancelled" : "") + ", and is shown as '" + job.lastState
                            + "'");
        }
    }
    return found;
}

} // namespace auburndoor
