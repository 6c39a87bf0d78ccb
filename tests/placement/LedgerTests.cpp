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

/** One step of a thread: reserve some accelerators, release the oldest reservation, or close and open a worker. */
struct Operation
{
    int kind = 0;
    int amount = 0;
};

void execute(CapacityLedger &ledger, int thread, const std::vector<Operation> &operations, std::atomic<bool> &isBroken)
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
        isBroken = isBroken || isOverloaded(ledger.workers());
    }
    for (const auto &reservation : held) {
        ledger.release(reservation.shard, reservation.worker, reservation.key);
    }
}

} // namespace

TEST_CASE("any sequence of operations from several threads keeps each worker within its capacity", "[placement]")
{
    // Guards against a check and a charge under different locks, and against releases that give back more or less than was taken.
    const auto operation = rc::gen::build<Operation>(rc::gen::set(&Operation::kind, rc::gen::inRange(0, 6)),
                                                     rc::gen::set(&Operation::amount, rc::gen::inRange(1, 9)));
    const bool holds = rc::check([&operation] {
        const BestFitPlacer placer;
        CapacityLedger ledger(placer);
        ledger.addWorker(makeWorker("a", shardOne), {});
        ledger.addWorker(makeWorker("b", shardOne), {});
        ledger.addWorker(makeWorker("c", shardTwo), {});
        constexpr int threadCount = 3;
        std::vector<std::vector<Operation>> plans;
        for (int thread = 0; thread < threadCount; ++thread) {
            plans.push_back(*rc::gen::container<std::vector<Operation>>(operation));
        }
        std::atomic<bool> isBroken = false;
        std::vector<std::thread> threads;
        for (int thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&, thread] { execute(ledger, thread, plans[thread], isBroken); });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        RC_ASSERT(!isBroken);
        for (const auto &worker : ledger.workers()) {
            RC_ASSERT(worker.view.used == Resources {});
        }
        RC_ASSERT(ledger.useByTeam().empty());
    });
    CHECK(holds);
}

TEST_CASE("negative control: choosing and charging in separate steps overloads a worker", "[placement]")
{
    // Shows that the check of the property above finds the fault that it guards against.
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

TEST_CASE("a placer that names a full worker cannot overload it", "[placement]")
{
    // Guards against trust in the placer: the ledger is what invariant 1 rests on.
    MockPlacer placer;
    ALLOW_CALL(placer, choose(trompeloeil::_, trompeloeil::_)).LR_RETURN(_2.empty() ? std::nullopt : std::optional<std::size_t>(0));
    CapacityLedger ledger(placer);
    ledger.addWorker(makeWorker("a", shardOne), {});
    const PlacementNeed whole { studio, acceleratorWorker, false, 0, {} };
    CHECK(ledger.reserve(whole, makeEntry("one", acceleratorWorker)));
    CHECK_FALSE(ledger.reserve(whole, makeEntry("two", acceleratorWorker)));
    CHECK_FALSE(isOverloaded(ledger.workers()));
}

TEST_CASE("threads that fill a pool get exactly its places", "[placement]")
{
    // Guards against lost room: a thread that loses the race for one worker has to get a place on another.
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
    // Guards against a kept count that misses a change: summaries would promise room that is not there, or hide room.
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

TEST_CASE("a seizure keeps the reservations of its own epoch and drops those of earlier ones", "[placement]")
{
    // Guards against double use of the room of a start that is on its way while the worker is read again.
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

TEST_CASE("the room listener runs without locks when room appears", "[placement]")
{
    // Guards against a deadlock: the listener tries waiting requests, which calls back into the ledger.
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
