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

/** The placement and admission policies with which one pool is simulated. */
struct PolicyOptions
{
    std::string name;
    const auburndoor::Placer *placer = nullptr;
    /** True: the product's queue order with backfill, run-time estimates, latest start and admission. False: plain FIFO. */
    bool usesProductPolicies = false;
    /** Percentage of the slots that long work may not use. */
    int reservePercent = 0;
    /** Whether the reserve percentage adapts to the demand of short work. */
    bool isReserveAdaptive = false;
};

/** The size of the pool and the capacity of each of its workers. */
struct PoolOptions
{
    int workers = 13;
    int shards = 8;
    auburndoor::Resources capacity { 32'000, 65'536, 8, 8, 64 };
};

/** The outcome of one request and its waiting time in the queue. */
struct WorkItemResult
{
    enum class Outcome {
        OnTime,
        Late,
        Expired,
        Refused,
    };
    Outcome outcome = Outcome::Expired;
    bool isStarted = false;
    double waitMs = 0;
};

/**
    A discrete-event simulation of one pool in virtual time with the product's own ledger, placers, queue orders, admission policy,
    run-time estimator and reserve. It has neither the waiting threads of WaitQueue nor its holding back of capacity, because all
    requests of a run have the same need.
*/
class PoolSimulator
{
public:
    PoolSimulator(const PolicyOptions &policy, const PoolOptions &pool);

    /** Simulates all items, which are sorted by arrival. @return their results in the same order */
    std::vector<WorkItemResult> run(const std::vector<WorkItem> &items);

    /** The work that each team received between two times since the start of the run, in slot seconds; indexed by team. */
    std::vector<double> computeWorkByTeam(const std::vector<WorkItem> &items,
                                          const std::vector<WorkItemResult> &results,
                                          std::chrono::seconds from,
                                          std::chrono::seconds to) const;

    /** The number of requests that were refused or expired while less than 80% of the slots were in use. */
    int countUnservedBelowLoadLimit() const;

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

    void handleArrival(std::size_t index);
    void handleCompletion(std::size_t index);
    void handleExpiry(std::size_t index);
    bool isRefused(const auburndoor::QueueEntry &entry);
    void dispatch();
    const auburndoor::QueueEntry *findNextCandidate(const std::vector<auburndoor::Resources> &failedShortNeeds,
                                                    const std::vector<auburndoor::Resources> &failedLongNeeds) const;
    bool tryStart(std::size_t index);
    auburndoor::PlacementNeed makePlacementNeed(const auburndoor::QueueEntry &entry) const;
    auburndoor::QueueEntry makeEntry(std::size_t index) const;
    bool isBelowLoadLimit() const;

    const PolicyOptions policy_;
    const long long totalSlots_;
    VirtualClock clock_;
    const auburndoor::TimePoint start_;
    auburndoor::CapacityLedger ledger_;
    auburndoor::ShareAccounts shares_;
    auburndoor::ShortReserve reserve_;
    auburndoor::RunTimeEstimator estimator_;
    std::unique_ptr<auburndoor::QueueOrder> order_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    const std::vector<WorkItem> *items_ = nullptr;
    std::vector<WorkItemResult> results_;
    std::deque<auburndoor::QueueEntry> entries_;
    std::vector<auburndoor::Reservation> reservations_;
    std::vector<char> isWaiting_;
    std::set<std::size_t> triedInRound_;
    std::size_t waitingCount_ = 0;
    long long busySlots_ = 0;
    long long busyLongSlots_ = 0;
    int unservedBelowLoadLimit_ = 0;
};
