#include "soak/SoakCell.h"

#include "JobCodec.h"
#include "fakes/JobIds.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds stopCheckInterval { 100 };
constexpr Milliseconds queryInterval { 700 };

} // namespace

SoakCell::SoakCell(unsigned seed, const SoakSize &size, const std::string &folder)
    : random_(seed), size_(size), startedAt_(loop_.now()), platform_(loop_), keys_(loop_, platform_, entries_, seed)
{
    for (int number = 0; number < size.workers; ++number) {
        platform_.addWorker("w" + std::to_string(number), 4 + number, [this](const TaskName &, std::int64_t) {
            return SimulatedWork { Milliseconds(draw(50, 2500)), draw(0, 19) == 0 ? RunOutcome::Failed : RunOutcome::Done };
        });
    }
    platform_.onStarted = [this](const StartCommand &command) { startedJobs_.insert(command.task.job); };
    std::vector<Address> addresses;
    for (int number = 0; number < size.entries; ++number) {
        entries_.push_back(std::make_unique<EntryProcess>(loop_, number, platform_.storeAddress(), folder));
        entries_.back()->start();
        addresses.push_back(entries_.back()->clientAddress());
    }
    clients_ = std::make_unique<SoakClients>(loop_, addresses, random_);
    clients_->key = KeyWatch::steadyKey;
    clients_->onAccepted = [this](const std::string &id) { keys_.job = id; };
}

int SoakCell::draw(int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random_);
}

void SoakCell::recordFault(const std::string &description)
{
    const auto at = std::chrono::duration_cast<Milliseconds>(loop_.now() - startedAt_);
    faults_.push_back(std::to_string(at.count()) + " " + description);
}

std::size_t SoakCell::acceptedJobCount() const
{
    const auto &jobs = clients_->jobs();
    return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), [](const auto &job) { return job.second.isAccepted; }));
}

std::vector<std::string> SoakCell::run()
{
    constexpr Milliseconds startupDelay { 1000 };
    loop_.after(startupDelay, [this] { submitNext(); });
    loop_.after(startupDelay, [this] { injectNextFault(); });
    loop_.after(startupDelay, [this] { restartStoppedProcesses(); });
    loop_.after(startupDelay, [this] { queryOpenJobs(); });
    loop_.after(startupDelay, [this] { keys_.start(); });
    loop_.after(size_.faultDuration, [this] { endFaults(); });
    loop_.run();
    checkJobs();
    violations_.insert(violations_.end(), keys_.violations.begin(), keys_.violations.end());
    violations_.insert(violations_.end(), clients_->violations.begin(), clients_->violations.end());
    violations_.insert(violations_.end(), platform_.checker.violations.begin(), platform_.checker.violations.end());
    return violations_;
}

void SoakCell::submitNext()
{
    if (!isInjectingFaults_) {
        return;
    }
    const auto id = jobIdOf(++lastJobNumber_);
    nlohmann::json taskGroup { { "count", draw(1, 4) }, { "cpu", draw(1, 4) * 500 }, { "memMb", 10 }, { "estimateMs", 500 } };
    if (draw(0, 1) == 0) {
        taskGroup["checkpoints"] = true;
    }
    const auto body = nlohmann::json { { "spec", "payload" }, { "taskGroups", { taskGroup } } }.dump();
    std::string error;
    platform_.checker.addJob(id, *platform::readJob(body, error));
    clients_->submit(id, body);
    loop_.after(Milliseconds(draw(40, 200)), [this] { submitNext(); });
}

void SoakCell::injectNextFault()
{
    if (!isInjectingFaults_) {
        return;
    }
    switch (draw(0, size_.hasPartitions ? 3 : 2)) {
    case 0:
        injectProcessFault();
        break;
    case 1:
        injectStoreFault();
        break;
    case 2:
        injectWorkerFault();
        break;
    default:
        injectPartition();
        break;
    }
    loop_.after(Milliseconds(draw(50, 1500)), [this] { injectNextFault(); });
}

void SoakCell::injectProcessFault()
{
    const auto number = static_cast<std::size_t>(draw(0, size_.entries - 1));
    auto &entry = *entries_.at(number);
    const auto name = "entry " + std::to_string(number);
    const auto kind = draw(0, 9);
    if (kind == 0) {
        recordFault("kill all entries");
        for (const auto &each : entries_) {
            each->kill();
            loop_.after(Milliseconds(draw(200, 1500)), [&entry = *each] {
                if (!entry.isRunning()) {
                    entry.start();
                }
            });
        }
        return;
    }
    if (!entry.isRunning() || entry.isPaused() || entry.isStopping()) {
        return;
    }
    if (kind <= 3) {
        recordFault("kill " + name);
        entry.kill();
        loop_.after(Milliseconds(draw(200, 1500)), [&entry] {
            if (!entry.isRunning()) {
                entry.start();
            }
        });
    } else if (kind <= 6) {
        const Milliseconds duration { draw(300, 4000) };
        recordFault("pause " + name + " for " + std::to_string(duration.count()));
        entry.pause();
        loop_.after(duration, [&entry] { entry.resume(); });
    } else if (kind <= 8) {
        recordFault("send SIGTERM to " + name);
        entry.terminate();
    } else {
        recordFault("send SIGHUP to " + name);
        entry.sendHangUp();
    }
}

void SoakCell::injectLinkFault(FaultyLink &link, const std::string &name)
{
    const auto kind = draw(0, 3);
    const auto mode = kind == 0   ? FaultyLink::Mode::Stalled
                      : kind == 1 ? FaultyLink::Mode::NoReplies
                      : kind == 2 ? FaultyLink::Mode::Reset
                                  : FaultyLink::Mode::Delayed;
    const Milliseconds duration { draw(300, 5000) };
    recordFault("link of " + name + " in mode " + std::to_string(static_cast<int>(mode)) + " for "
                + std::to_string(duration.count()));
    link.setMode(mode, Milliseconds(draw(50, 400)));
    loop_.after(duration, [&link] { link.setMode(FaultyLink::Mode::Open); });
}

void SoakCell::injectStoreFault()
{
    switch (draw(0, 3)) {
    case 0: {
        const Milliseconds duration { draw(300, 4000) };
        recordFault("store unavailable for " + std::to_string(duration.count()));
        platform_.store.setDown(true);
        loop_.after(duration, [this] { platform_.store.setDown(false); });
        return;
    }
    case 1:
        recordFault("store loses answers");
        platform_.store.loseAnswers(draw(1, 4), Milliseconds(draw(4, 4000)));
        return;
    case 2:
        recordFault("store slow");
        platform_.store.setAnswerTime(Milliseconds(draw(100, 300)));
        loop_.after(Milliseconds(draw(500, 3000)), [this] { platform_.store.setAnswerTime(Milliseconds(8)); });
        return;
    default:
        break;
    }
    const auto number = static_cast<std::size_t>(draw(0, size_.entries - 1));
    injectLinkFault(entries_.at(number)->storeLink(), "entry " + std::to_string(number) + " to the store");
}

void SoakCell::injectWorkerFault()
{
    const auto id = "w" + std::to_string(draw(0, size_.workers - 1));
    switch (draw(0, 3)) {
    case 0:
        recordFault("restart " + id);
        platform_.restartWorker(id);
        return;
    case 1:
        recordFault("delay commands to workers");
        platform_.drawFault = [this] {
            return CommandFault { draw(0, 2) == 0 ? CommandFault::Kind::Late : CommandFault::Kind::None,
                                  Milliseconds(draw(500, 6000)) };
        };
        loop_.after(Milliseconds(draw(500, 3000)), [this] { platform_.drawFault = {}; });
        return;
    case 2: {
        recordFault("store row of " + id + " removed");
        platform_.store.remove("servers", id);
        loop_.after(Milliseconds(draw(300, 3000)), [this, id] { platform_.registerWorker(id); });
        return;
    }
    default:
        injectLinkFault(platform_.workerLink(id), id);
    }
}

void SoakCell::injectPartition()
{
    OwnerPartition::Sides sides;
    std::string text = "owner parted;";
    // Half of the partitions leave no worker that the owner and its successors both reach.
    const int lastSide = draw(1, 2);
    for (int number = 0; number < size_.workers; ++number) {
        const auto id = "w" + std::to_string(number);
        const int side = draw(0, lastSide);
        if (side == 0) {
            sides.withoutOwner.insert(id);
            text += " " + id + " only for successors,";
        } else if (side == 1) {
            sides.withoutSuccessors.insert(id);
            text += " " + id + " only for the owner,";
        }
    }
    const Milliseconds duration { draw(300, 15000) };
    const std::shared_ptr<OwnerPartition> partition = OwnerPartition::begin(platform_, entries_, sides);
    if (!partition) {
        return;
    }
    recordFault(text + " for " + std::to_string(duration.count()));
    partitions_.insert(partition);
    loop_.after(duration, [this, partition = std::weak_ptr(partition)] { partitions_.erase(partition.lock()); });
}

void SoakCell::endFaults()
{
    recordFault("end of faults");
    isInjectingFaults_ = false;
    keys_.finish();
    partitions_.clear();
    platform_.store.setDown(false);
    platform_.store.loseAnswers(0, Milliseconds(0));
    platform_.drawFault = {};
    for (const auto &[id, worker] : platform_.fleet.workers()) {
        platform_.workerLink(id).setMode(FaultyLink::Mode::Open);
        platform_.registerWorker(id);
    }
    for (const auto &entry : entries_) {
        entry->storeLink().setMode(FaultyLink::Mode::Open);
        if (!entry->isRunning()) {
            entry->start();
        } else if (entry->isPaused()) {
            entry->resume();
        }
    }
    loop_.after(size_.recoveryLimit, [this] { loop_.stop(); });
}

void SoakCell::restartStoppedProcesses()
{
    for (const auto &entry : entries_) {
        if (!entry->isPaused() && !entry->restartIfStopped(loop_.now())) {
            violations_.push_back("an entry process did not exit within its grace period after SIGTERM");
            entry->kill();
            entry->start();
        }
    }
    loop_.after(stopCheckInterval, [this] { restartStoppedProcesses(); });
}

void SoakCell::queryOpenJobs()
{
    for (const auto &[id, job] : clients_->jobs()) {
        if (job.isAccepted && (job.lastState.empty() || draw(0, 3) == 0)) {
            clients_->query(id);
        }
    }
    if (!isInjectingFaults_ && haveAllJobsEnded() && keys_.isDone()) {
        loop_.stop();
        return;
    }
    loop_.after(queryInterval, [this] { queryOpenJobs(); });
}

bool SoakCell::haveAllJobsEnded() const
{
    const auto &jobs = clients_->jobs();
    return std::all_of(jobs.begin(), jobs.end(), [](const auto &entry) {
        const auto &job = entry.second;
        return !job.isAccepted || job.lastState == "completed" || job.lastState == "failed";
    });
}

void SoakCell::checkJobs()
{
    if (!keys_.isDone()) {
        violations_.push_back("not every process was checked after the last change of the keys");
    }
    for (const auto &[id, job] : clients_->jobs()) {
        if (job.isAccepted && job.lastState != "completed" && job.lastState != "failed") {
            violations_.push_back(id + " was accepted, but its state at the end of the run is '" + job.lastState + "'");
        }
        if (!job.isAccepted && !job.mayHaveBeenAccepted && startedJobs_.contains(id)) {
            violations_.push_back(id + " was started although every submission was refused or not sent");
        }
    }
}

} // namespace auburndoor
