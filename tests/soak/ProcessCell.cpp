#include "soak/ProcessCell.h"

#include "entry/EpochRow.h"

#include <algorithm>
#include <filesystem>

namespace auburndoor {

ProcessCell::ProcessCell(unsigned seed,
                         int entryCount,
                         int workerCount,
                         const std::string &folder,
                         const SimulatedWorker::Plan &plan,
                         const std::function<EntryOptions(int)> &optionsOf)
    : random(seed), platform(loop), startedAt_(loop.now())
{
    constexpr int coresPerWorker = 64;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    writeDesiredState();
    platform.onStarted = [](const StartCommand &) {};
    for (int number = 0; number < workerCount; ++number) {
        platform.addWorker("w" + std::to_string(number), coresPerWorker, plan);
    }
    for (int number = 0; number < entryCount; ++number) {
        const auto storeAddress = platform.addStoreClient(EntryProcess::nameOf(number));
        const auto options = optionsOf ? optionsOf(number) : EntryOptions();
        entries.push_back(std::make_unique<EntryProcess>(loop, number, storeAddress, folder, options));
        entries.back()->start();
    }
}

void ProcessCell::runFor(Milliseconds duration)
{
    loop.after(duration, [this] { loop.stop(); });
    loop.run();
}

bool ProcessCell::runUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    constexpr Milliseconds interval { 50 };
    for (const auto end = loop.now() + limit; !condition() && loop.now() < end;) {
        runFor(interval);
    }
    return condition();
}

void ProcessCell::writeDesiredState()
{
    const auto version = std::to_string(++desiredStateVersion_);
    platform.store.write("op",
                         "config",
                         R"({"version":)" + version + R"(,"limits":{"maxBodyBytes":65536},"services":[{"name":"desk"}],)"
                             + R"("routes":[{"name":"jobs","host":"cell.example","pathPrefix":"/jobs/","service":"desk",)"
                             + R"("priority":1,"maxAttempts":3,"slackFactor":3,"targetLatencyMs":500}]})");
    record("store", "desired state " + version);
}

void ProcessCell::restartStoppedProcesses()
{
    for (const auto &entry : entries) {
        if (!entry->isRunning() || !entry->isStopping()) {
            continue;
        }
        if (!entry->restartIfStopped(loop.now())) {
            violations.push_back(entry->name() + " did not exit within its grace period after SIGTERM");
            entry->kill();
            entry->start();
        }
        if (!entry->isStopping()) {
            record(entry->name(), "has exited and is started again");
        }
    }
}

EntryProcess *ProcessCell::owner() const
{
    const auto *row = platform.store.row("cell", "epoch");
    if (row == nullptr) {
        return nullptr;
    }
    const auto name = EpochRow::read(*row).owner;
    const auto found = std::find_if(entries.begin(), entries.end(), [&name](const auto &entry) { return entry->name() == name; });
    return found == entries.end() ? nullptr : found->get();
}

std::vector<Address> ProcessCell::clientAddresses() const
{
    std::vector<Address> addresses;
    for (const auto &entry : entries) {
        addresses.push_back(entry->clientAddress());
    }
    return addresses;
}

int ProcessCell::draw(int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random);
}

void ProcessCell::record(const std::string &process, const std::string &what)
{
    const auto at = std::chrono::duration_cast<Milliseconds>(loop.now() - startedAt_);
    timeline.push_back(std::to_string(at.count()) + " | " + process + " | " + what);
}

} // namespace auburndoor
