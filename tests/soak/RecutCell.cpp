#include "soak/RecutCell.h"

#include "JobCodec.h"
#include "fakes/JobIds.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace auburndoor {

namespace {

constexpr int entryCount = 8;
constexpr int workerCount = 48;
constexpr Milliseconds maxLease { 10000 };
constexpr Milliseconds cutDuration { 9000 };

EntryOptions makeOptions(int number)
{
    constexpr int domainCount = 4;
    EntryOptions options;
    options.failureDomain = "z" + std::to_string(number % domainCount);
    options.maxLease = maxLease;
    options.killGrace = SiteWorkers::killGrace;
    options.reportInterval = SiteWorkers::reportInterval;
    return options;
}

std::string makeDesiredState()
{
    const auto makeRoute = [](const std::string &name, const std::string &service) {
        return R"({"name":")" + name + R"(","host":"cell.example","pathPrefix":"/)" + name + R"(/","service":")" + service
               + R"(","priority":1,"maxAttempts":5,"slackFactor":3,"targetLatencyMs":500})";
    };
    return R"({"version":100,"limits":{"maxBodyBytes":65536},"services":[{"name":"desk"},{"name":"mill"}],"routes":[)"
           + makeRoute("jobs", "desk") + "," + makeRoute("forms", "mill") + "]}";
}

} // namespace

RecutCell::RecutCell(unsigned seed, const std::string &folder)
    : cell(seed, entryCount, 0, folder, {}, makeOptions)
    , history_(cell.platform)
    , workers_(cell, history_, maxLease, [this](const TaskName &, std::int64_t) { return planWork(); })
    , clients_(cell.loop, cell.clientAddresses(), cell.random)
{
    constexpr Milliseconds feedInterval { 10 };
    cell.platform.feedInterval = feedInterval;
    cell.platform.store.write("op", "config", makeDesiredState());
    cell.platform.onStarted = [this](const StartCommand &) { ++startCount; };
    cell.platform.onTakeover = [this](const std::string &owner) { cell.record(owner, "has taken over"); };
    clients_.onAccepted = [this](const std::string &id) { acceptedJobs_.push_back(id); };
    workers_.addWorkers(workerCount);
}

SimulatedWork RecutCell::planWork()
{
    const bool isLong = cell.draw(0, 1) == 0;
    return { Milliseconds(isLong ? cell.draw(8000, 14000) : cell.draw(100, 2000)), RunOutcome::Done };
}

std::size_t RecutCell::acceptedJobCount() const
{
    return acceptedJobs_.size();
}

std::vector<std::string> RecutCell::run(Milliseconds faultDuration)
{
    constexpr Milliseconds startLimit { 10000 };
    constexpr Milliseconds warmUp { 3000 };
    // From the begin of a round to the end of its cut, and some time for late starts.
    constexpr Milliseconds roundDuration { 14000 };
    if (!cell.runUntil([this] { return cell.owner() != nullptr; }, startLimit)) {
        cell.violations.emplace_back("no process has taken the cell over");
        return cell.violations;
    }
    submitNext();
    queryNext();
    cell.runFor(warmUp);
    beginRound();
    cell.loop.after(faultDuration, [this] { isBeginningRounds_ = false; });
    const auto end = cell.loop.now() + faultDuration + roundDuration;
    const auto isOver = [this, end] {
        cell.restartStoppedProcesses();
        return cell.loop.now() >= end;
    };
    cell.runUntil(isOver, faultDuration + roundDuration);
    return explainViolations();
}

std::vector<std::string> RecutCell::explainViolations() const
{
    std::vector<std::string> logFiles;
    for (const auto &entry : cell.entries) {
        logFiles.push_back(entry->logFile());
    }
    auto violations = cell.violations;
    violations.insert(violations.end(), clients_.violations.begin(), clients_.violations.end());
    const auto &deadlines = cell.platform.excessiveDeadlines;
    violations.insert(violations.end(), deadlines.begin(), deadlines.end());
    for (const auto &violation : cell.platform.checker.violations) {
        violations.push_back(history_.explain(violation, logFiles));
    }
    return violations;
}

void RecutCell::submitNext()
{
    const auto id = jobIdOf(++lastJobNumber_);
    const nlohmann::json step {
        { "count", cell.draw(1, 4) }, { "cpu", cell.draw(1, 4) * 250 }, { "memMb", 10 }, { "estimateMs", 1500 }
    };
    const auto body = nlohmann::json { { "spec", "payload" }, { "taskGroups", { step } } }.dump();
    std::string error;
    cell.platform.checker.addJob(id, platform::readJob(body, error).value());
    clients_.submit(id, body, cell.draw(0, 1) == 0 ? "/jobs/" : "/forms/");
    cell.loop.after(Milliseconds(cell.draw(40, 240)), [this] { submitNext(); });
}

void RecutCell::queryNext()
{
    constexpr Milliseconds interval { 100 };
    if (!acceptedJobs_.empty()) {
        clients_.query(acceptedJobs_.at(static_cast<std::size_t>(cell.draw(0, static_cast<int>(acceptedJobs_.size()) - 1))));
    }
    cell.loop.after(interval, [this] { queryNext(); });
}

std::vector<std::string> RecutCell::pickWorkers(int count)
{
    auto ids = workers_.ids(false);
    std::shuffle(ids.begin(), ids.end(), cell.random);
    ids.resize(std::min(ids.size(), static_cast<std::size_t>(count)));
    return ids;
}

void RecutCell::beginRound()
{
    if (!isBeginningRounds_) {
        return;
    }
    ++roundCount;
    const auto ids = pickWorkers(cell.draw(3, 8));
    // In a third of the rounds the workers return so soon that requests to their earlier incarnations still arrive.
    const Milliseconds outage { cell.draw(0, 2) == 0 ? 0 : 600 };
    const int longestOutageChange = outage > Milliseconds(0) ? 200 : 0;
    // In half of the rounds the directory learns late of the restart.
    const int longestReportDelay = cell.draw(0, 1) == 0 ? 1200 : 200;
    for (const auto &id : ids) {
        ++restartCount;
        const auto change = cell.draw(-longestOutageChange, longestOutageChange);
        workers_.crash(id, outage + Milliseconds(change), Milliseconds(cell.draw(0, longestReportDelay)));
    }
    const auto untilOwnerFault = outage + Milliseconds(cell.draw(1000, 2000));
    const auto untilCut = untilOwnerFault + Milliseconds(cell.draw(300, 1000));
    const int cutKind = cell.draw(0, 5);
    cell.loop.after(untilOwnerFault, [this] { disturbOwner(); });
    cell.loop.after(untilCut, [this, ids, cutKind] {
        for (const auto &id : ids) {
            cutOff(id, cutKind);
        }
    });
    cell.loop.after(Milliseconds(cell.draw(2000, 5000)), [this] { beginRound(); });
}

void RecutCell::disturbOwner()
{
    auto *owner = cell.owner();
    // Of 10 rounds, 6 kill the owner, and one leaves it alone.
    const int kind = cell.draw(0, 9);
    if (owner == nullptr || !owner->isRunning() || owner->isPaused() || owner->isStopping()) {
        return;
    }
    const Milliseconds duration { cell.draw(300, 3000) };
    switch (kind) {
    case 0:
        return;
    case 1:
        cell.record(owner->name(), "SIGTERM; it is the owner");
        owner->terminate();
        return;
    case 2:
    case 3:
        cell.record(owner->name(), "is paused for " + std::to_string(duration.count()) + "; it is the owner");
        owner->pause();
        cell.loop.after(duration, [owner] { owner->resume(); });
        return;
    default:
        cell.record(owner->name(), "is killed; it is the owner");
        owner->kill();
        cell.loop.after(duration, [owner] { owner->start(); });
    }
}

void RecutCell::cutOff(const std::string &id, int kind)
{
    using Mode = FaultyLink::Mode;
    constexpr std::array modes { Mode::Reset, Mode::Refused, Mode::Unreachable };
    switch (kind) {
    case 0:
        workers_.cut(id, SiteWorkers::Cut::Replies, cutDuration);
        return;
    case 1:
        workers_.resetConnections(id, cutDuration, modes.at(static_cast<std::size_t>(cell.draw(0, 2))));
        return;
    default:
        workers_.cut(id, SiteWorkers::Cut::Both, cutDuration);
    }
}

} // namespace auburndoor
