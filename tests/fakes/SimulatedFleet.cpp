#include "fakes/SimulatedWorker.h"

#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds wayThere { 3 };
constexpr Milliseconds givenUpAfter { 400 };
constexpr Milliseconds waitStep { 10 };

} // namespace

/** Carries orders to a simulated worker. */
class SimulatedFleet::Orders : public WorkerClient
{
public:
    Orders(SimulatedFleet &fleet, const WorkerEntry &entry, std::int64_t token)
        : fleet_(fleet)
        , id_(entry.id)
        , token_(token)
        , connectedLife_(fleet.worker(id_).entry().incarnation)
        , knownLife_(entry.incarnation)
        , clockLife_(std::make_shared<std::int64_t>(connectedLife_))
    {
    }

    void start(const StartCommand &order, Milliseconds lease, CommandCallback callback) override
    {
        const auto deadline = promise(lease);
        deliver(
            [&fleet = fleet_, id = id_, token = token_, order, deadline, life = *clockLife_] {
                auto &worker = fleet.worker(id);
                const auto before = worker.runs().size();
                const auto outcome = worker.start(order, deadlineOn(worker, deadline, life), token);
                if (worker.runs().size() > before && fleet.onStarted) {
                    fleet.onStarted(worker, order);
                }
                return outcome;
            },
            std::move(callback));
    }

    void stop(const TaskName &task, std::int64_t attempt, CommandCallback callback) override
    {
        deliver([&fleet = fleet_, id = id_, token = token_, task, attempt] { return fleet.worker(id).stop(task, attempt, token); },
                std::move(callback));
    }

    void throttle(const TaskName &, std::int64_t, int, CommandCallback callback) override
    {
        deliver([] { return CommandOutcome::Accepted; }, std::move(callback));
    }

    void renewLeases(std::int64_t acknowledged, Milliseconds lease, Milliseconds wait, ReportCallback callback) override
    {
        auto &timers = fleet_.timers_;
        const auto deadline = lease > Milliseconds(0) ? std::optional(promise(lease)) : std::nullopt;
        if (const auto incarnation = fleet_.worker(id_).entry().incarnation;
            std::exchange(connectedLife_, incarnation) != incarnation) {
            // The restart has closed the kept connection.
            timers.after(wayThere, [callback = std::move(callback)] { callback({ CommandOutcome::Unknown, "reset" }, {}); });
            return;
        }
        if (fleet_.worker(id_).isCutOffFrom(token_)) {
            // The kept connection breaks with the first request; after that no connection can be opened.
            const bool isConnected = std::exchange(isConnected_, false);
            timers.after(isConnected ? wait + givenUpAfter : givenUpAfter, [isConnected, callback = std::move(callback)] {
                callback({ isConnected ? CommandOutcome::Unknown : CommandOutcome::NotSent, "cut" }, {});
            });
            return;
        }
        isConnected_ = true;
        callback = [callback = std::move(callback), clockLife = clockLife_](const Reply &reply, const TaskReport &report) {
            *clockLife = reply.outcome == CommandOutcome::Accepted ? report.incarnation : *clockLife;
            callback(reply, report);
        };
        if (fleet_.worker(id_).hasExited) {
            timers.after(wayThere, [callback = std::move(callback)] {
                callback({ CommandOutcome::NotSent, "no connection" }, {});
            });
            return;
        }
        if (fleet_.worker(id_).isReplaced) {
            timers.after(wayThere, [callback = std::move(callback)] { callback({ CommandOutcome::WrongWorker, {} }, {}); });
            return;
        }
        timers.after(
            wayThere,
            [&timers, &fleet = fleet_, id = id_, token = token_, acknowledged, deadline, wait, callback, life = *clockLife_] {
                const auto &worker = fleet.worker(id);
                const auto end = deadline ? std::optional(deadlineOn(worker, *deadline, life)) : std::nullopt;
                const auto until = timers.now() + wait;
                waitForEnd(fleet, timers, id, token, acknowledged, end, until, worker.entry().incarnation, callback);
            });
    }

    TimePoint leaseEnd() const override
    {
        return leaseEnd_;
    }

    void update(const WorkerEntry &entry) override
    {
        if (std::exchange(knownLife_, entry.incarnation) != entry.incarnation) {
            leaseEnd_ = std::max(leaseEnd_, fleet_.timers_.now() + fleet_.worker(id_).maxLease + Milliseconds(100));
        }
    }

private:
    /** What a deadline on the clock of one incarnation means to the worker: after a restart it is far away. */
    static TimePoint deadlineOn(const SimulatedWorker &worker, TimePoint deadline, std::int64_t clockLife)
    {
        return worker.entry().incarnation == clockLife ? deadline : worker.now() + worker.maxLease;
    }

    TimePoint promise(Milliseconds lease)
    {
        const auto deadline = fleet_.timers_.now() + lease;
        leaseEnd_ = std::max(leaseEnd_, deadline + Milliseconds(100));
        return deadline;
    }

    static void waitForEnd(SimulatedFleet &fleet,
                           Timers &timers,
                           const std::string &id,
                           std::int64_t token,
                           std::int64_t acknowledged,
                           std::optional<TimePoint> deadline,
                           TimePoint until,
                           std::int64_t incarnation,
                           const ReportCallback &callback)
    {
        auto &worker = fleet.worker(id);
        if (worker.cutOffTokens.contains(token)) {
            timers.after(givenUpAfter, [callback] { callback({ CommandOutcome::Unknown, "cut" }, {}); });
            return;
        }
        if (worker.entry().incarnation != incarnation) {
            // The restart has closed the connection.
            callback({ CommandOutcome::Unknown, "reset" }, {});
            return;
        }
        TaskReport report;
        const auto outcome = worker.renewLeases(acknowledged, deadline, token, report);
        if (outcome == CommandOutcome::Accepted && report.ended.empty() && timers.now() < until && !worker.isCutOff) {
            timers.after(waitStep, [&fleet, &timers, id, token, until, incarnation, callback] {
                waitForEnd(fleet, timers, id, token, 0, std::nullopt, until, incarnation, callback);
            });
            return;
        }
        if (worker.isCutOff) {
            timers.after(givenUpAfter, [callback] { callback({ CommandOutcome::Unknown, "cut" }, {}); });
            return;
        }
        timers.after(wayThere, [callback, outcome, report] { callback({ outcome, {} }, report); });
    }

    void deliver(std::function<CommandOutcome()> action, CommandCallback callback)
    {
        auto &timers = fleet_.timers_;
        const auto fault = fleet_.drawFault ? fleet_.drawFault() : CommandFault();
        const bool isCutOff = fleet_.worker(id_).isCutOffFrom(token_);
        if (isCutOff || fault.kind == CommandFault::Kind::Late) {
            if (!isCutOff) {
                // What is carried out late waits in the worker, and goes with its life.
                timers.after(fault.late, [&fleet = fleet_, id = id_, incarnation = fleet_.worker(id_).entry().incarnation, action] {
                    if (fleet.worker(id).entry().incarnation == incarnation) {
                        action();
                    }
                });
            }
            timers.after(givenUpAfter, [callback = std::move(callback)] { callback({ CommandOutcome::Unknown, "no answer" }); });
            return;
        }
        timers.after(wayThere,
                     [&timers,
                      &fleet = fleet_,
                      id = id_,
                      token = token_,
                      fault,
                      action = std::move(action),
                      life = *clockLife_,
                      callback = std::move(callback)] {
                         const bool isClockContinued = fleet.worker(id).entry().incarnation == life;
                         const auto outcome = fleet.worker(id).isReplaced ? CommandOutcome::WrongWorker : action();
                         const bool isLost = fault.kind == CommandFault::Kind::AnswerLost
                                             || fleet.worker(id).cutOffTokens.contains(token);
                         timers.after(isLost ? givenUpAfter : wayThere, [callback, outcome, isLost, isClockContinued] {
                             callback({ isLost ? CommandOutcome::Unknown : outcome, {}, {}, isClockContinued });
                         });
                     });
    }

    SimulatedFleet &fleet_;
    std::string id_;
    std::int64_t token_;
    std::int64_t connectedLife_ = 0;
    /** The incarnation in the last update. */
    std::int64_t knownLife_ = 0;
    /** The incarnation whose clock was read last; deadlines count on it. */
    std::shared_ptr<std::int64_t> clockLife_;
    /** A connection to the worker is kept. */
    bool isConnected_ = true;
    TimePoint leaseEnd_;
};

SimulatedFleet::SimulatedFleet(Timers &timers) : timers_(timers)
{
}

SimulatedFleet::~SimulatedFleet() = default;

SimulatedWorker &SimulatedFleet::add(const WorkerEntry &entry, SimulatedWorker::Plan plan)
{
    auto &slot = workers_[entry.id];
    slot = std::make_unique<SimulatedWorker>(timers_, entry, std::move(plan));
    slot->onDoneAcknowledged = [this](const TaskName &task, TimePoint endedAt) {
        if (onDoneAcknowledged) {
            onDoneAcknowledged(task, endedAt);
        }
    };
    slot->onEnded = [this, worker = slot.get()](const EndedTask &ended, TimePoint endedAt) {
        if (onEnded) {
            onEnded(*worker, ended, endedAt);
        }
    };
    return *slot;
}

SimulatedWorker &SimulatedFleet::worker(const std::string &id)
{
    return *workers_.at(id);
}

std::map<std::string, std::unique_ptr<SimulatedWorker>> &SimulatedFleet::workers()
{
    return workers_;
}

std::unique_ptr<WorkerClient> SimulatedFleet::create(const WorkerEntry &entry, std::int64_t fencingToken)
{
    return std::make_unique<Orders>(*this, entry, fencingToken);
}

} // namespace auburndoor
