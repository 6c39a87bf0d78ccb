#include "Report.h"
#include "Scenarios.h"

#include "placement/BestFitPlacer.h"
#include "placement/CapacityLedger.h"
#include "placement/FirstFitPlacer.h"
#include "placement/OwnerChoice.h"
#include "placement/RandomPlacer.h"

#include <algorithm>
#include <memory>
#include <queue>
#include <random>

using namespace auburndoor;

namespace {

const ServiceId service("vitrina");
const Resources capacity { 128'000, 524'288, 8, 8, 64 };

Resources makeResourceNeed(int accelerators)
{
    return { 12'000LL * accelerators, 32'768LL * accelerators, accelerators, 1, 1 };
}

PlacementNeed makePlacementNeed(int accelerators)
{
    return { service, makeResourceNeed(accelerators), false, 0, {} };
}

struct PackingResult
{
    /** Ratio of the accelerator time of the placed tasks to that of all arriving tasks. */
    double usedShare = 0;
    /** Mean number of entirely free workers at an arrival, which is the size of the largest gang that would fit. */
    double meanFreeWorkers = 0;
    /** Share of the requests that are placed at an owner other than the instance at which they arrived. */
    double forwardedShare = 0;
};

/** A pool whose workers are divided among several owners; the owner selection policy chooses the owner that places a request. */
class MultiOwnerPool
{
public:
    MultiOwnerPool(const Placer &placer, int workers, int owners, OwnerSelectionPolicy selectionPolicy)
        : selectionPolicy_(selectionPolicy)
    {
        for (int owner = 0; owner < owners; ++owner) {
            ledgers_.push_back(std::make_unique<CapacityLedger>(placer));
        }
        for (int index = 0; index < workers; ++index) {
            const auto name = std::to_string(index);
            ledgers_[static_cast<std::size_t>(index % owners)]->addWorker(
                { { WorkerId("w" + name), service, FailureDomainId("d"), capacity, {}, 0, true }, {}, ShardId("d/0"), 1 }, {});
        }
    }

    struct Placement
    {
        std::size_t owner = 0;
        Reservation reservation;
    };

    std::optional<Placement> place(std::size_t entryInstance, int accelerators, const std::string &key)
    {
        std::vector<OwnerCapacity> ownerCapacities;
        for (std::size_t owner = 0; owner < ledgers_.size(); ++owner) {
            const auto need = makePlacementNeed(accelerators);
            ownerCapacities.push_back({ ledgers_[owner]->freePlaces(need),
                                        ledgers_[owner]->partialPlaces(need),
                                        owner == entryInstance % ledgers_.size() });
        }
        const auto owner = chooseOwner(ownerCapacities, selectionPolicy_);
        if (!owner) {
            return std::nullopt;
        }
        const auto reservation = ledgers_[*owner]->reserve(makePlacementNeed(accelerators),
                                                           { key, TeamId("t"), makeResourceNeed(accelerators), false });
        forwardedCount_ += ownerCapacities[*owner].isLocal ? 0 : 1;
        return Placement { *owner, *reservation };
    }

    void release(const Placement &place)
    {
        ledgers_[place.owner]->release(place.reservation.shard, place.reservation.worker, place.reservation.key);
    }

    int countFreeWorkers() const
    {
        int count = 0;
        for (const auto &ledger : ledgers_) {
            count += ledger->freePlaces(makePlacementNeed(static_cast<int>(capacity.accelerators)));
        }
        return count;
    }

    int forwardedCount() const
    {
        return forwardedCount_;
    }

private:
    const OwnerSelectionPolicy selectionPolicy_;
    std::vector<std::unique_ptr<CapacityLedger>> ledgers_;
    int forwardedCount_ = 0;
};

/** Simulates tasks of 1, 2, 4 and 8 accelerators that arrive at random instances; a task without capacity is dropped. */
PackingResult simulateChurn(const Placer &placer,
                            int workers,
                            int owners,
                            OwnerSelectionPolicy selectionPolicy,
                            double load,
                            int arrivals,
                            std::uint64_t seed)
{
    MultiOwnerPool pool(placer, workers, owners, selectionPolicy);
    std::mt19937_64 engine(seed);
    std::uniform_real_distribution<double> unitDistribution(0, 1);
    constexpr double meanAccelerators = 0.7 * 1 + 0.15 * 2 + 0.1 * 4 + 0.05 * 8;
    const double rate = load * static_cast<double>(workers * capacity.accelerators) / meanAccelerators;
    std::exponential_distribution<double> interarrivalTime(rate);
    std::exponential_distribution<double> runTime(1);
    using Departure = std::pair<double, std::size_t>;
    std::priority_queue<Departure, std::vector<Departure>, std::greater<>> departures;
    std::vector<MultiOwnerPool::Placement> places;
    double now = 0;
    double offeredAcceleratorTime = 0;
    double placedAcceleratorTime = 0;
    double freeWorkerSum = 0;
    for (int arrival = 0; arrival < arrivals; ++arrival) {
        now += interarrivalTime(engine);
        while (!departures.empty() && departures.top().first <= now) {
            pool.release(places[departures.top().second]);
            departures.pop();
        }
        const auto draw = unitDistribution(engine);
        const int accelerators = draw < 0.7 ? 1 : (draw < 0.85 ? 2 : (draw < 0.95 ? 4 : 8));
        const auto duration = runTime(engine);
        const auto instance = engine() % 8;
        freeWorkerSum += pool.countFreeWorkers();
        offeredAcceleratorTime += accelerators * duration;
        if (auto place = pool.place(instance, accelerators, std::to_string(arrival))) {
            placedAcceleratorTime += accelerators * duration;
            departures.emplace(now + duration, places.size());
            places.push_back(*place);
        }
    }
    return { placedAcceleratorTime / offeredAcceleratorTime,
             freeWorkerSum / arrivals,
             static_cast<double>(pool.forwardedCount()) / arrivals };
}

void comparePacking(Report &report, int workers, double load, int arrivals, std::uint64_t seed)
{
    const BestFitPlacer bestFitPlacer;
    const FirstFitPlacer firstFitPlacer;
    const RandomPlacer randomPlacer(seed);
    const auto name = "packing, " + std::to_string(workers) + " workers, load " + std::to_string(load).substr(0, 4) + ", ";
    const auto run = [&](const Placer &placer, int owners, OwnerSelectionPolicy selectionPolicy) {
        return simulateChurn(placer, workers, owners, selectionPolicy, load, arrivals, seed);
    };
    const auto singlePlacerResult = run(bestFitPlacer, 1, OwnerSelectionPolicy::LocalFirst);
    const auto multiOwnerResult = run(bestFitPlacer, 8, OwnerSelectionPolicy::Tightest);
    const auto addBaseline = [&](const std::string &policy, const PackingResult &result) {
        report.add(name + policy + ": used over offered", result.usedShare, "");
        report.add(name + policy + ": largest gang", result.meanFreeWorkers, "workers");
        report.add(name + policy + ": forwarded", result.forwardedShare, "");
    };
    addBaseline("single placer", singlePlacerResult);
    addBaseline("8 owners, first fit", run(firstFitPlacer, 8, OwnerSelectionPolicy::LocalFirst));
    addBaseline("8 owners, random", run(randomPlacer, 8, OwnerSelectionPolicy::LocalFirst));
    addBaseline("8 owners, best fit, local first", run(bestFitPlacer, 8, OwnerSelectionPolicy::LocalFirst));
    addBaseline("8 owners, best fit, local then tightest", run(bestFitPlacer, 8, OwnerSelectionPolicy::LocalThenTightest));
    report.add(name + "8 owners, best fit, tightest: forwarded", multiOwnerResult.forwardedShare, "");
    // Target: "Packing at least 0.95 of the single placer's".
    constexpr double minimumRatio = 0.95;
    report.addAtLeast(name + "8 owners, best fit, tightest: used over offered",
                      multiOwnerResult.usedShare,
                      "",
                      minimumRatio * singlePlacerResult.usedShare);
    report.addAtLeast(name + "8 owners, best fit, tightest: largest gang",
                      multiOwnerResult.meanFreeWorkers,
                      "workers",
                      minimumRatio * singlePlacerResult.meanFreeWorkers);
}

} // namespace

void measurePacking(Report &report, std::uint64_t seed, bool isQuick)
{
    const int arrivals = isQuick ? 5000 : 20'000;
    comparePacking(report, 13, 0.7, arrivals, seed);
    comparePacking(report, 13, 1.0, arrivals, seed);
    comparePacking(report, 200, 0.7, arrivals, seed);
}
