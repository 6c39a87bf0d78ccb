#pragma once

#include "VirtualClock.h"
#include "Workload.h"

#include "admission/QueueOrder.h"
#include "admission/ShareAccounts.h"
#include "admission/ShortReserve.h"
#include "placement/CapacityLedger.h"
#include "placement/RunTimeEstimator.h"

#include <deque>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/** A way to serve one pool. */
struct PolicyOptions
{
    std::string name;
    const auburndoor::Placer *placer = nullptr;
    /** The product's order with backfill, run-time estimates, latest start and admission; otherwise FIFO without any of these. */
    bool isProduct = false;
    /** Part of the slots that long work may not fill, in percent. */
    int reservePercent = 0;
    /** Adapts that part to the demand of short work. */
    bool isReserveAdaptive = false;
};

/** The workers of the pool. */
struct PoolOptions
{
    int workers = 13;
    int shards = 8;
    auburndoor::Resources capacity { 32'000, 65'536, 8, 8, 64 };
};

/** What became of one request. */
struct ItemResult
{
    enum class End {
        OnTime,
        Late,
        Expired,
        Refused,
    };
    End end = End::Expired;
    bool isStarted = false;
    double waitMs = 0;
};

/**
    An event-driven calculation of one pool in virtual time with the product's own ledger, placers, queue orders, admission policy,
    run-time estimator and reserve. Waiting threads and the holding back of WaitQueue are left out: all needs of a run are alike.
*/
class PoolModel
{
public:
    PoolModel(const PolicyOptions &policy, const PoolOptions &pool);

    std::vector<ItemResult> run(const std::vector<WorkItem> &items);

    /** Work that each team got between two moments, in slot seconds. */
    std::vector<double> workByTeam(const std::vector<WorkItem> &items,
                                   const std::vector<ItemResult> &results,
                                   std::chrono::seconds from,
                                   std::chrono::seconds to) const;

    /** Requests that were refused or expired while less than 80% of the slots were in use. */
    int lostBelowLoadLimit() const;

private:
    struct Event
    {
        auburndoor::TimePoint time;
        std::size_t item = 0;
        bool isCompletion = false;

        bool operator>(const Event &other) const
        {
            return time > other.time;
        }
    };

    void arrive(std::size_t index);
    void complete(std::size_t index);
    void expire(std::size_t index);
    bool isRefused(const auburndoor::QueueEntry &entry);
    void dispatch();
    const auburndoor::QueueEntry *nextHead(const std::vector<auburndoor::Resources> &failedShort,
                                           const std::vector<auburndoor::Resources> &failedLong) const;
    bool tryStart(std::size_t index);
    auburndoor::PlacementNeed placement(const auburndoor::QueueEntry &entry) const;
    auburndoor::QueueEntry makeEntry(std::size_t index) const;
    bool isBelowLoadLimit() const;

    const PolicyOptions policy_;
    const long long slots_;
    VirtualClock clock_;
    const auburndoor::TimePoint start_;
    auburndoor::CapacityLedger ledger_;
    auburndoor::ShareAccounts shares_;
    auburndoor::ShortReserve reserve_;
    auburndoor::RunTimeEstimator estimator_;
    std::unique_ptr<auburndoor::QueueOrder> order_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    const std::vector<WorkItem> *items_ = nullptr;
    std::vector<ItemResult> results_;
    std::deque<auburndoor::QueueEntry> entries_;
    std::vector<auburndoor::Reservation> reservations_;
    std::vector<char> isWaiting_;
    std::set<std::size_t> triedInRound_;
    std::size_t waiting_ = 0;
    long long busy_ = 0;
    long long busyLong_ = 0;
    int lostBelowLoadLimit_ = 0;
};
