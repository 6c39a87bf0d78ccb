#include "soak/SiteWorkers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace auburndoor {

namespace {

constexpr Milliseconds entryLifetime = 3 * SiteWorkers::reportInterval;
constexpr Milliseconds drainTime { 7000 };
constexpr int zoneCount = 4;

} // namespace

SiteWorkers::SiteWorkers(ProcessCell &cell, RunHistory &history, Milliseconds maxLease, SimulatedWorker::Plan plan)
    : cell_(cell), history_(history), maxLease_(maxLease), plan_(std::move(plan))
{
    removeSilentEntries();
}

void SiteWorkers::addWorkers(int count)
{
    constexpr std::array uptimes { Milliseconds(0), Milliseconds(20000), Milliseconds(864000000) };
    for (int number = 0; number < count; ++number) {
        add({}, nextNumber_++, uptimes.at(static_cast<std::size_t>(cell_.draw(0, 2))));
    }
}

void SiteWorkers::add(const std::string &former, int number, Milliseconds uptime)
{
    constexpr std::array capacities { 4000, 4000, 8000, 2000 };
    const auto &loop = cell_.loop;
    const auto zone = std::to_string(number % zoneCount);
    WorkerEntry entry;
    entry.id = "w" + std::to_string(number);
    entry.service = number % 2 == 0 ? "desk" : "mill";
    if (!former.empty() && cell_.draw(1, 10) <= 8) {
        entry.service = cell_.platform.fleet.worker(former).entry().service == "desk" ? "mill" : "desk";
    }
    entry.failureDomain = "z" + zone;
    entry.labels = { "a", "r" + zone };
    entry.capacity = { capacities.at(static_cast<std::size_t>(cell_.draw(0, 3))), 1 << 20, 0, 0, 0 };
    entry.incarnation = (loop.wallNow() - uptime).count();
    const auto id = entry.id;
    auto &worker = cell_.platform.addWorker(std::move(entry), plan_, former);
    worker.killTime = killGrace;
    worker.maxLease = maxLease_;
    worker.setClock(uptime);
    cell_.platform.workerLink(id).setMode(FaultyLink::Mode::Open);
    cell_.platform.workerLink(id).deliverLate([this] {
        constexpr int shortDelay = 60;
        constexpr int longDelay = 4000;
        return Milliseconds(cell_.draw(0, cell_.draw(0, 2) == 0 ? longDelay : shortDelay));
    });
    members_[id];
    reportRegularly(id);
}

void SiteWorkers::reportRegularly(const std::string &id)
{
    constexpr int maxJitter = 100;
    report(id);
    if (members_.at(id).isUp || !members_.at(id).isDraining) {
        cell_.loop.after(reportInterval + Milliseconds(cell_.draw(-maxJitter, maxJitter)), [this, id] { reportRegularly(id); });
    }
}

bool SiteWorkers::isEntryThere(const std::string &id) const
{
    return cell_.platform.store.row("servers", id) != nullptr;
}

void SiteWorkers::report(const std::string &id)
{
    auto &member = members_.at(id);
    const auto now = cell_.loop.now();
    if (!member.isUp) {
        return;
    }
    ++member.seq;
    if (isStoreDown_ || !member.reachesStore) {
        return;
    }
    if (member.isDraining && !member.drainedAt) {
        constexpr int shortExtra = 800;
        constexpr int longExtra = 6000;
        member.drainedAt = now + drainTime;
        const auto extra = Milliseconds(cell_.draw(0, cell_.draw(0, 7) == 0 ? longExtra : shortExtra));
        cell_.loop.after(drainTime + extra, [this, id] { leave(id); });
    }
    member.lastReportAt = now;
    auto row = cell_.platform.makeWorkerRow(id);
    if (member.isDraining) {
        row["state"] = "draining";
        const auto left = std::chrono::duration_cast<Milliseconds>(*member.drainedAt - now);
        row["remainingMs"] = std::max(left, Milliseconds(0)).count();
    }
    // The entry changes only if more than the number of the report changes.
    if (row != member.lastRow || !isEntryThere(id)) {
        member.lastRow = row;
        row["seq"] = member.seq;
        cell_.platform.store.write("servers", id, row.dump());
    }
}

void SiteWorkers::removeSilentEntries()
{
    constexpr Milliseconds interval { 50 };
    for (const auto &[id, member] : members_) {
        const bool isLapsed = cell_.loop.now() - member.lastReportAt > entryLifetime;
        if (isLapsed && (!isStoreDown_ || areEntriesLapsing_) && isEntryThere(id)) {
            cell_.record(id, "entry expires");
            cell_.platform.store.remove("servers", id);
        }
    }
    cell_.loop.after(interval, [this] { removeSilentEntries(); });
}

void SiteWorkers::setStoreDown(bool isDown, bool lapse)
{
    if (isStoreDown_ && !isDown && !areEntriesLapsing_) {
        // The store has not counted the time in which it was down as silence.
        for (auto &[id, member] : members_) {
            if (member.isUp) {
                member.lastReportAt = cell_.loop.now();
            }
        }
    }
    isStoreDown_ = isDown;
    areEntriesLapsing_ = lapse;
}

void SiteWorkers::drain(const std::string &id)
{
    if (members_.at(id).isDraining) {
        return;
    }
    cell_.record(id, "drains");
    members_.at(id).isDraining = true;
    report(id);
}

void SiteWorkers::endLife(const std::string &id, FaultyLink::Mode mode)
{
    auto &worker = cell_.platform.fleet.worker(id);
    auto &member = members_.at(id);
    worker.settle();
    history_.noteGone(worker);
    worker.restart();
    member.isUp = false;
    member.isFrozen = false;
    ++member.faultNumber;
    cell_.platform.workerLink(id).setMode(FaultyLink::Mode::Reset);
    cell_.platform.workerLink(id).setMode(mode);
}

void SiteWorkers::leave(const std::string &id)
{
    constexpr Milliseconds replacementDelay { 2000 };
    constexpr Milliseconds frozenCheckInterval { 100 };
    auto &member = members_.at(id);
    if (member.isFrozen) {
        cell_.loop.after(frozenCheckInterval, [this, id] { leave(id); });
        return;
    }
    cell_.record(id, "leaves with " + std::to_string(cell_.platform.fleet.worker(id).runs().size()) + " runs");
    const bool isAddressReused = cell_.draw(0, 9) < 6;
    endLife(id, isAddressReused || cell_.draw(0, 1) == 0 ? FaultyLink::Mode::Unreachable : FaultyLink::Mode::Refused);
    if (!isStoreDown_ && member.reachesStore && isEntryThere(id)) {
        cell_.platform.store.remove("servers", id);
    }
    cell_.loop.after(replacementDelay, [this, id, isAddressReused] {
        const auto number = nextNumber_++;
        cell_.record("w" + std::to_string(number), isAddressReused ? "is started at the address of " + id : "is started");
        add(isAddressReused ? id : std::string(), number, Milliseconds(0));
    });
}

void SiteWorkers::crash(const std::string &id, Milliseconds outage, Milliseconds reportDelay)
{
    if (members_.at(id).isDraining) {
        return;
    }
    cell_.record(id, "crashes for " + std::to_string(outage.count()));
    endLife(id, cell_.draw(0, 1) == 0 ? FaultyLink::Mode::Unreachable : FaultyLink::Mode::Refused);
    cell_.loop.after(outage, [this, id, reportDelay] {
        auto &member = members_.at(id);
        member.isUp = true;
        member.isConnected = true;
        member.reachesStore = true;
        member.seq = 0;
        cell_.platform.fleet.worker(id).restart();
        cell_.platform.workerLink(id).setMode(FaultyLink::Mode::Open);
        if (reportDelay > Milliseconds(0)) {
            cell_.loop.after(reportDelay, [this, id] { report(id); });
        } else {
            report(id);
        }
    });
}

void SiteWorkers::cut(const std::string &id, Cut kind, Milliseconds duration)
{
    auto &member = members_.at(id);
    if (!member.isUp || !member.isConnected || !member.reachesStore) {
        return;
    }
    cell_.record(id, nameOf(kind) + " for " + std::to_string(duration.count()));
    member.reachesStore = false;
    member.isConnected = kind == Cut::Store;
    member.isFrozen = kind == Cut::Frozen;
    auto &link = cell_.platform.workerLink(id);
    switch (kind) {
    case Cut::Replies:
        link.setMode(FaultyLink::Mode::OneWay);
        break;
    case Cut::Both:
        link.setMode(FaultyLink::Mode::Unreachable);
        break;
    case Cut::Frozen:
        link.setMode(FaultyLink::Mode::Stalled);
        break;
    case Cut::Store:
        break;
    }
    cell_.loop.after(duration, [this, id, number = ++member.faultNumber] { endCut(id, number); });
}

void SiteWorkers::endCut(const std::string &id, int faultNumber)
{
    auto &member = members_.at(id);
    if (member.faultNumber != faultNumber) {
        return;
    }
    cell_.record(id, "is connected again");
    member.reachesStore = true;
    member.isFrozen = false;
    if (!member.isConnected) {
        member.isConnected = true;
        cell_.platform.workerLink(id).setMode(FaultyLink::Mode::Open);
    }
    report(id);
}

void SiteWorkers::resetConnections(const std::string &id, Milliseconds duration, FaultyLink::Mode mode)
{
    auto &member = members_.at(id);
    if (!member.isUp || !member.isConnected) {
        return;
    }
    cell_.record(id, "connections are reset for " + std::to_string(duration.count()));
    cell_.platform.workerLink(id).setMode(FaultyLink::Mode::Reset);
    if (duration == Milliseconds(0)) {
        cell_.platform.workerLink(id).setMode(FaultyLink::Mode::Open);
        return;
    }
    member.isConnected = false;
    cell_.platform.workerLink(id).setMode(mode);
    cell_.loop.after(duration, [this, id, number = ++member.faultNumber] { endCut(id, number); });
}

std::vector<std::string> SiteWorkers::ids(bool onlyDraining) const
{
    std::vector<std::string> found;
    for (const auto &[id, member] : members_) {
        if (member.isUp && (member.isDraining || !onlyDraining)) {
            found.push_back(id);
        }
    }
    return found;
}

std::string SiteWorkers::nameOf(Cut kind)
{
    switch (kind) {
    case Cut::Replies:
        return "replies and reports are lost";
    case Cut::Both:
        return "is cut off";
    case Cut::Store:
        return "is cut off from the store";
    case Cut::Frozen:
        break;
    }
    return "is frozen";
}

} // namespace auburndoor
