#include "dispatch/PossibleCrashes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburndoor {

namespace {

// A crashed worker is back within seconds; one that is away for longer was most likely replaced.
constexpr Milliseconds retention { 60000 };

} // namespace

void PossibleCrashes::add(WorkerCrash crash, TimePoint now)
{
    if (crash.runs.empty()) {
        return;
    }
    for (auto &[worker, entries] : entries_) {
        std::erase_if(entries, [now](const Entry &entry) { return now - entry.addedAt > retention; });
    }
    std::erase_if(entries_, [](const auto &item) { return item.second.empty(); });
    auto &entries = entries_[crash.worker];
    entries.push_back({ std::move(crash), now });
}

std::vector<WorkerCrash> PossibleCrashes::take(const std::string &worker, std::int64_t incarnation, TimePoint pollSentAt)
{
    const auto found = entries_.find(worker);
    if (found == entries_.end() || incarnation == 0) {
        return {};
    }
    std::vector<WorkerCrash> crashes;
    std::erase_if(found->second, [&](Entry &entry) {
        if (entry.addedAt > pollSentAt) {
            return false;
        }
        if (entry.crash.incarnation < incarnation) {
            crashes.push_back(std::move(entry.crash));
        }
        return true;
    });
    if (found->second.empty()) {
        entries_.erase(found);
    }
    return crashes;
}

std::vector<WorkerCrash> PossibleCrashes::takeReplaced(const std::string &worker)
{
    std::vector<WorkerCrash> crashes;
    if (const auto found = entries_.find(worker); found != entries_.end()) {
        for (auto &entry : found->second) {
            crashes.push_back(std::move(entry.crash));
        }
        entries_.erase(found);
    }
    return crashes;
}

std::vector<WorkerCrash> PossibleCrashes::takeReplaced(const Address &address, const std::string &newWorker)
{
    std::vector<std::string> replaced;
    for (const auto &[worker, entries] : entries_) {
        if (worker != newWorker && entries.back().crash.address == address) {
            replaced.push_back(worker);
        }
    }
    std::vector<WorkerCrash> crashes;
    for (const auto &worker : replaced) {
        auto ofWorker = takeReplaced(worker);
        std::move(ofWorker.begin(), ofWorker.end(), std::back_inserter(crashes));
    }
    return crashes;
}

} // namespace auburndoor
