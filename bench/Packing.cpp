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

Resources needOf(int accelerators)
{
    return { 12'000LL * accelerators, 32'768LL * accelerators, accelerators, 1, 1 };
}

PlacementNeed placementOf(int accelerators)
{
    return { service, needOf(accelerators), false, 0, {} };
}

struct Packing
{
    /** Accelerator time in use over accelerator time offered, where the offer equals the capacity. */
    double carried = 0;
    /** Whole workers that a gang gets on average. */
    double largestGang = 0;
    /** Share of the requests that are placed at another owner. */
    double forwarded = 0;
};

/** A pool whose workers belong to several owners; requests try the entry instance's own workers, then the peer with the most room.
 */
class OwnedPool
{
public:
    OwnedPool(const Placer &placer, int workers, int owners, OwnerSelectionPolicy rule) : rule_(rule)
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

    struct Place
    {
        std::size_t owner = 0;
        Reservation reservation;
    };

    std::optional<Place> place(std::size_t entryInstance, int accelerators, const std::string &key)
    {
        std::vector<OwnerCapacity> rooms;
        for (std::size_t owner = 0; owner < ledgers_.size(); ++owner) {
            const auto need = placementOf(accelerators);
            rooms.push_back({ ledgers_[owner]->freePlaces(need),
                              ledgers_[owner]->partialPlaces(need),
                              owner == entryInstance % ledgers_.size() });
        }
        const auto owner = chooseOwner(rooms, rule_);
        if (!owner) {
            return std::nullopt;
        }
        const auto reservation = ledgers_[*owner]->reserve(placementOf(accelerators),
                                                           { key, TeamId("t"), needOf(accelerators), false });
        hops_ += rooms[*owner].isLocal ? 0 : 1;
        return Place { *owner, *reservation };
    }

    void release(const Place &place)
    {
        ledgers_[place.owner]->release(place.reservation.shard, place.reservation.worker, place.reservation.key);
    }

    int wholeWorkers() const
    {
        int count = 0;
        for (const auto &ledger : ledgers_) {
            count += ledger->freePlaces(placementOf(static_cast<int>(capacity.accelerators)));
        }
        return count;
    }

    int hops() const
    {
        return hops_;
    }

private:
    const OwnerSelectionPolicy rule_;
    std::vector<std::unique_ptr<CapacityLedger>> ledgers_;
    int hops_ = 0;
};

/** Tasks of 1, 2, 4 and 8 accelerators arrive at random instances and leave again; those without room are lost. */
Packing measureChurn(const Placer &placer,
                     int workers,
                     int owners,
                     OwnerSelectionPolicy rule,
                     double load,
                     int arrivals,
                     std::uint64_t seed)
{
    OwnedPool pool(placer, workers, owners, rule);
    std::mt19937_64 engine(seed);
    std::uniform_real_distribution<double> unit(0, 1);
    constexpr double meanAccelerators = 0.7 * 1 + 0.15 * 2 + 0.1 * 4 + 0.05 * 8;
    const double rate = load * static_cast<double>(workers * capacity.accelerators) / meanAccelerators;
    std::exponential_distribution<double> gap(rate);
    std::exponential_distribution<double> runTime(1);
    using Departure = std::pair<double, std::size_t>;
    std::priority_queue<Departure, std::vector<Departure>, std::greater<>> departures;
    std::vector<OwnedPool::Place> places;
    double now = 0;
    double offered = 0;
    double carried = 0;
    double gangs = 0;
    for (int arrival = 0; arrival < arrivals; ++arrival) {
        now += gap(engine);
        while (!departures.empty() && departures.top().first <= now) {
            pool.release(places[departures.top().second]);
            departures.pop();
        }
        const auto draw = unit(engine);
        const int accelerators = draw < 0.7 ? 1 : (draw < 0.85 ? 2 : (draw < 0.95 ? 4 : 8));
        const auto duration = runTime(engine);
        const auto instance = engine() % 8;
        gangs += pool.wholeWorkers();
        offered += accelerators * duration;
        if (auto place = pool.place(instance, accelerators, std::to_string(arrival))) {
            carried += accelerators * duration;
            departures.emplace(now + duration, places.size());
            places.push_back(*place);
        }
    }
    return { carried / offered, gangs / arrivals, static_cast<double>(pool.hops()) / arrivals };
}

void comparePacking(Report &report, int workers, double load, int arrivals, std::uint64_t seed)
{
    const BestFitPlacer bestFit;
    const FirstFitPlacer firstFit;
    const RandomPlacer random(seed);
    const auto name = "packing, " + std::to_string(workers) + " workers, load " + std::to_string(load).substr(0, 4) + ", ";
    const auto run = [&](const Placer &placer, int owners, OwnerSelectionPolicy rule) {
        return measureChurn(placer, workers, owners, rule, load, arrivals, seed);
    };
    const auto single = run(bestFit, 1, OwnerSelectionPolicy::LocalFirst);
    const auto owned = run(bestFit, 8, OwnerSelectionPolicy::Tightest);
    const auto addBaseline = [&](const std::string &policy, const Packing &packing) {
        report.add(name + policy + ": used over offered", packing.carried, "");
        report.add(name + policy + ": largest gang", packing.largestGang, "workers");
        report.add(name + policy + ": forwarded", packing.forwarded, "");
    };
    addBaseline("single placer", single);
    addBaseline("8 owners, first fit", run(firstFit, 8, OwnerSelectionPolicy::LocalFirst));
    addBaseline("8 owners, random", run(random, 8, OwnerSelectionPolicy::LocalFirst));
    addBaseline("8 owners, best fit, local first", run(bestFit, 8, OwnerSelectionPolicy::LocalFirst));
    addBaseline("8 owners, best fit, local then tightest", run(bestFit, 8, OwnerSelectionPolicy::LocalThenTightest));
    report.add(name + "8 owners, best fit, tightest: forwarded", owned.forwarded, "");
    // "Packing at least 0.95 of the single placer's".
    constexpr double part = 0.95;
    report.addAtLeast(name + "8 owners, best fit, tightest: used over offered", owned.carried, "", part * single.carried);
    report.addAtLeast(name + "8 owners, best fit, tightest: largest gang", owned.largestGang, "workers", part * single.largestGang);
}

} // namespace

void measurePacking(Report &report, std::uint64_t seed, bool isQuick)
{
    const int arrivals = isQuick ? 5000 : 20'000;
    comparePacking(report, 13, 0.7, arrivals, seed);
    comparePacking(report, 13, 1.0, arrivals, seed);
    comparePacking(report, 200, 0.7, arrivals, seed);
}
