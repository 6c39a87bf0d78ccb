#include "entry/SettingsUpdate.h"

#include "entry/EntrySettings.h"

#include <algorithm>

namespace auburndoor {

std::vector<std::string> updateSettings(EntrySettings &inForce, const EntrySettings &read)
{
    inForce.maxLease = read.maxLease;
    inForce.killGrace = read.killGrace;
    inForce.shutdownGrace = read.shutdownGrace;
    inForce.statusRetention = read.statusRetention;
    inForce.earlyStart = read.earlyStart;
    // What rests on it holds for workers and a directory that follow the change later as well.
    inForce.entryLifetime = std::min(inForce.entryLifetime, read.entryLifetime);
    std::vector<std::string> needRestart;
    const auto compare = [&needRestart](const char *name, bool isSame) {
        if (!isSame) {
            needRestart.emplace_back(name);
        }
    };
    compare("nodeName", inForce.nodeName == read.nodeName);
    compare("failureDomain", inForce.failureDomain == read.failureDomain);
    compare("clients", inForce.clients == read.clients);
    compare("readiness", inForce.readiness == read.readiness);
    compare("peers", inForce.peers == read.peers);
    compare("store", inForce.store == read.store);
    compare("advisor", inForce.advisor == read.advisor);
    compare("processorShare", inForce.processorShare == read.processorShare);
    compare("linkMbps", inForce.linkMbps == read.linkMbps);
    compare("memoryMiB", inForce.memoryMiB == read.memoryMiB);
    compare("maxDescriptors", inForce.maxDescriptors == read.maxDescriptors);
    compare("entryLifetime", inForce.entryLifetime == read.entryLifetime);
    return needRestart;
}

} // namespace auburndoor
