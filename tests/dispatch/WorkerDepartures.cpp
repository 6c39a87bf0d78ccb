#include "dispatch/WorkerDepartures.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace auburndoor {

namespace {

constexpr Milliseconds reportInterval { 1500 };
constexpr Milliseconds entryLifetime { 4500 };
constexpr Milliseconds expiryInterval { 50 };

} // namespace

WorkerDepartures::WorkerDepartures(OwnerFixture &cell, Draw draw) : cell_(cell), draw_(std::move(draw))
{
    cell_.timers.after(expiryInterval, [this] { expireEntries(); });
}

void WorkerDepartures::addReporter(const std::string &id)
{
    reporters_[id].lastReportAt = cell_.timers.now();
    cell_.timers.after(Milliseconds(draw_(0, 1500)), [this, id] { report(id); });
}

void WorkerDepartures::disturb()
{
    if (isSettled_) {
        return;
    }
    switch (draw_(0, 8)) {
    case 0:
    case 1:
        drain(drawWorker());
        break;
    case 2:
    case 3:
    case 4:
        cutOff(drawWorker());
        break;
    case 5:
        restart(drawWorker());
        break;
    default:
        break;
    }
}

void WorkerDepartures::settle()
{
    isSettled_ = true;
    for (auto &[id, reporter] : reporters_) {
        endCut(id);
        comeBack(id);
        report(id);
    }
}

bool WorkerDepartures::reachesStore(const Reporter &reporter) const
{
    return !reporter.isCutOffFromStore && !cell_.store.isDown();
}

void WorkerDepartures::report(const std::string &id)
{
    auto &reporter = reporters_[id];
    const auto &worker = cell_.fleet.worker(id);
    const bool isRunning = !worker.hasExited && !worker.isReplaced;
    if (isRunning && reachesStore(reporter)) {
        cell_.list(id, reporter.isDraining);
        reporter.lastReportAt = cell_.timers.now();
        reporter.isListed = true;
        if (reporter.isDraining && !reporter.leavesAt) {
            reporter.leavesAt = cell_.timers.now() + Milliseconds(draw_(6800, 7600) + draw_(0, 4) / 4 * draw_(0, 8000));
            cell_.timers.after(std::chrono::duration_cast<Milliseconds>(*reporter.leavesAt - cell_.timers.now()),
                               [this, id] { leave(id); });
        }
    }
    if (!isSettled_) {
        scheduleReport(id);
    }
}

void WorkerDepartures::scheduleReport(const std::string &id)
{
    cell_.timers.after(reportInterval + Milliseconds(draw_(-50, 50)), [this, id] {
        if (!isSettled_) {
            report(id);
        }
    });
}

void WorkerDepartures::expireEntries()
{
    for (auto &[id, reporter] : reporters_) {
        if (!isSettled_ && reporter.isListed && cell_.timers.now() - reporter.lastReportAt >= entryLifetime) {
            reporter.isListed = false;
            cell_.unlist(id);
        }
    }
    cell_.timers.after(expiryInterval, [this] { expireEntries(); });
}

void WorkerDepartures::drain(const std::string &id)
{
    auto &reporter = reporters_[id];
    if (std::exchange(reporter.isDraining, true)) {
        return;
    }
    EventLog::write("test.draining", { { "worker", id } });
    // Its next report is made at once; the regular ones go on.
    if (reachesStore(reporter)) {
        cell_.list(id, true);
        reporter.lastReportAt = cell_.timers.now();
        reporter.isListed = true;
    }
}

void WorkerDepartures::leave(const std::string &id)
{
    auto &reporter = reporters_[id];
    // A restart in between has ended the departure.
    if (isSettled_ || !reporter.leavesAt || *reporter.leavesAt > cell_.timers.now()) {
        return;
    }
    EventLog::write("test.left", { { "worker", id } });
    auto &worker = cell_.fleet.worker(id);
    worker.restart();
    worker.isReplaced = draw_(0, 2) == 0;
    worker.hasExited = !worker.isReplaced;
    if (reachesStore(reporter) && reporter.isListed) {
        reporter.isListed = false;
        cell_.unlist(id);
    }
    cell_.timers.after(Milliseconds(draw_(200, 9000)), [this, id] { comeBack(id); });
}

void WorkerDepartures::comeBack(const std::string &id)
{
    auto &reporter = reporters_[id];
    cell_.fleet.worker(id).hasExited = false;
    cell_.fleet.worker(id).isReplaced = false;
    reporter.isDraining = false;
    reporter.leavesAt.reset();
}

void WorkerDepartures::restart(const std::string &id)
{
    auto &worker = cell_.fleet.worker(id);
    if (worker.hasExited || worker.isReplaced) {
        return;
    }
    EventLog::write("test.restarted", { { "worker", id } });
    worker.restart();
    comeBack(id);
}

void WorkerDepartures::cutOff(const std::string &id)
{
    auto &worker = cell_.fleet.worker(id);
    auto &reporter = reporters_[id];
    const int cut = ++reporter.cuts;
    enum Kind { FromAll, FromOwners, FromStore, RepliesLost };
    const int kind = std::max<int>(FromAll, draw_(FromAll - 1, RepliesLost));
    const Milliseconds duration(draw_(300, 6000));
    // A link to the owners may fail later than the one to the store.
    const Milliseconds delay(kind == FromAll && draw_(0, 3) == 0 ? draw_(0, 5000) : 0);
    EventLog::write("test.cut_off", { { "worker", id }, { "kind", kind }, { "ms", duration.count() }, { "delay", delay.count() } });
    endCut(id);
    reporter.isCutOffFromStore = kind != FromOwners;
    worker.losesReplies = kind == RepliesLost;
    cell_.timers.after(delay, [this, id, cut, kind] {
        if (reporters_[id].cuts == cut && !isSettled_) {
            cell_.fleet.worker(id).isCutOff = kind == FromAll || kind == FromOwners;
        }
    });
    cell_.timers.after(delay + duration, [this, id, cut] {
        if (reporters_[id].cuts == cut) {
            endCut(id);
        }
    });
}

void WorkerDepartures::endCut(const std::string &id)
{
    auto &worker = cell_.fleet.worker(id);
    worker.isCutOff = false;
    worker.losesReplies = false;
    reporters_[id].isCutOffFromStore = false;
}

std::string WorkerDepartures::drawWorker()
{
    std::vector<std::string> ids;
    for (const auto &[id, reporter] : reporters_) {
        constexpr std::size_t weightOfDrainingWorkers = 4;
        ids.insert(ids.end(), reporter.isDraining ? weightOfDrainingWorkers : 1, id);
    }
    return ids[static_cast<std::size_t>(draw_(0, static_cast<int>(ids.size()) - 1))];
}

} // namespace auburndoor
