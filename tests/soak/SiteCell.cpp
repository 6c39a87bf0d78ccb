#include "soak/SiteCell.h"

#include "JobCodec.h"
#include "fakes/JobIds.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace auburndoor {

namespace {

constexpr int entryCount = 8;
constexpr int workerCount = 48;
constexpr Milliseconds maxLease { 6000 };
/** How long a call to the store takes. */
constexpr Milliseconds usualAnswerTime { 8 };

/** The processes are spread over the failure domains as 3, 2, 2 and 1. */
EntryOptions makeOptions(int number)
{
    constexpr std::array domains { "z0", "z0", "z0", "z1", "z1", "z2", "z2", "z3" };
    EntryOptions options;
    options.failureDomain = domains.at(static_cast<std::size_t>(number));
    options.processorShare = 0.25;
    options.maxLease = maxLease;
    options.killGrace = SiteWorkers::killGrace;
    options.reportInterval = SiteWorkers::reportInterval;
    return options;
}

std::string makeDesiredState()
{
    const auto makeRoute = [](const std::string &name, const std::string &service) {
        return R"({"name":")" + name + R"(","host":"cell.example","pathPrefix":"/)" + name + R"(/","service":")" + service
               + R"(","priority":1,"maxAttempts":3,"slackFactor":3,"targetLatencyMs":500})";
    };
    return R"({"version":100,"limits":{"maxBodyBytes":65536},"services":[{"name":"desk"},{"name":"mill"}],"routes":[)"
           + makeRoute("jobs", "desk") + "," + makeRoute("forms", "mill") + "]}";
}

} // namespace

SiteCell::SiteCell(unsigned seed, const std::string &folder)
    : cell(seed, entryCount, 0, folder, {}, makeOptions)
    , history_(cell.platform)
    , workers_(cell, history_, maxLease, [this](const TaskName &, std::int64_t) { return planWork(); })
    , clients_(cell.loop, cell.clientAddresses(), cell.random)
{
    constexpr Milliseconds feedInterval { 10 };
    cell.platform.feedInterval = feedInterval;
    cell.platform.checker.permitsCopies = true;
    cell.platform.store.write("op", "config", makeDesiredState());
    cell.platform.onStarted = [this](const StartCommand &) { ++startCount; };
    cell.platform.onTakeover = [this](const std::string &owner) { cell.record(owner, "has taken over"); };
    constexpr std::array processFaultWeights { 0, 0, 1, 3 };
    processFaultWeight_ = processFaultWeights.at(static_cast<std::size_t>(cell.draw(0, 3)));
    longTaskWeight_ = cell.draw(1, 3);
    workers_.addWorkers(workerCount);
}

SimulatedWork SiteCell::planWork()
{
    constexpr int shortest = 300;
    constexpr int longest = 5000;
    constexpr int longestOfAll = 14000;
    const bool isLong = cell.draw(1, 3) <= longTaskWeight_;
    return { Milliseconds(cell.draw(shortest, isLong ? longestOfAll : longest)),
             cell.draw(1, 40) == 1 ? RunOutcome::Failed : RunOutcome::Done };
}

std::size_t SiteCell::acceptedJobCount() const
{
    const auto &jobs = clients_.jobs();
    return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), [](const auto &job) { return job.second.isAccepted; }));
}

bool SiteCell::begin()
{
    constexpr Milliseconds startLimit { 10000 };
    constexpr Milliseconds warmUp { 3000 };
    if (!cell.runUntil([this] { return cell.owner() != nullptr; }, startLimit)) {
        cell.violations.emplace_back("no process has taken the cell over");
        return false;
    }
    submitNext();
    cell.runFor(warmUp);
    return true;
}

std::vector<std::string> SiteCell::run(Milliseconds faultDuration)
{
    if (!begin()) {
        return cell.violations;
    }
    injectNextFault();
    drainWorkersRegularly();
    const auto end = cell.loop.now() + faultDuration;
    const auto isOver = [this, end] {
        cell.restartStoppedProcesses();
        return cell.loop.now() >= end;
    };
    cell.runUntil(isOver, faultDuration);
    return finish();
}

std::vector<std::string> SiteCell::loseStoreWhileDraining()
{
    constexpr int drainingCount = 14;
    constexpr int ownerFaultOneIn = 3;
    constexpr Milliseconds untilGone { 3500 };
    const Milliseconds untilOutage { cell.draw(0, 800) };
    const Milliseconds outage { cell.draw(4700, 5500) };
    const Milliseconds untilFailures = outage - Milliseconds(cell.draw(0, 400));
    const Milliseconds failures { cell.draw(500, 1500) };
    longTaskWeight_ = 3;
    if (!begin()) {
        return cell.violations;
    }
    drainWorkers(drainingCount);
    cell.runFor(untilOutage);
    loseStore(outage, cell.draw(0, 1) == 0 ? StoreFault::Kind::Refuse : StoreFault::Kind::Silent, true);
    if (cell.draw(1, ownerFaultOneIn) == 1) {
        cell.loop.after(outage - Milliseconds(cell.draw(-500, 2000)), [this] { injectOwnerFault(); });
    }
    cell.runFor(untilFailures);
    for (const auto &id : workers_.ids(true)) {
        resetConnections(id, failures);
    }
    cell.runFor(untilGone);
    return finish();
}

std::vector<std::string> SiteCell::finish()
{
    constexpr Milliseconds settleTime { 4000 };
    cell.record("test", "end of faults");
    isInjectingFaults_ = false;
    cell.runFor(settleTime);
    return explainViolations();
}

std::vector<std::string> SiteCell::explainViolations() const
{
    std::vector<std::string> logFiles;
    for (const auto &entry : cell.entries) {
        logFiles.push_back(entry->logFile());
    }
    auto violations = cell.violations;
    violations.insert(violations.end(), clients_.violations.begin(), clients_.violations.end());
    for (const auto &violation : cell.platform.checker.violations) {
        violations.push_back(history_.explain(violation, logFiles));
    }
    return violations;
}

void SiteCell::submitNext()
{
    constexpr int wideOneIn = 8;
    constexpr int speculativeOneIn = 10;
    if (!isInjectingFaults_) {
        return;
    }
    const auto id = jobIdOf(++lastJobNumber_);
    auto steps = nlohmann::json::array();
    for (int step = 0; step < cell.draw(1, 2); ++step) {
        const int count = cell.draw(1, wideOneIn) == 1 ? cell.draw(5, 12) : cell.draw(1, 4);
        steps.push_back({ { "count", count }, { "cpu", cell.draw(1, 4) * 250 }, { "memMb", 10 }, { "estimateMs", 1500 } });
        steps.back()["checkpoints"] = cell.draw(0, 2) == 0;
        steps.back()["speculative"] = lastJobNumber_ % speculativeOneIn == 0;
        if (step > 0) {
            steps.back()["dependsOn"] = { 0 };
        }
    }
    const auto body = nlohmann::json { { "spec", "payload" }, { "taskGroups", steps } }.dump();
    std::string error;
    cell.platform.checker.addJob(id, platform::readJob(body, error).value());
    clients_.submit(id, body, cell.draw(0, 1) == 0 ? "/jobs/" : "/forms/");
    cell.loop.after(Milliseconds(cell.draw(30, 160)), [this] { submitNext(); });
}

std::string SiteCell::pickWorker()
{
    auto ids = workers_.ids(cell.draw(0, 1) == 0);
    if (ids.empty()) {
        ids = workers_.ids(false);
    }
    return ids.at(static_cast<std::size_t>(cell.draw(0, static_cast<int>(ids.size()) - 1)));
}

void SiteCell::injectNextFault()
{
    if (!isInjectingFaults_) {
        return;
    }
    const int kind = cell.draw(0, 19);
    if (kind < processFaultWeight_) {
        injectProcessFault();
    } else if (kind < 7) {
        injectStoreFault();
    } else {
        injectWorkerFault();
    }
    cell.loop.after(Milliseconds(cell.draw(50, 700)), [this] { injectNextFault(); });
}

std::string SiteCell::pickBusyWorker()
{
    constexpr int candidates = 4;
    const auto ids = workers_.ids(false);
    std::string busiest;
    std::size_t mostRuns = 0;
    for (int count = 0; count < candidates; ++count) {
        const auto &id = ids.at(static_cast<std::size_t>(cell.draw(0, static_cast<int>(ids.size()) - 1)));
        const auto runs = cell.platform.fleet.worker(id).runs().size();
        if (busiest.empty() || runs > mostRuns) {
            busiest = id;
            mostRuns = runs;
        }
    }
    return busiest;
}

void SiteCell::drainWorkers(int count)
{
    constexpr std::size_t maxDraining = 20;
    for (; count > 0 && workers_.ids(true).size() < maxDraining; --count) {
        workers_.drain(pickBusyWorker());
    }
}

void SiteCell::drainWorkersRegularly()
{
    if (isInjectingFaults_) {
        drainWorkers(1);
        cell.loop.after(Milliseconds(cell.draw(300, 2500)), [this] { drainWorkersRegularly(); });
    }
}

void SiteCell::resetDrainingWorkers()
{
    constexpr int longest = 1500;
    for (const auto &id : workers_.ids(true)) {
        resetConnections(id, Milliseconds(cell.draw(0, 2) == 0 ? 0 : cell.draw(0, longest)));
    }
}

void SiteCell::resetConnections(const std::string &id, Milliseconds duration)
{
    using Mode = FaultyLink::Mode;
    constexpr std::array modes { Mode::Reset, Mode::Refused, Mode::Refused, Mode::Unreachable };
    workers_.resetConnections(id, duration, modes.at(static_cast<std::size_t>(cell.draw(0, 3))));
}

void SiteCell::injectWorkerFault()
{
    const auto id = pickWorker();
    constexpr std::array durations { 300, 1500, 3000, 5500, 8000 };
    const Milliseconds duration { cell.draw(100, durations.at(static_cast<std::size_t>(cell.draw(0, 4)))) };
    switch (cell.draw(0, 11)) {
    case 0:
    case 1:
        workers_.cut(id, SiteWorkers::Cut::Replies, duration);
        return;
    case 2:
    case 3:
        workers_.cut(id, SiteWorkers::Cut::Both, duration);
        return;
    case 4:
    case 5:
        workers_.cut(id, SiteWorkers::Cut::Store, duration);
        return;
    case 6:
    case 7:
        workers_.cut(id, SiteWorkers::Cut::Frozen, duration);
        return;
    case 8:
        workers_.crash(id, duration);
        return;
    case 9:
        resetConnections(id, duration);
        return;
    default:
        resetDrainingWorkers();
    }
}

void SiteCell::setStoreFaults(const StoreFault &fault)
{
    for (const auto &entry : cell.entries) {
        cell.platform.setStoreFault(entry->name(), fault);
    }
}

void SiteCell::loseStore(Milliseconds duration, StoreFault::Kind kind, bool lapse)
{
    const bool areReset = kind == StoreFault::Kind::None;
    cell.record("store",
                std::string("is down for ") + std::to_string(duration.count())
                    + (areReset                           ? ", resets"
                       : kind == StoreFault::Kind::Refuse ? ", refuses"
                                                          : ", silent")
                    + (lapse ? "; entries expire" : ""));
    setStoreFaults({ .kind = kind });
    workers_.setStoreDown(true, lapse);
    for (const auto &entry : cell.entries) {
        entry->storeLink().setMode(areReset ? FaultyLink::Mode::Reset : FaultyLink::Mode::Open);
    }
    cell.loop.after(duration, [this, lapse] {
        cell.record("store", "is up");
        setStoreFaults({});
        for (const auto &entry : cell.entries) {
            entry->storeLink().setMode(FaultyLink::Mode::Open);
        }
        workers_.setStoreDown(false, lapse);
        isStoreDisturbed_ = false;
    });
}

void SiteCell::injectStoreFault()
{
    constexpr std::array kinds { StoreFault::Kind::Refuse, StoreFault::Kind::Silent, StoreFault::Kind::None };
    if (isStoreDisturbed_) {
        return;
    }
    switch (cell.draw(0, 4)) {
    case 0:
        cell.record("store", "loses answers");
        cell.platform.store.loseAnswers(cell.draw(1, 6), Milliseconds(cell.draw(4, 4000)));
        return;
    case 1: {
        const Milliseconds duration { cell.draw(500, 3000) };
        cell.record("store", "is slow for " + std::to_string(duration.count()));
        isStoreDisturbed_ = true;
        cell.platform.store.setAnswerTime(Milliseconds(cell.draw(100, 400)));
        cell.loop.after(duration, [this] {
            cell.platform.store.setAnswerTime(usualAnswerTime);
            isStoreDisturbed_ = false;
        });
        return;
    }
    default:
        isStoreDisturbed_ = true;
        if (cell.draw(0, 3) != 0) {
            drainWorkers(cell.draw(3, 10));
        }
        const Milliseconds duration { cell.draw(cell.draw(0, 2) == 0 ? 2500 : 4500, 5500) };
        // Workers whose entries have expired are back at their next report, 1.5 s after the return of the store at the latest.
        for (int count = cell.draw(1, 3); count > 0; --count) {
            cell.loop.after(duration + Milliseconds(cell.draw(-400, 1000)), [this] { resetDrainingWorkers(); });
        }
        loseStore(duration, kinds.at(static_cast<std::size_t>(cell.draw(0, 2))), cell.draw(0, 3) != 0);
    }
}

void SiteCell::injectProcessFault()
{
    if (cell.draw(0, 1) == 0) {
        injectOwnerFault();
    } else {
        disturb(cell.entries.at(static_cast<std::size_t>(cell.draw(0, entryCount - 1))).get());
    }
}

void SiteCell::injectOwnerFault()
{
    disturb(cell.owner());
}

void SiteCell::disturb(EntryProcess *entry)
{
    if (entry == nullptr || !entry->isRunning() || entry->isPaused() || entry->isStopping()) {
        return;
    }
    const std::string role = entry == cell.owner() ? " (owner)" : "";
    const Milliseconds duration { cell.draw(100, 4000) };
    switch (cell.draw(0, 3)) {
    case 0:
        cell.record(entry->name(), "is killed" + role);
        entry->kill();
        cell.loop.after(duration, [entry] { entry->start(); });
        return;
    case 1:
        cell.record(entry->name(), "SIGTERM" + role);
        entry->terminate();
        return;
    default:
        cell.record(entry->name(), "is paused for " + std::to_string(duration.count()) + role);
        entry->pause();
        cell.loop.after(duration, [entry] { entry->resume(); });
    }
}

} // namespace auburndoor
