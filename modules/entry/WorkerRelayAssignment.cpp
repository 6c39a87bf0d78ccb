#include "entry/WorkerRelayAssignment.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <tuple>

namespace auburndoor {

namespace {

// A busy worker takes about 3 calls a second of some 80 us each, so this many take about a tenth of the relay's share.
constexpr double workersPerCore = 400;
// Each start carries the payload of its job, up to 4 kB, and a burst starts several tasks on each worker: over a slow link the
// commands of one job share a batch to a relay, which names the payload once.
constexpr double directWorkersPerMbps = 20;

/** A uniformly distributed number in (0, 1) for a pair of a worker and a relay. */
double draw(std::uint64_t workerHash, std::uint64_t relayHash)
{
    // The finalizer of SplitMix64: std::hash of similar texts may differ in few bits.
    auto bits = workerHash ^ (relayHash + 0x9e3779b97f4a7c15ULL + (workerHash << 6));
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
    bits ^= bits >> 31;
    return (static_cast<double>(bits >> 11) + 0.5) / 9007199254740992.0;
}

/** A relay that gets workers. */
struct ChosenRelay
{
    std::size_t position = 0;
    std::uint64_t hash = 0;
    std::size_t room = 0;
    double weight = 0;
};

using ChosenRelays = std::vector<ChosenRelay>;

/** The positions of the relays, the preferred ones first. */
std::vector<std::size_t> sortByPreference(const std::vector<WorkerRelayAssignment::Relay> &relays)
{
    std::vector<std::size_t> positions(relays.size());
    for (std::size_t position = 0; position < relays.size(); ++position) {
        positions[position] = position;
    }
    const std::hash<std::string> hash;
    std::sort(positions.begin(), positions.end(), [&](std::size_t left, std::size_t right) {
        const auto &first = relays[left];
        const auto &second = relays[right];
        return std::tuple(-first.processorShare, !first.isInUse, hash(first.address.text()))
               < std::tuple(-second.processorShare, !second.isInUse, hash(second.address.text()));
    });
    return positions;
}

/** Chooses the relays of each failure domain: enough for its workers. */
std::map<std::string, ChosenRelays> choose(const std::vector<WorkerRelayAssignment::Relay> &relays,
                                           const std::vector<WorkerRelayAssignment::Worker> &workers)
{
    std::map<std::string, std::size_t> unserved;
    for (const auto &worker : workers) {
        ++unserved[worker.failureDomain];
    }
    std::map<std::string, ChosenRelays> chosen;
    std::vector<std::size_t> spare;
    const auto take = [&](std::size_t position, std::size_t &wanted) {
        const auto &relay = relays[position];
        const auto room = WorkerRelayAssignment::capacity(relay.processorShare);
        chosen[relay.failureDomain].push_back(
            { position, std::hash<std::string>()(relay.address.text()), room, static_cast<double>(room) });
        wanted -= std::min(wanted, room);
    };
    for (const auto position : sortByPreference(relays)) {
        auto &wanted = unserved[relays[position].failureDomain];
        if (wanted > 0) {
            take(position, wanted);
        } else {
            spare.push_back(position);
        }
    }
    std::size_t left = 0;
    for (const auto &[domain, count] : unserved) {
        left += count;
    }
    for (auto next = spare.begin(); next != spare.end() && left > 0; ++next) {
        take(*next, left);
    }
    return chosen;
}

/** The relay with room that the worker prefers; null if none has room. */
ChosenRelay *findBest(ChosenRelays &relays, std::uint64_t workerHash)
{
    ChosenRelay *best = nullptr;
    double bestScore = 0;
    for (auto &relay : relays) {
        // Weighted rendezvous hashing: a relay gets workers in proportion to its weight.
        const auto score = relay.weight / -std::log(draw(workerHash, relay.hash));
        if (relay.room > 0 && score > bestScore) {
            best = &relay;
            bestScore = score;
        }
    }
    return best;
}

} // namespace

std::size_t WorkerRelayAssignment::directCapacity(double linkMbps)
{
    constexpr double maxLinkMbps = 1e6;
    return static_cast<std::size_t>(std::clamp(linkMbps, 0.0, maxLinkMbps) * directWorkersPerMbps);
}

std::size_t WorkerRelayAssignment::capacity(double processorShare)
{
    return static_cast<std::size_t>(std::clamp(processorShare, 0.0, 1.0) * workersPerCore);
}

std::vector<std::optional<std::size_t>> WorkerRelayAssignment::assign(const std::vector<Relay> &relays,
                                                                      const std::vector<Worker> &workers)
{
    auto chosen = choose(relays, workers);
    std::vector<std::optional<std::size_t>> result(workers.size());
    std::vector<std::size_t> elsewhere;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto found = chosen.find(workers[index].failureDomain);
        const auto workerHash = std::hash<std::string>()(workers[index].id);
        auto *best = found == chosen.end() ? nullptr : findBest(found->second, workerHash);
        if (best == nullptr) {
            elsewhere.push_back(index);
            continue;
        }
        --best->room;
        result[index] = best->position;
    }
    for (const auto index : elsewhere) {
        for (auto &[domain, domainRelays] : chosen) {
            if (auto *best = findBest(domainRelays, std::hash<std::string>()(workers[index].id))) {
                --best->room;
                result[index] = best->position;
                break;
            }
        }
    }
    return result;
}

} // namespace auburndoor
