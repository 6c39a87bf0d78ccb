#include "entry/WorkerRelayPool.h"

#include "entry/WorkerRelayAssignment.h"
#include "entry/WorkerRelayLink.h"
#include "net/Timers.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace auburndoor {

namespace {

// A worker whose relay has failed is reached directly for at most this time.
constexpr Milliseconds checkInterval { 200 };
// Introductions are spread over the checks, so that a new owner is not busy with them.
constexpr std::size_t maxIntroductionsPerCheck = 16;
constexpr Milliseconds reportInterval { 5000 };

} // namespace

struct WorkerRelayPool::Impl : std::enable_shared_from_this<WorkerRelayPool::Impl>
{
    Impl(Timers &timers, RelayTransport &transport, std::function<std::vector<Address>()> members, std::size_t maxDirectWorkers)
        : timers(timers), transport(transport), members(std::move(members)), maxDirectWorkers(maxDirectWorkers)
    {
    }

    void scheduleCheck();
    /** Follows the members of the cell, and assigns the workers again if something has changed. */
    void check();
    /** Drops the links to processes that are no longer members, and introduces some of the others. */
    void updateLinks();
    void assign(const std::vector<std::shared_ptr<WorkerRoute>> &workers);
    void useNoRelay(const std::vector<std::shared_ptr<WorkerRoute>> &workers);
    void report();
    std::vector<std::shared_ptr<WorkerRoute>> liveRoutes();
    RelayLinkStatistics sumStatistics() const;
    /** The links that some worker is assigned to. */
    std::set<const WorkerRelayLink *> linksInUse() const;

    Timers &timers;
    RelayTransport &transport;
    std::function<std::vector<Address>()> members;
    std::size_t maxDirectWorkers;
    std::int64_t fencingToken = 0;
    std::vector<std::weak_ptr<WorkerRoute>> routes;
    std::map<Address, std::shared_ptr<WorkerRelayLink>> links;
    /** The relays that the last assignment could choose from. */
    std::vector<Address> lastUsable;
    std::size_t lastWorkerCount = 0;
    std::size_t relayedWorkers = 0;
    /** The statistics of links that were dropped. */
    RelayLinkStatistics droppedStatistics;
    /** The sums at the last report. */
    RelayLinkStatistics reported;
    TimePoint reportedAt;
    bool isCheckScheduled = false;
    bool isClosed = false;
};

namespace {

void add(RelayLinkStatistics &sum, const RelayLinkStatistics &statistics)
{
    sum.batches += statistics.batches;
    sum.commands += statistics.commands;
    sum.failures += statistics.failures;
    sum.commandTime += statistics.commandTime;
    sum.commandReplies += statistics.commandReplies;
}

} // namespace

RelayLinkStatistics WorkerRelayPool::Impl::sumStatistics() const
{
    auto sum = droppedStatistics;
    for (const auto &[address, link] : links) {
        add(sum, link->statistics());
    }
    return sum;
}

std::vector<std::shared_ptr<WorkerRoute>> WorkerRelayPool::Impl::liveRoutes()
{
    std::vector<std::shared_ptr<WorkerRoute>> live;
    live.reserve(routes.size());
    for (const auto &route : routes) {
        if (auto locked = route.lock()) {
            live.push_back(std::move(locked));
        }
    }
    if (live.size() < routes.size()) {
        routes.assign(live.begin(), live.end());
    }
    return live;
}

std::set<const WorkerRelayLink *> WorkerRelayPool::Impl::linksInUse() const
{
    std::set<const WorkerRelayLink *> inUse;
    for (const auto &route : routes) {
        const auto locked = route.lock();
        if (locked && locked->link) {
            inUse.insert(locked->link.get());
        }
    }
    return inUse;
}

void WorkerRelayPool::Impl::updateLinks()
{
    const auto addresses = members();
    const std::set<Address> present(addresses.begin(), addresses.end());
    const auto inUse = linksInUse();
    std::erase_if(links, [&](const auto &entry) {
        // The messages to a relay in use show better than its late heartbeats whether it works.
        if (present.contains(entry.first) || (entry.second->isUsable() && inUse.contains(entry.second.get()))) {
            return false;
        }
        add(droppedStatistics, entry.second->statistics());
        return true;
    });
    std::size_t introductions = 0;
    for (const auto &address : present) {
        auto &link = links[address];
        if (!link) {
            link = std::make_shared<WorkerRelayLink>(timers, transport, address, fencingToken);
        }
        if (!link->isUsable() && introductions < maxIntroductionsPerCheck && link->introduce()) {
            ++introductions;
        }
    }
}

void WorkerRelayPool::Impl::assign(const std::vector<std::shared_ptr<WorkerRoute>> &workers)
{
    const auto inUse = linksInUse();
    std::vector<WorkerRelayAssignment::Relay> relays;
    std::vector<std::shared_ptr<WorkerRelayLink>> candidates;
    for (const auto &[address, link] : links) {
        if (link->isUsable()) {
            relays.push_back({ address, link->failureDomain(), link->processorShare(), inUse.contains(link.get()) });
            candidates.push_back(link);
        }
    }
    std::vector<WorkerRelayAssignment::Worker> described;
    described.reserve(workers.size());
    for (const auto &route : workers) {
        described.push_back({ route->worker, route->failureDomain });
    }
    const auto assigned = WorkerRelayAssignment::assign(relays, described);
    relayedWorkers = 0;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        workers[index]->link = assigned[index] ? candidates[*assigned[index]] : nullptr;
        relayedWorkers += assigned[index] ? 1 : 0;
    }
    EventLog::write("relay.assigned",
                    { { "workers", workers.size() }, { "relayed", relayedWorkers }, { "relays", linksInUse().size() } });
}

void WorkerRelayPool::Impl::useNoRelay(const std::vector<std::shared_ptr<WorkerRoute>> &workers)
{
    for (const auto &route : workers) {
        route->link.reset();
    }
    for (const auto &[address, link] : links) {
        add(droppedStatistics, link->statistics());
    }
    links.clear();
    lastUsable.clear();
    relayedWorkers = 0;
}

void WorkerRelayPool::Impl::check()
{
    const auto workers = liveRoutes();
    // Hysteresis keeps the cell from switching whenever a worker comes or goes.
    const auto threshold = relayedWorkers > 0 ? maxDirectWorkers * 4 / 5 : maxDirectWorkers;
    if (workers.size() <= threshold) {
        useNoRelay(workers);
        return;
    }
    updateLinks();
    std::vector<Address> usable;
    for (const auto &[address, link] : links) {
        if (link->isUsable()) {
            usable.push_back(address);
        }
    }
    if (usable != lastUsable || workers.size() != lastWorkerCount) {
        lastUsable = std::move(usable);
        lastWorkerCount = workers.size();
        assign(workers);
    }
    report();
}

void WorkerRelayPool::Impl::report()
{
    const auto now = timers.now();
    if (relayedWorkers == 0 || now - reportedAt < reportInterval) {
        return;
    }
    const auto sum = sumStatistics();
    const auto batches = sum.batches - reported.batches;
    const auto replies = sum.commandReplies - reported.commandReplies;
    EventLog::write("relay.used",
                    { { "relays", linksInUse().size() },
                      { "workers", relayedWorkers },
                      { "batches", batches },
                      { "commands", sum.commands - reported.commands },
                      { "failures", sum.failures - reported.failures },
                      { "command_ms", replies > 0 ? (sum.commandTime - reported.commandTime).count() / replies : 0 } });
    reported = sum;
    reportedAt = now;
}

void WorkerRelayPool::Impl::scheduleCheck()
{
    timers.after(checkInterval, [self = shared_from_this()] {
        if (self->isClosed) {
            return;
        }
        self->check();
        self->isCheckScheduled = !self->routes.empty();
        if (self->isCheckScheduled) {
            self->scheduleCheck();
        }
    });
}

WorkerRelayPool::WorkerRelayPool(Timers &timers,
                                 RelayTransport &transport,
                                 std::function<std::vector<Address>()> members,
                                 std::size_t maxDirectWorkers)
    : impl_(std::make_shared<Impl>(timers, transport, std::move(members), maxDirectWorkers))
{
}

WorkerRelayPool::~WorkerRelayPool()
{
    impl_->isClosed = true;
    impl_->links.clear();
}

void WorkerRelayPool::setFencingToken(std::int64_t fencingToken)
{
    if (std::exchange(impl_->fencingToken, fencingToken) != fencingToken) {
        // The messages of a link carry its owner's token, so an earlier owner's clients must not use a later one's link.
        impl_->useNoRelay(impl_->liveRoutes());
        impl_->routes.clear();
    }
}

std::shared_ptr<WorkerRoute> WorkerRelayPool::addWorker(const std::string &worker, const std::string &failureDomain)
{
    auto route = std::make_shared<WorkerRoute>(WorkerRoute { worker, failureDomain, nullptr });
    impl_->routes.push_back(route);
    if (!std::exchange(impl_->isCheckScheduled, true)) {
        impl_->scheduleCheck();
    }
    return route;
}

void WorkerRelayPool::updateMetrics(Metrics &metrics) const
{
    const auto sum = impl_->sumStatistics();
    metrics.setGauge("relays_in_use", static_cast<double>(impl_->linksInUse().size()));
    metrics.setGauge("relayed_workers", static_cast<double>(impl_->relayedWorkers));
    metrics.setGauge("relay_messages_sent", static_cast<double>(sum.batches));
    metrics.setGauge("relay_commands_sent", static_cast<double>(sum.commands));
    metrics.setGauge("relay_failures", static_cast<double>(sum.failures));
}

} // namespace auburndoor
