#include "placement/BestFitPlacer.h"
#include "placement/CapacityLedger.h"
#include "placement/FirstFitPlacer.h"
#include "placement/RandomPlacer.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace auburndoor;

namespace {

const ServiceId studio("namestudio");
const ShardId shardOne("kingston-1/0");
const ShardId shardTwo("kingston-2/0");
const Resources acceleratorWorker { 32'000, 65'536, 8, 8, 64 };
const Resources small { 2000, 4096, 1, 1, 1 };

class MockPlacer : public Placer
{
public:
    MAKE_CONST_MOCK2(choose, std::optional<std::size_t>(const PlacementNeed &, std::span<const WorkerView>), override);
};

LedgerWorker makeWorker(const std::string &id, const ShardId &shard, Epoch epoch = 1)
{
    return { { WorkerId(id), studio, FailureDomainId(shard.text()), acceleratorWorker, {}, 0, true }, id + ":80", shard, epoch };
}

LedgerEntry makeEntry(const std::string &key, const Resources &need = small)
{
    return { key, TeamId("blue"), need, false };
}

bool isOverloaded(const std::vector<LedgerWorker> &workers)
{
    return std::any_of(workers.begin(), workers.end(), [](const LedgerWorker &worker) {
        return !worker.view.used.fitsIn(worker.view.capacity) || !worker.view.used.isValid();
    });
}

/** One step of a thread. Kinds: 0 to 2 reserve, 3 releases the oldest reservation, 4 opens or closes worker "a", 5 renames. */
struct Operation
{
    int kind = 0;
    int amount = 0;
};

void execute(CapacityLedger &ledger, int thread, const std::vector<Operation> &operations, std::atomic<bool> &isOverloadFound)
{
    std::vector<Reservation> held;
    for (std::size_t index = 0; index < operations.size(); ++index) {
        const auto &operation = operations[index];
        const Resources need { 1000LL * operation.amount, 1024, operation.amount, 1, 1 };
        const auto key = std::to_string(thread) + "/" + std::to_string(index);
        if (operation.kind <= 2) {
            if (const auto reservation = ledger.reserve({ studio, need, false, 0, {} }, makeEntry(key, need))) {
                held.push_back(*reservation);
            }
        } else if (operation.kind == 3 && !held.empty()) {
            ledger.release(held.front().shard, held.front().worker, held.front().key);
            held.erase(held.begin());
        } else if (operation.kind == 4) {
            ledger.setOpen(shardOne, WorkerId("a"), operation.amount % 2 == 0);
        } else if (!held.empty()) {
            held.back() = *ledger.rename(held.back().shard, held.back().key, key + "/task");
        }
        isOverloadFound = isOverloadFound || isOverloaded(ledger.workers());
    }
    for (const auto &reservation : held) {
        ledger.release(reservation.shard, reservation.worker, reservation.key);
    }
}

} // namespace

TEST_CASE("any sequence of operations from several threads keeps each worker within its capacity", "[placement]")
{
    // Guards against checking and charging capacity under different locks, and against releases that differ from the reservation.
    const auto operation = rc::gen::build<Operation>(rc::gen::set(&Operation::kind, rc::gen::inRange(0, 6)),
                                                     rc::gen::set(&Operation::amount, rc::gen::inRange(1, 9)));
    const bool holds = rc::check([&operation] {
        const BestFitPlacer placer;
        CapacityLedger ledger(placer);
        ledger.addWorker(makeWorker("a", shardOne), {});
        ledger.addWorker(makeWorker("b", shardOne), {});
        ledger.addWorker(makeWorker("c", shardTwo), {});
        constexpr int threadCount = 3;
        std::vector<std::vector<Operation>> operationLists;
        for (int thread = 0; thread < threadCount; ++thread) {
            operationLists.push_back(*rc::gen::container<std::vector<Operation>>(operation));
        }
        std::atomic<bool> isOverloadFound = false;
        std::vector<std::thread> threads;
        for (int thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&, thread] { execute(ledger, thread, operationLists[thread], isOverloadFound); });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        RC_ASSERT(!isOverloadFound);
        for (const auto &worker : ledger.workers()) {
            RC_ASSERT(worker.view.used == Resources {});
        }
        RC_ASSERT(ledger.useByTeam().empty());
    });
    CHECK(holds);
}

TEST_CASE("negative control: choosing and charging in separate steps overloads a worker", "[placement]")
{
    // Shows that isOverloaded() finds the fault that the test above guards against.
    const BestFitPlacer placer;
    auto worker = makeWorker("a", shardOne);
    worker.view.used = { 0, 0, 7, 7, 7 };
    std::vector<LedgerWorker> workers { worker };
    const std::vector<WorkerView> snapshot { worker.view };
    const PlacementNeed need { studio, small, false, 0, {} };
    const auto first = placer.choose(need, snapshot);
    const auto second = placer.choose(need, snapshot);
    REQUIRE(first);
    REQUIRE(second);
    workers[*first].view.used += small;
    workers[*second].view.used += small;
    CHECK(isOverloaded(workers));
}

TEST_CASE("a placer that chooses a full worker cannot overload it", "[placement]")
{
    // Guards against relying on the placer: the ledger itself has to keep each worker within its capacity (invariant 1).
    MockPlacer placer;
    ALLOW_CALL(placer, choose(trompeloeil::_, trompeloeil::_)).LR_RETURN(_2.empty() ? std::nullopt : std::optional<std::size_t>(0));
    CapacityLedger ledger(placer);
    ledger.addWorker(makeWorker("a", shardOne), {});
    const PlacementNeed fullWorker { studio, acceleratorWorker, false, 0, {} };
    CHECK(ledger.reserve(fullWorker, makeEntry("one", acceleratorWorker)));
    CHECK_FALSE(ledger.reserve(fullWorker, makeEntry("two", acceleratorWorker)));
    CHECK_FALSE(isOverloaded(ledger.workers()));
}

TEST_CASE("threads that fill a pool get exactly as many reservations as it has places", "[placement]")
{
    // Guards against unused capacity: a thread that loses the race for one worker has to get a place on another.
    const BestFitPlacer placer;
    CapacityLedger ledger(placer);
    constexpr int workerCount = 20;
    constexpr int slots = 8;
    for (int index = 0; index < workerCount; ++index) {
        ledger.addWorker(makeWorker("w" + std::to_string(index), index % 2 == 0 ? shardOne : shardTwo), {});
    }
    std::atomic<int> placed = 0;
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&, thread] {
            for (int index = 0; index < workerCount * slots; ++index) {
                const auto key = std::to_string(thread) + "/" + std::to_string(index);
                placed += ledger.reserve({ studio, small, false, 0, {} }, makeEntry(key)) ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(placed == workerCount * slots);
    CHECK(ledger.freePlaces({ studio, small, false, 0, {} }) == 0);
}

TEST_CASE("the count of free places follows every change", "[placement]")
{
    // Guards against a cached count that misses a change: load summaries would report too many or too few free places.
    const BestFitPlacer placer;
    CapacityLedger ledger(placer);
    const PlacementNeed need { studio, small, false, 0, {} };
    ledger.addWorker(makeWorker("a", shardOne), { makeEntry("running") });
    CHECK(ledger.freePlaces(need) == 7);
    const auto reservation = ledger.reserve(need, makeEntry("new"));
    REQUIRE(reservation);
    CHECK(reservation->address == "a:80");
    CHECK(ledger.freePlaces(need) == 6);
    ledger.release(shardOne, reservation->worker, "new");
    CHECK(ledger.freePlaces(need) == 7);
    ledger.release(shardOne, reservation->worker, "new");
    CHECK(ledger.freePlaces(need) == 7);
    ledger.setOpen(shardOne, WorkerId("a"), false);
    CHECK(ledger.freePlaces(need) == 0);
    ledger.setOpen(shardOne, WorkerId("a"), true);
    ledger.addWorker(makeWorker("b", shardOne), {});
    CHECK(ledger.freePlaces(need) == 15);
    CHECK(ledger.partialPlaces(need) == 7);
    ledger.removeWorker(shardOne, WorkerId("a"));
    CHECK(ledger.freePlaces(need) == 8);
    CHECK(ledger.ownedCapacity() == acceleratorWorker);
    ledger.removeShard(shardOne);
    CHECK(ledger.freePlaces(need) == 0);
    CHECK(ledger.ownedCapacity() == Resources {});
}

TEST_CASE("adding a worker again keeps the reservations of the same epoch and drops those of earlier ones", "[placement]")
{
    // Guards against double use of capacity: a start request may still be under way when the worker's tasks are read again.
    const BestFitPlacer placer;
    CapacityLedger ledger(placer);
    const PlacementNeed need { studio, small, false, 0, {} };
    ledger.addWorker(makeWorker("a", shardOne, 2), { makeEntry("ended") });
    REQUIRE(ledger.reserve(need, makeEntry("started")));
    REQUIRE(ledger.reserve(need, makeEntry("under-way")));
    ledger.addWorker(makeWorker("a", shardOne, 2), { makeEntry("started") });
    CHECK(ledger.freePlaces(need) == 6);
    ledger.addWorker(makeWorker("a", shardOne, 1), {});
    CHECK(ledger.freePlaces(need) == 6);
    ledger.addWorker(makeWorker("a", shardOne, 3), { makeEntry("started") });
    CHECK(ledger.freePlaces(need) == 7);
}

TEST_CASE("the capacity listener runs without locks when capacity is freed", "[placement]")
{
    // Guards against a deadlock: the listener tries waiting requests, which call back into the ledger.
    const BestFitPlacer placer;
    CapacityLedger ledger(placer);
    const PlacementNeed need { studio, acceleratorWorker, false, 0, {} };
    ledger.addWorker(makeWorker("a", shardOne), {});
    REQUIRE(ledger.reserve(need, makeEntry("one")));
    int calls = 0;
    ledger.setCapacityListener([&] {
        ++calls;
        ledger.reserve(need, makeEntry("next"));
    });
    ledger.release(shardOne, WorkerId("a"), "one");
    CHECK(calls == 1);
    CHECK(ledger.freePlaces(need) == 0);
}
